/** The soak `roster`: standing and removals under random faults. */

import { drawSchedule, MAXIMUM_INITIAL_PROCESSES } from "./roster_model/fault.ts";
import { RosterSimulation } from "./roster_model/roster_simulation.ts";
import type { Soak, SoakRunResult } from "./soak.ts";

/** The fewest processes that start at time zero. */
const FEWEST_STARTED = 2;

/** When a run ends, in milliseconds of the model: well after the last fault. */
const END_MILLISECONDS = 80_000;

/** The soak `roster`. */
export const ROSTER_SOAK: Soak = { name: "roster", run: runRosterSoak };

function runRosterSoak(options: { seed: number }): SoakRunResult {
  const { seed } = options;
  const processCount = FEWEST_STARTED + seed % (MAXIMUM_INITIAL_PROCESSES - FEWEST_STARTED + 1);
  const { violation, counts } = RosterSimulation.create({
    seed,
    processCount,
    faults: drawSchedule(seed),
    endMilliseconds: END_MILLISECONDS,
  }).run();
  return { violation, counts };
}
