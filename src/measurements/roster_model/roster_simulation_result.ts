/** What a modelled run came to. */

import { MembershipState } from "../../contracts/membership.ts";
import type { SimulatedProcess } from "./simulated_process.ts";
import type { RosterInvariants } from "./roster_invariants.ts";

/** What a run came to. */
export interface RosterSimulationResult {
  /** The first violation, if there was one. */
  violation: string | undefined;
  /** The removals in force, the restrictions and the checks. */
  counts: { removals: number; checks: number; restrictions: number };
  /** The offset of the newest record. */
  newestOffset: number;
  /** The processes at the end, as one line each. */
  processes: string[];
  /** What did not come to rest by the end. */
  unsettled: string[];
}

/** Options of `createRosterRunResult`. */
export interface RosterSimulationResultOptions {
  /** The processes. */
  processes: readonly SimulatedProcess[];
  /** The invariants. */
  invariants: RosterInvariants;
  /** The offset of the newest record. */
  newestOffset: number;
}

/** Creates the result of a run. */
export function createRosterSimulationResult(
  options: RosterSimulationResultOptions,
): RosterSimulationResult {
  const { processes, invariants, newestOffset } = options;
  return {
    violation: invariants.getViolation(),
    counts: invariants.getCounts(),
    newestOffset,
    unsettled: processes.flatMap((process) => getUnsettled(process)),
    processes: processes.map((process) => describeProcess(process)),
  };
}

function describeProcess(process: SimulatedProcess): string {
  const { membership } = process;
  return [
    process.memberId,
    process.hasEnded ? "ended" : membership.getState(),
    membership.getStanding(process.getMoment()),
    `offset ${process.getOffset()}`,
    `in force ${membership.getInForceOffset()}`,
  ].join(" ");
}

/** Gets why a process is not at rest: a member is current, and every removal that it knows in force. */
function getUnsettled(process: SimulatedProcess): string[] {
  const { memberId, membership, roster } = process;
  if (process.hasEnded || membership.getState() !== MembershipState.Admitted) return [];
  const held = (roster?.departing ?? []).filter((departure) => !departure.isInForce)
    .map((departure) => `${memberId} holds ${departure.memberId} for departing`);
  return process.isActing() ? held : [...held, `${memberId} is isolated`];
}
