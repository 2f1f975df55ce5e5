/** Refusals: typed outcomes that state whether the request may have run. */

/** The outcomes of a request without an answer from a target. */
export const Outcome = {
  /** The request did not run: no byte was sent to a target, or the target proved that it did not run. */
  NotRun: "not-run",
  /** The request may have run. */
  Unknown: "unknown",
} as const;

/** One of the outcomes of a request without an answer. */
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** The reasons of a refusal. */
export const RefusalReason = {
  BadRequest: "bad-request",
  HeadTooLarge: "head-too-large",
  BodyTooLarge: "body-too-large",
  UnknownService: "unknown-service",
  NoKey: "no-key",
  WrongKey: "wrong-key",
  NoRights: "no-rights",
  OverLimit: "over-limit",
  QueueFull: "queue-full",
  DeadlinePassed: "deadline-passed",
  NoHost: "no-host",
  NotReady: "not-ready",
  Isolated: "isolated",
  TargetFailed: "target-failed",
  KeyReused: "key-reused",
  InProgress: "in-progress",
  ClaimLost: "claim-lost",
  RequestTimeout: "request-timeout",
  /** The id belongs to a different job. */
  JobConflict: "job-conflict",
  /** No worker, or no set of workers, can run the job. */
  JobCannotRun: "job-cannot-run",
  UnknownJob: "unknown-job",
  /** The log did not answer in time. */
  LogUnavailable: "log-unavailable",
} as const;

/** One of the reasons of a refusal. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A refusal of a request. */
export interface Refusal {
  reason: RefusalReason;
  /** Whether the request may have run. */
  outcome: Outcome;
  /** One sentence for the caller. */
  detail: string;
  /** The delay after which a retry makes sense, if any. */
  retryAfterMilliseconds?: number;
}

/** Creates the refusal of a request of which no byte was sent to a target. */
export function createNotRunRefusal(
  reason: RefusalReason,
  detail: string,
  retryAfterMilliseconds?: number,
): Refusal {
  const refusal = { reason, outcome: Outcome.NotRun, detail };
  return retryAfterMilliseconds === undefined ? refusal : { ...refusal, retryAfterMilliseconds };
}
