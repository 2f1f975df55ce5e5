/** What callers ask about jobs, and what they are told. */

import type { Configuration, Customer, Queue } from "../fleet/configuration.ts";
import type { JobState } from "../fleet/job.ts";
import type { JobSpecification } from "../fleet/job_specification.ts";

/** What a call asks for. */
export const CallKind = {
  /** To accept a job. */
  Submit: "submit",
  /** To tell a job's state. */
  State: "state",
  /** To cancel a job. */
  Cancel: "cancel",
  /** To tell how many jobs of a queue wait. */
  Waiting: "waiting",
} as const;
export type CallKind = typeof CallKind[keyof typeof CallKind];

/** A call, with all that its judgement needs. */
export interface Call {
  /** What it asks for. */
  kind: CallKind;
  /** The host name that it was sent to. */
  host: string;
  /** The path. */
  path: string;
  /** The job's id; empty where the call names none. */
  jobId: string;
  /** The key, if one came with it. */
  key?: string | undefined;
  /** The job, for `Submit`. */
  specification?: JobSpecification | undefined;
}

/** What a caller is told. */
export const AnswerOutcome = {
  /** The job is accepted and stored. */
  Accepted: "accepted",
  /** The job's state. */
  Shown: "shown",
  /** The job is cancelled, or had ended. */
  Cancelled: "cancelled",
  /** The number of jobs that wait. */
  Counted: "counted",
  /** There is no such job. */
  UnknownJob: "unknown-job",
  /** There is no such queue. */
  NoQueue: "no-queue",
  /** The key is not valid. */
  NoKey: "no-key",
  /** The call can't be understood. */
  Malformed: "malformed",
  /** Not done, and to be tried again later. */
  Unavailable: "unavailable",
  /** Another host owns the fleet: the call goes there. Callers never see this. */
  NotOwner: "not-owner",
  /** Nobody can tell whether it was done: the caller asks again. */
  Uncertain: "uncertain",
} as const;
export type AnswerOutcome = typeof AnswerOutcome[keyof typeof AnswerOutcome];

/** The answer to a call. */
export interface Answer {
  /** What the caller is told. */
  outcome: AnswerOutcome;
  /** The state, for `Shown`. */
  state?: JobState | undefined;
  /** The number, for `Counted`. */
  waiting?: number | undefined;
  /** When to come back, in seconds, for `Unavailable`. */
  retryAfterSeconds?: number | undefined;
  /** Why, for logs and callers. */
  reason?: string | undefined;
  /** What the owner knew when it answered, for logs. */
  basis?: AnswerBasis | undefined;
}

/** What the owner knew when it told a job's state or a queue's count. */
export interface AnswerBasis {
  /** The name of the queue that the call was for. */
  queue: string;
  /** The jobs that are meant and have not ended. */
  jobs: number;
  /** Of these, the ones with a run that was ordered. */
  ordered: number;
  /** Of these, the ones with a run that its executor has confirmed. */
  confirmed: number;
  /** The epoch of the claim that the owner answered under. */
  ownerEpoch: number;
  /** How long ago that claim was confirmed, in milliseconds. */
  claimAge: number;
}

/** A call that the configuration allows. */
export interface AuthorizedCall {
  /** The queue. */
  queue: Queue;
  /** The customer whose key came with the call, if the queue needs one. */
  customer?: Customer | undefined;
}

/** Gets what a configuration allows of a call, or the refusal. */
export function authorizeCall(
  call: Pick<Call, "host" | "path" | "key">,
  configuration: Configuration,
): AuthorizedCall | Answer {
  const queue = configuration.findQueue(call.host, call.path);
  if (queue === undefined) {
    return { outcome: AnswerOutcome.NoQueue, reason: "no such queue" };
  }
  const customer = call.key === undefined ? undefined : configuration.findCustomer(call.key);
  if (!queue.isPublic && customer === undefined) {
    return { outcome: AnswerOutcome.NoKey, reason: "the key is not valid" };
  }
  return { queue, customer };
}

/** Gets whether the result of an authorization is a refusal. */
export function isRefusal(result: AuthorizedCall | Answer): result is Answer {
  return "outcome" in result;
}

/** Creates the answer that a call was not done, with the time to come back. */
export function createUnavailable(reason: string, retryAfterSeconds = 1): Answer {
  return { outcome: AnswerOutcome.Unavailable, reason, retryAfterSeconds };
}
