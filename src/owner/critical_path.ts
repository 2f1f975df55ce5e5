/** The critical path of a job: the minimum time that it takes, whatever capacity is free. */

import type { Job } from "../fleet/job.ts";
import type { DurationEstimator } from "./duration_estimator.ts";

/**
 * Gets the estimated length of the critical path of an occurrence, in milliseconds, with the steps
 * before `firstStep` counted as done.
 */
export function getCriticalPathMilliseconds(
  durationEstimator: DurationEstimator,
  job: Job,
  firstStep: number,
): number {
  const ends: number[] = [];
  let maximum = 0;
  job.specification.steps.forEach((specification, number) => {
    const start = Math.max(0, ...specification.after.map((earlier) => ends[earlier] ?? 0));
    const duration = number >= firstStep
      ? durationEstimator.estimateMilliseconds({ job, specification })
      : 0;
    ends.push(start + duration);
    maximum = Math.max(maximum, start + duration);
  });
  return maximum;
}
