/** Refusals: typed outcomes that say whether the request ran. */

/** What is known of a request that got no answer from a target. */
export const Outcome = {
  /** Proved: no byte of it left for a target, or the target proved that it did not run. */
  NotRun: "not-run",
  /** It may have run. */
  Unknown: "unknown",
} as const;

/** One of the outcomes of a request without an answer. */
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Why a request was refused. */
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
  /** Another job has the id. */
  JobConflict: "job-conflict",
  /** No worker, or no set of workers, could ever run the job. */
  JobCannotRun: "job-cannot-run",
  UnknownJob: "unknown-job",
  /** The log did not answer in time. */
  LogUnavailable: "log-unavailable",
} as const;

/** One of the reasons of a refusal. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A refusal of a request. */
export interface Refusal {
  /** Why. */
  reason: RefusalReason;
  /** Whether the request ran, as far as is known. */
  outcome: Outcome;
  /** One sentence for the caller. */
  detail: string;
  /** When to try again, if that makes sense. */
  retryAfterMilliseconds?: number;
}

/** Creates a refusal of a request of which no byte left for a target. */
export function createNotRunRefusal(
  reason: RefusalReason,
  detail: string,
  retryAfterMilliseconds?: number,
): Refusal {
  const refusal = { reason, outcome: Outcome.NotRun, detail };
  return retryAfterMilliseconds === undefined ? refusal : { ...refusal, retryAfterMilliseconds };
}
