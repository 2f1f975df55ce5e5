/** The longest chain of work in a job: what it takes at least, however much room there is. */

import type { Job } from "../fleet/job.ts";
import type { DurationBook } from "./duration_book.ts";

/** Gets the longest chain from a step on, or of the whole occurrence from step 0, in milliseconds. */
export function getChain(durations: DurationBook, job: Job, from: number): number {
  const ends: number[] = [];
  let longest = 0;
  job.specification.steps.forEach((specification, number) => {
    const begin = Math.max(0, ...specification.after.map((earlier) => ends[earlier] ?? 0));
    const own = number >= from ? durations.getDuration({ job, specification }) : 0;
    ends.push(begin + own);
    longest = Math.max(longest, begin + own);
  });
  return longest;
}
