/** Claims: the state that the holders of an idempotency key keep for the one request that may run under it. */

import type { TargetAnswer } from "../exchange.ts";

/** How long an answer is retained for repeated requests. */
export const ANSWER_RETENTION_MILLISECONDS = 300_000;

/** The maximum time from the arrival of a request with an idempotency key to the end of its work. */
export const MAXIMUM_CLAIMED_RUN_MILLISECONDS = 600_000;

/** The safety margin of a claim for clock differences between hosts and for delayed messages. */
export const CLAIM_MARGIN_MILLISECONDS = 30_000;

/** The maximum lifetime of a claim, after which no holder needs it. */
export const MAXIMUM_CLAIM_MILLISECONDS = MAXIMUM_CLAIMED_RUN_MILLISECONDS +
  ANSWER_RETENTION_MILLISECONDS + CLAIM_MARGIN_MILLISECONDS;

/** The states of a claim. */
export const ClaimState = {
  /** The owner may start, may be running or may have run. */
  Held: "held",
  /** The owner has run, and its answer is retained. */
  Answered: "answered",
  /** The owner has run, but its answer was too large or was evicted. */
  AnswerDropped: "answer-dropped",
} as const;

/** One of the states of a claim. */
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

/** The state that a holder keeps for an idempotency key. */
export interface Claim {
  /** The hash of team, service and idempotency key. */
  key: string;
  /** The id of the claim attempt that owns the claim. */
  owner: string;
  /** The hash of the request, by which a different request with the same key is refused. */
  fingerprint: string;
  state: ClaimState;
  /** The answer, if it is retained. */
  answer: TargetAnswer | undefined;
  /** The time until the claim expires. */
  remainingMilliseconds: number;
}

/** The vote of a holder on a claim. */
export const Vote = {
  /** The claim belongs to the requesting attempt. */
  Granted: "granted",
  /** The claim belongs to another attempt. */
  Held: "held",
  /** The claim belongs to another attempt, for a different request. */
  OtherRequest: "other-request",
  /** The request has run, and the vote carries its answer. */
  Answered: "answered",
  /** The request has run, but its answer is no longer retained. */
  AnswerDropped: "answer-dropped",
  /** The holder may lack claims of the key, so it grants nothing. */
  Unsure: "unsure",
  /** The holder is at a different roster. */
  OtherRoster: "other-roster",
  /** The holder has reached its maximum number of claims. */
  Full: "full",
} as const;

/** One of the votes of a holder. */
export type Vote = (typeof Vote)[keyof typeof Vote];
