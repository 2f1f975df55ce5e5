/** In which order the steps that are ready start. */

import type { JobStep } from "../fleet/job.ts";
import type { FleetState } from "./fleet_state.ts";

/** Compares two steps: below 0 if the first goes first. */
export type CompareSteps = (first: JobStep, second: JobStep) => number;

/** Orders by the queue's priority, tasks that last first, then by arrival. */
export function createArrivalOrder(state: FleetState): CompareSteps {
  return (first, second) =>
    Number(second.specification.isLasting) - Number(first.specification.isLasting) ||
    getPriority(state, first) - getPriority(state, second) ||
    first.job.acceptedAt - second.job.acceptedAt ||
    first.occurrence - second.occurrence;
}

function getPriority(state: FleetState, step: JobStep): number {
  return state.getQueue(step.job.queue)?.priority ?? 0;
}
