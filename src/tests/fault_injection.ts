/** One proof by processes: a rig, callers, a schedule of faults, and the ledgers reconciled. */

import { Callers } from "./callers.ts";
import { reconcile } from "./reconcile.ts";
import { Rig } from "./rig.ts";
import { createFaultSchedule, type Fault } from "./fault_schedule.ts";
import { FaultInjector } from "./fault_injector.ts";

/** The upper limit of each team. */
const LIMITS = { clinic: 5, hotel: 9 };

/** The longest run of a request, after which its permit is free at the latest. */
const LONGEST_RUN_MILLISECONDS = 1_500;

/** The deadline of a request. */
const DEADLINE_MILLISECONDS = 3_000;

/** The slots of an executor's stand-in. */
const SLOTS = 8;

/** The time within which a restriction must be in force everywhere. */
const RESTRICTION_MILLISECONDS = 4_000;

/** The time that the callers go on after the last fault. */
const QUIET_MILLISECONDS = 3_000;

/** Options of `prove`. */
export interface FaultInjectionOptions {
  /** The seed of the schedule. */
  seed: number;
  /** The length of the schedule. */
  milliseconds: number;
  /** The mean time between two faults. */
  meanMilliseconds: number;
  /** The kinds of faults. */
  faults: readonly Fault[];
  /** The number of entry hosts. */
  entryHosts: number;
  /** Writes what is done. */
  writeLine: (line: string) => void;
}

/** What a proof came to. */
export interface FaultInjectionResult {
  /** The broken invariants. */
  violations: string[];
  /** The requests by what their callers were told. */
  counts: Record<string, number>;
}

/** Runs a schedule of faults, and reconciles the ledgers. */
export async function runFaultInjection(
  options: FaultInjectionOptions,
): Promise<FaultInjectionResult> {
  const { entryHosts, writeLine } = options;
  const rig = await Rig.start({ entryHosts, executors: 4, zones: ["zone-a", "zone-b"] });
  try {
    const callers = Callers.create({ rig, intervalMilliseconds: 40, serviceMilliseconds: 60 });
    await prepare(rig, callers);
    callers.start();
    const run = FaultInjector.create({ rig, callers, writeLine });
    await run.run(createFaultSchedule(options));
    await new Promise((resolve) => setTimeout(resolve, QUIET_MILLISECONDS));
    await callers.stop();
    const violations = reconcile({
      callers: callers.ledger,
      executors: await rig.getLedgers(),
      limits: LIMITS,
      slots: SLOTS,
      restrictions: run.restrictions,
      restrictionMilliseconds: RESTRICTION_MILLISECONDS,
    });
    const lines = violations.length === 0 ? [] : await rig.listRestrictions();
    for (const line of lines) writeLine(line);
    return { violations: violations, counts: countTold(callers) };
  } finally {
    await rig.stop();
  }
}

async function prepare(rig: Rig, callers: Callers): Promise<void> {
  const teams = Object.entries(LIMITS).map(([team, upperLimit]) => ({
    team,
    share: 1,
    upperLimit,
  }));
  await rig.publish("profile-published", {
    profile: "orders",
    longestRunMilliseconds: LONGEST_RUN_MILLISECONDS,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    teams,
  });
  await rig.publish("profile-picked", { service: "clinics", profile: "orders" });
  for (const team of Object.keys(LIMITS)) {
    callers.keys.set(team, await rig.grantKey(team, `${team}-first`));
  }
}

function countTold(callers: Callers): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { told, reason } of callers.ledger) {
    const name = reason === "" ? told : `${told} ${reason}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
