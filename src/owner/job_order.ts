/** In which order the steps that are ready start. */

import type { JobStep } from "../fleet/job.ts";
import type { DurationBook } from "./duration_book.ts";
import type { FleetState } from "./fleet_state.ts";
import { getChain } from "./job_chain.ts";

/** Where a step stands: compared number by number, the lower one goes first. */
export type StepRank = readonly number[];

/** Gets where a step stands. */
export type RankStep = (step: JobStep) => StepRank;

/** Ranks by the queue's priority, tasks that last first, then by arrival. */
export function createArrivalOrder(state: FleetState): RankStep {
  return (step) => [
    Number(!step.specification.isLasting),
    getPriority(state, step),
    step.job.acceptedAt,
    step.occurrence,
  ];
}

/**
 * Ranks what can still meet its objective before what can't, by the time at which it is missed.
 *
 * It answers a load beyond the pool's room: in order of arrival every job waits as long as the
 * backlog and misses, while here those that have missed make way for those that have not. What a
 * customer hands in beyond its share comes after what others hand in within theirs.
 */
export function createUrgencyOrder(state: FleetState, durations: DurationBook): RankStep {
  return (step) => {
    const { specification, job } = step;
    const priority = getPriority(state, step);
    if (specification.isLasting) return [0, priority, job.acceptedAt, 0, 0];
    const deadline = getDeadline(state, durations, step);
    const remaining = getChain(durations, job, step.number);
    const isMissed = state.timeOfDay + remaining > deadline;
    return [
      1,
      Number(isMissed || job.isBeyondShare),
      priority,
      Number(job.isBeyondShare),
      deadline,
    ];
  };
}

/** Compares two ranks. */
export function compareRanks(first: StepRank, second: StepRank): number {
  for (let index = 0; index < first.length; index += 1) {
    const difference = first[index]! - (second[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}

/** Gets when a step's occurrence misses its objective, in milliseconds since 1970. */
function getDeadline(state: FleetState, durations: DurationBook, step: JobStep): number {
  const { job } = step;
  const queue = state.getQueue(job.queue);
  const begin = job.getDueAt(step.occurrence) || job.acceptedAt;
  const chain = getChain(durations, job, 0);
  return begin + (queue?.stretch ?? 1) * chain + (queue?.objectiveMilliseconds ?? 0);
}

function getPriority(state: FleetState, step: JobStep): number {
  return state.getQueue(step.job.queue)?.priority ?? 0;
}
