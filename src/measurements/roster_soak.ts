/** Soak `roster`: checks standing and removals under random faults. */

import { drawSchedule, MAXIMUM_INITIAL_PROCESSES } from "./roster_model/fault.ts";
import { RosterSimulation } from "./roster_model/roster_simulation.ts";
import type { Soak, SoakRunResult } from "./soak.ts";

/** Minimum number of processes that start at time zero. */
const MINIMUM_INITIAL_PROCESSES = 2;

/** When a run ends, in simulated milliseconds, well after the last fault. */
const END_MILLISECONDS = 80_000;

/** Soak `roster`. */
export const ROSTER_SOAK: Soak = { name: "roster", run: runRosterSoak };

function runRosterSoak(options: { seed: number }): SoakRunResult {
  const { seed } = options;
  const processCount = MINIMUM_INITIAL_PROCESSES +
    seed % (MAXIMUM_INITIAL_PROCESSES - MINIMUM_INITIAL_PROCESSES + 1);
  const { violation, counts } = RosterSimulation.create({
    seed,
    processCount,
    faults: drawSchedule(seed),
    endMilliseconds: END_MILLISECONDS,
  }).run();
  return { violation, counts };
}
