/** The times by which the owner of a queue acts. */

/** The times by which the owner of a queue acts. */
export interface JobTimings {
  /** For how long an attempt may run without a renewal of its lease. */
  leaseMilliseconds: number;
  /** The longest time between two renewals. */
  maximumRenewIntervalMilliseconds: number;
  /** The shortest time between two renewals, for attempts that have just begun. */
  minimumRenewIntervalMilliseconds: number;
  /** How long a worker is silent before its attempts are given up; longer than a lease. */
  workerTimeoutMilliseconds: number;
  /** The wait after a call that failed. */
  retryMilliseconds: number;
  /** For how long a worker's answer is good for a start on it. */
  answerValidityMilliseconds: number;
  /** How long a team with less than its share waits before borrowed capacity gives way. */
  reclaimDelayMilliseconds: number;
  /** For how long a worker is held for the job for which tasks gave way on it. */
  holdMilliseconds: number;
}

/** The times of a daemon. */
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
