/** Calls of callers about jobs, their answers, and their authorization. */

import type { Configuration, Customer, Queue } from "../fleet/configuration.ts";
import type { JobState } from "../fleet/job.ts";
import type { JobSpecification } from "../fleet/job_specification.ts";

/** The kind of a call. */
export const CallKind = {
  /** Submits a job. */
  Submit: "submit",
  /** Gets the state of a job. */
  State: "state",
  /** Cancels a job. */
  Cancel: "cancel",
  /** Gets the number of queued jobs of a queue. */
  CountQueued: "waiting",
} as const;
export type CallKind = typeof CallKind[keyof typeof CallKind];

/** A call, with all the data that its authorization needs. */
export interface Call {
  /** The kind. */
  kind: CallKind;
  /** The requested host name. */
  host: string;
  /** The requested path. */
  path: string;
  /** The job id; empty if the call refers to no job. */
  jobId: string;
  /** The API key, if the call has one. */
  key?: string | undefined;
  /** The job specification, for `Submit`. */
  specification?: JobSpecification | undefined;
}

/** The outcome of a call. */
export const AnswerOutcome = {
  /** The job is accepted and stored. */
  Accepted: "accepted",
  /** The job's state is returned. */
  StateReturned: "shown",
  /** The job is cancelled or had already ended. */
  Cancelled: "cancelled",
  /** The number of queued jobs is returned. */
  CountReturned: "counted",
  /** There is no such job. */
  UnknownJob: "unknown-job",
  /** There is no such queue. */
  UnknownQueue: "no-queue",
  /** The key is missing or not valid. */
  InvalidKey: "no-key",
  /** The call is malformed. */
  Malformed: "malformed",
  /** The job is larger than can be stored. */
  TooLarge: "too-large",
  /** The call was not carried out; the caller should retry later. */
  Unavailable: "unavailable",
  /** Another host owns the fleet and must get the call. Internal: callers never see this outcome. */
  NotOwner: "not-owner",
  /** It is in doubt whether the call was carried out; the caller should repeat it. */
  InDoubt: "uncertain",
} as const;
export type AnswerOutcome = typeof AnswerOutcome[keyof typeof AnswerOutcome];

/** The outcomes that tell a caller that its call was not carried out and never will be. */
const NOT_CARRIED_OUT_OUTCOMES: ReadonlySet<AnswerOutcome> = new Set([
  AnswerOutcome.UnknownQueue,
  AnswerOutcome.InvalidKey,
  AnswerOutcome.Malformed,
  AnswerOutcome.TooLarge,
  AnswerOutcome.Unavailable,
]);

/** The answer to a call. */
export interface Answer {
  /** The outcome. */
  outcome: AnswerOutcome;
  /** The state of the job, for `StateReturned`. */
  state?: JobState | undefined;
  /** The number of queued jobs, for `CountReturned`. */
  waiting?: number | undefined;
  /** The delay before a retry, in seconds, for `Unavailable`. */
  retryAfterSeconds?: number | undefined;
  /** The reason, for logs and callers. */
  reason?: string | undefined;
  /** The state of the owner when it answered, for logs. */
  basis?: AnswerBasis | undefined;
}

/** The state of the owner when it answered a `State` or `CountQueued` call. */
export interface AnswerBasis {
  /** The name of the queue. */
  queue: string;
  /** The number of jobs that the call refers to and that have not ended. */
  jobs: number;
  /** The number of these with a run that was ordered. */
  ordered: number;
  /** The number of these with a run that its executor confirmed. */
  confirmed: number;
  /** The epoch of the owner's claim. */
  ownerEpoch: number;
  /** The time since the claim was last confirmed, in milliseconds. */
  claimAge: number;
}

/** The result of a successful authorization. */
export interface AuthorizedCall {
  /** The queue. */
  queue: Queue;
  /** The customer that the call's key belongs to; on public queues only if there is one. */
  customer?: Customer | undefined;
}

/** Authorizes a call by a configuration; returns the refusal if it is not allowed. */
export function authorizeCall(
  call: Pick<Call, "host" | "path" | "key">,
  configuration: Configuration,
): AuthorizedCall | Answer {
  const queue = configuration.findQueue(call.host, call.path);
  if (queue === undefined) {
    return { outcome: AnswerOutcome.UnknownQueue, reason: "no such queue" };
  }
  const customer = call.key === undefined ? undefined : configuration.findCustomer(call.key);
  if (!queue.isPublic && customer === undefined) {
    return { outcome: AnswerOutcome.InvalidKey, reason: "the key is not valid" };
  }
  return { queue, customer };
}

/** Gets whether the result of `authorizeCall` is a refusal. */
export function isRefusal(result: AuthorizedCall | Answer): result is Answer {
  return "outcome" in result;
}

/** Gets whether an answer tells a caller that its call was not carried out and never will be. */
export function isNotCarriedOut(answer: Answer): boolean {
  return NOT_CARRIED_OUT_OUTCOMES.has(answer.outcome);
}

/** Creates the answer to a submission whose job is too large. */
export function createTooLarge(reason: string): Answer {
  return { outcome: AnswerOutcome.TooLarge, reason };
}

/** Creates the answer to a call that was not carried out and should be retried. */
export function createUnavailable(reason: string, retryAfterSeconds = 1): Answer {
  return { outcome: AnswerOutcome.Unavailable, reason, retryAfterSeconds };
}
