/** The timings of job scheduling. */

/** The intervals and time limits of the owner of a queue. */
export interface JobTimings {
  /** How long an attempt may run without a renewal of its lease. */
  leaseMilliseconds: number;
  /** The maximum time between two renewals. */
  maximumRenewIntervalMilliseconds: number;
  /** The minimum time between two renewals, used for attempts that have just started. */
  minimumRenewIntervalMilliseconds: number;
  /** The time without an answer from a worker until its attempts count as lost; exceeds a lease. */
  workerTimeoutMilliseconds: number;
  /** The delay before a failed call is repeated. */
  retryMilliseconds: number;
  /** How long after a worker's answer tasks may start on it. */
  answerValidityMilliseconds: number;
  /** How long a job of a team below its share is blocked before tasks are preempted for it. */
  reclaimDelayMilliseconds: number;
  /** How long a worker is held for the job that preempted tasks on it. */
  holdMilliseconds: number;
}

/** The timings of an entry host. */
export const JOB_TIMINGS: JobTimings = {
  leaseMilliseconds: 15_000,
  maximumRenewIntervalMilliseconds: 3_000,
  minimumRenewIntervalMilliseconds: 250,
  workerTimeoutMilliseconds: 30_000,
  retryMilliseconds: 500,
  answerValidityMilliseconds: 10_000,
  reclaimDelayMilliseconds: 5_000,
  holdMilliseconds: 3_000,
};
