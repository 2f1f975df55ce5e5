/** The timings of job scheduling. */

/** The intervals and time limits of the owner of a queue. */
export interface JobTimings {
  /** How long an attempt may run without a renewal of its lease. */
  leaseMilliseconds: number;
  /** The maximum time between two renewals. */
  renewMilliseconds: number;
  /** The minimum time between two renewals, used for attempts that have just started. */
  shortestRenewMilliseconds: number;
  /** The time without an answer from a worker until its attempts count as lost; exceeds a lease. */
  silenceMilliseconds: number;
  /** The delay before a failed call is repeated. */
  retryMilliseconds: number;
  /** How long after a worker's answer tasks may start on it. */
  freshMilliseconds: number;
  /** How long a team below its share waits before borrowed capacity is preempted for it. */
  takeBackMilliseconds: number;
  /** How long a worker is held for the job that preempted tasks on it. */
  holdMilliseconds: number;
}

/** The timings of an entry host. */
export const JOB_TIMINGS: JobTimings = {
  leaseMilliseconds: 15_000,
  renewMilliseconds: 3_000,
  shortestRenewMilliseconds: 250,
  silenceMilliseconds: 30_000,
  retryMilliseconds: 500,
  freshMilliseconds: 10_000,
  takeBackMilliseconds: 5_000,
  holdMilliseconds: 3_000,
};
