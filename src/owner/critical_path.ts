/** The critical path of a job: the minimum time that it takes, whatever capacity is free. */

import type { Job } from "../fleet/job.ts";
import type { DurationEstimator } from "./duration_estimator.ts";

/**
 * Gets the length of the critical path through the steps from a number on, in milliseconds; from
 * step 0 it is that of the whole occurrence.
 */
export function getCriticalPathMilliseconds(
  durations: DurationEstimator,
  job: Job,
  firstStep: number,
): number {
  const ends: number[] = [];
  let longest = 0;
  job.specification.steps.forEach((specification, number) => {
    const start = Math.max(0, ...specification.after.map((earlier) => ends[earlier] ?? 0));
    const duration = number >= firstStep
      ? durations.estimateMilliseconds({ job, specification })
      : 0;
    ends.push(start + duration);
    longest = Math.max(longest, start + duration);
  });
  return longest;
}
