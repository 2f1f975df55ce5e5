/** A fault-injection test with separate processes: a rig, callers, a schedule of faults, and a check of the ledgers. */

import { Callers } from "./callers.ts";
import { reconcile } from "./reconcile.ts";
import { Rig } from "./rig.ts";
import { createFaultSchedule, type Fault } from "./fault_schedule.ts";
import { FaultInjector } from "./fault_injector.ts";

/** The upper limit of each team. */
const LIMITS = { clinic: 5, hotel: 9 };

/** The maximum run time of a request, after which its permit is released. */
const MAXIMUM_RUN_MILLISECONDS = 1_500;

/** The deadline of a request. */
const DEADLINE_MILLISECONDS = 3_000;

/** The number of slots of an executor's stand-in. */
const SLOTS = 8;

/** The time within which a restriction must take effect everywhere. */
const RESTRICTION_MILLISECONDS = 4_000;

/** The time for which the callers continue after the last fault. */
const RECOVERY_MILLISECONDS = 3_000;

/** Options of `runFaultInjection`. */
export interface FaultInjectionOptions {
  seed: number;
  /** The duration of the schedule. */
  milliseconds: number;
  /** The mean time between two faults. */
  meanMilliseconds: number;
  /** The kinds of faults to inject. */
  faults: readonly Fault[];
  /** The number of entry hosts. */
  entryHosts: number;
  /** Writes a progress line. */
  writeLine: (line: string) => void;
}

/** The result of a fault-injection test. */
export interface FaultInjectionResult {
  /** The violated invariants. */
  violations: string[];
  /** The number of requests by result and reason. */
  counts: Record<string, number>;
}

/** Injects faults by a schedule while callers send requests, and checks the ledgers afterwards. */
export async function runFaultInjection(
  options: FaultInjectionOptions,
): Promise<FaultInjectionResult> {
  const { entryHosts, writeLine } = options;
  const rig = await Rig.start({ entryHosts, executors: 4, zones: ["zone-a", "zone-b"] });
  try {
    const callers = Callers.create({ rig, intervalMilliseconds: 40, serviceMilliseconds: 60 });
    await publishConfiguration(rig, callers);
    callers.start();
    const injector = FaultInjector.create({ rig, callers, writeLine });
    await injector.run(createFaultSchedule(options));
    await new Promise((resolve) => setTimeout(resolve, RECOVERY_MILLISECONDS));
    await callers.stop();
    const violations = reconcile({
      callers: callers.ledger,
      executors: await rig.getLedgers(),
      limits: LIMITS,
      slots: SLOTS,
      restrictions: injector.restrictions,
      restrictionMilliseconds: RESTRICTION_MILLISECONDS,
    });
    const lines = violations.length === 0 ? [] : await rig.listRestrictions();
    for (const line of lines) writeLine(line);
    return { violations, counts: countByOutcome(callers) };
  } finally {
    await rig.stop();
  }
}

async function publishConfiguration(rig: Rig, callers: Callers): Promise<void> {
  const teams = Object.entries(LIMITS).map(([team, upperLimit]) => ({
    team,
    share: 1,
    upperLimit,
  }));
  await rig.publish("profile-published", {
    profile: "orders",
    longestRunMilliseconds: MAXIMUM_RUN_MILLISECONDS,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    teams,
  });
  await rig.publish("profile-picked", { service: "clinics", profile: "orders" });
  for (const team of Object.keys(LIMITS)) {
    callers.keys.set(team, await rig.grantKey(team, `${team}-first`));
  }
}

function countByOutcome(callers: Callers): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { told, reason } of callers.ledger) {
    const name = reason === "" ? told : `${told} ${reason}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
