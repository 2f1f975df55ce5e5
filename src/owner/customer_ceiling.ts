/** The ceiling on what a customer's tasks may use at a time. */

import type { JobTask } from "../fleet/job.ts";
import { addResources, fitsCapacity, NO_RESOURCES, type Resources } from "../fleet/resources.ts";
import type { FleetState } from "./fleet_state.ts";

/** Gets whether `count` more tasks of a step fit under their customer's ceiling. */
export function fitsUnderCeiling(state: FleetState, task: JobTask, count: number): boolean {
  const ceiling = state.configuration.customers.get(task.step.job.customer)?.ceiling;
  if (ceiling === undefined) return true;
  const added: Resources = { ...NO_RESOURCES };
  addResources(added, task.step.specification.demand, count);
  const limit = {
    cpu: ceiling.cpu || Infinity,
    memory: ceiling.memory || Infinity,
    accelerators: ceiling.accelerators || Infinity,
  };
  // Unreported runs may use this much in addition.
  const inDoubt = state.inDoubtUsage.get(task.step.job.customer);
  if (inDoubt !== undefined) addResources(added, inDoubt);
  return fitsCapacity(state.getUsage(task.step.job.customer), added, limit);
}

/** Counts how many more tasks of a step fit under their customer's ceiling, up to `most`. */
export function countUnderCeiling(state: FleetState, task: JobTask, most: number): number {
  let count = most;
  while (count > 0 && !fitsUnderCeiling(state, task, count)) count -= 1;
  return count;
}
