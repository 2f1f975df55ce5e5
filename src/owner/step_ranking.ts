/** Ranks the steps that are ready to start. */

import type { JobStep } from "../fleet/job.ts";
import type { DurationEstimator } from "./duration_estimator.ts";
import type { FleetState } from "./fleet_state.ts";
import { getCriticalPathMilliseconds } from "./critical_path.ts";

/** A sort key, compared element by element; the lowest rank starts first. */
export type StepRank = readonly number[];

/** Gets the rank of a step. */
export type RankStep = (step: JobStep) => StepRank;

/** Ranks long-running tasks first, then by the queue's priority, then by arrival. */
export function createArrivalRanking(state: FleetState): RankStep {
  return (step) => [
    Number(!step.specification.isLasting),
    getPriority(state, step),
    step.job.acceptedAt,
    step.occurrence,
  ];
}

/**
 * Ranks steps that can still meet their objective before those that cannot, by deadline.
 *
 * This matters when the load exceeds the pool's capacity. In order of arrival every job would wait
 * for the whole backlog and miss its objective; in this ranking jobs that have already missed
 * theirs yield to jobs that can still meet it. Jobs beyond their customer's fair share come after
 * jobs within it. Of the occurrences that have missed their objective, one of each job comes before
 * the others, and repeating jobs take turns with other late jobs, which so don't wait for the whole
 * backlog of a repeating job.
 */
export function createUrgencyRanking(
  state: FleetState,
  durationEstimator: DurationEstimator,
): RankStep {
  return (step) => {
    const { specification, job } = step;
    const priority = getPriority(state, step);
    if (specification.isLasting) return [0, priority, job.acceptedAt];
    const deadline = getDeadline(state, durationEstimator, step);
    const remaining = getCriticalPathMilliseconds(durationEstimator, job, step.number);
    const isMissed = state.timeOfDay + remaining > deadline;
    const [isFurther, turn] = isMissed ? getTurn(step, deadline) : [0, deadline];
    return [
      1,
      Number(isMissed || job.exceedsFairShare),
      priority,
      // The fair share was checked once for all occurrences of a job, and so covers only one.
      Math.max(Number(job.exceedsFairShare), isFurther),
      isFurther,
      turn,
    ];
  };
}

/**
 * Gets whether a step may hold room for its tasks: it is long-running, or it can still meet its
 * objective and its customer is within the fair share.
 */
export function createReservationCheck(
  state: FleetState,
  durationEstimator: DurationEstimator,
): (step: JobStep) => boolean {
  return (step) => {
    const { specification, job } = step;
    if (specification.isLasting) return true;
    if (job.exceedsFairShare) return false;
    const remaining = getCriticalPathMilliseconds(durationEstimator, job, step.number);
    return state.timeOfDay + remaining <= getDeadline(state, durationEstimator, step);
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

/**
 * Gets the rank among steps that have missed their objective: first an occurrence of each job, in the
 * order of their deadlines or of the last starts of repeating jobs, then the further occurrences.
 */
export function getTurn({ job, occurrence }: JobStep, deadline: number): [number, number] {
  if (job.specification.repeats === 0) return [0, deadline];
  if (job.isFurther(occurrence)) return [1, deadline];
  return [0, Math.max(deadline, job.lastStartAt)];
}

/** Gets when a step's occurrence must end to meet its objective, in milliseconds since 1970. */
function getDeadline(
  state: FleetState,
  durationEstimator: DurationEstimator,
  step: JobStep,
): number {
  const { job } = step;
  const queue = state.getQueue(job.queue);
  const start = job.getDueAt(step.occurrence) || job.acceptedAt;
  const criticalPath = getCriticalPathMilliseconds(durationEstimator, job, 0);
  return start + (queue?.stretch ?? 1) * criticalPath + (queue?.objectiveMilliseconds ?? 0);
}

/** Gets the priority of a step's queue; 0 is the highest. */
export function getPriority(state: FleetState, step: JobStep): number {
  return state.getQueue(step.job.queue)?.priority ?? 0;
}
