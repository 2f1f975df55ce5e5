/** Result of a roster simulation. */

import { MembershipState } from "../../contracts/membership.ts";
import type { SimulatedProcess } from "./simulated_process.ts";
import type { RosterInvariants } from "./roster_invariants.ts";

/** Result of a roster simulation. */
export interface RosterSimulationResult {
  /** The first violation, if any. */
  violation: string | undefined;
  /** Numbers of removals in force, of checks and of restrictions. */
  counts: { removals: number; checks: number; restrictions: number };
  /** Offset of the last record. */
  newestOffset: number;
  /** One line for each process at the end. */
  processes: string[];
  /** What had not reached its final state by the end. */
  unsettled: string[];
}

/** Options for `createRosterSimulationResult`. */
export interface RosterSimulationResultOptions {
  /** The processes. */
  processes: readonly SimulatedProcess[];
  /** The invariants. */
  invariants: RosterInvariants;
  /** Offset of the last record. */
  newestOffset: number;
}

/** Creates the result of a simulation. */
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

/** Gets why a process has not settled: a settled member is not isolated and knows all removals as in force. */
function getUnsettled(process: SimulatedProcess): string[] {
  const { memberId, membership, roster } = process;
  if (process.hasEnded || membership.getState() !== MembershipState.Admitted) return [];
  const held = (roster?.departing ?? []).filter((departure) => !departure.isInForce)
    .map((departure) => `${memberId} holds ${departure.memberId} for departing`);
  return process.isActing() ? held : [...held, `${memberId} is isolated`];
}
