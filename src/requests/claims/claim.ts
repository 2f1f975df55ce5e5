/** Claims: what the holders of an idempotency key remember of the one request that may run under it. */

import type { TargetAnswer } from "../exchange.ts";

/** How long an answer is kept for repeated requests. */
export const ANSWER_RETENTION_MILLISECONDS = 300_000;

/** The longest time from the arrival of a request with a key to the end of its work. */
export const MAXIMUM_CLAIMED_RUN_MILLISECONDS = 600_000;

/** What differences between the clocks of hosts and late messages can add to a claim. */
export const CLAIM_MARGIN_MILLISECONDS = 30_000;

/** The longest life of a claim: nobody needs to know of an older one. */
export const MAXIMUM_CLAIM_MILLISECONDS = MAXIMUM_CLAIMED_RUN_MILLISECONDS +
  ANSWER_RETENTION_MILLISECONDS + CLAIM_MARGIN_MILLISECONDS;

/** The states of a claim. */
export const ClaimState = {
  /** Its owner may start, may be running or may have run. */
  Held: "held",
  /** Its owner has run, and the answer is kept. */
  Answered: "answered",
  /** Its owner has run, but the answer was too large or too old to keep. */
  AnswerDropped: "answer-dropped",
} as const;

/** One of the states of a claim. */
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

/** What one holder remembers under one key. */
export interface Claim {
  /** The hash of team, service and idempotency key. */
  key: string;
  /** The attempt that owns the claim. */
  owner: string;
  /** The hash of the request, so that the same key with another request is refused. */
  fingerprint: string;
  /** The state. */
  state: ClaimState;
  /** The answer, if it is kept. */
  answer: TargetAnswer | undefined;
  /** How long the claim is still kept. */
  remainingMilliseconds: number;
}

/** What a holder says of a key. */
export const Vote = {
  /** The claim is the asker's. */
  Granted: "granted",
  /** Another owner has the claim. */
  Held: "held",
  /** Another owner has it for another request. */
  OtherRequest: "other-request",
  /** The request has run, and this is its answer. */
  Answered: "answered",
  /** The request has run, but its answer is gone. */
  AnswerDropped: "answer-dropped",
  /** This holder may have lost claims, so it agrees to nothing. */
  Unsure: "unsure",
  /** This holder knows another roster. */
  OtherRoster: "other-roster",
  /** This holder can keep no more claims. */
  Full: "full",
} as const;

/** One of the votes of a holder. */
export type Vote = (typeof Vote)[keyof typeof Vote];
