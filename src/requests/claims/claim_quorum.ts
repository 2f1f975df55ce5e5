/** Decides on the claim of a request with an idempotency key from the votes of the holders. */

import { Vote } from "./claim.ts";
import { getQuorum } from "./claim_holders.ts";

/** The result of the votes on a claim. */
export const ClaimVerdict = {
  /** More votes are needed for a decision. */
  Undecided: "undecided",
  /** The request may start. */
  Granted: "granted",
  /** The request has run, and a holder retains its answer. */
  Answered: "answered",
  /** The request has run, and its answer is no longer retained. */
  AnswerDropped: "answer-dropped",
  /** The key was used for a different request. */
  OtherRequest: "other-request",
  /** Another attempt has the claim, or the votes are split between attempts. */
  Held: "held",
  /** Claims may have been lost, or too few holders are reachable. */
  Unsure: "unsure",
  /** The holders are at a different roster; the vote must be repeated. */
  OtherRoster: "other-roster",
  /** The holders have reached their maximum number of claims. */
  Full: "full",
} as const;

/** One of the results. */
export type ClaimVerdict = (typeof ClaimVerdict)[keyof typeof ClaimVerdict];

/** Options of a `DecideClaim`. */
export interface ClaimVoteOptions {
  /** The number of holders of the key. */
  holderCount: number;
  /** The votes, at most one per holder. */
  votes: readonly Vote[];
  /** Whether no more votes are expected. */
  isLast: boolean;
}

/** Decides on the votes. */
export type DecideClaim = (options: ClaimVoteOptions) => ClaimVerdict;

const VERDICT_BY_VOTE: readonly [Vote, ClaimVerdict][] = [
  [Vote.Held, ClaimVerdict.Held],
  [Vote.Unsure, ClaimVerdict.Unsure],
  [Vote.OtherRoster, ClaimVerdict.OtherRoster],
  [Vote.Full, ClaimVerdict.Full],
];

/** Grants the claim when a majority of the holders has granted it. */
export const decideClaim: DecideClaim = (options) =>
  decideClaimWithQuorum(options, getQuorum(options.holderCount));

/** Decides with a given number of holders that must grant the claim. */
export function decideClaimWithQuorum(options: ClaimVoteOptions, quorum: number): ClaimVerdict {
  const { holderCount, votes, isLast } = options;
  if (holderCount === 0) return ClaimVerdict.Unsure;
  if (votes.includes(Vote.Answered)) return ClaimVerdict.Answered;
  if (votes.includes(Vote.AnswerDropped)) return ClaimVerdict.AnswerDropped;
  const grantCount = votes.filter((vote) => vote === Vote.Granted).length;
  if (grantCount >= quorum) return ClaimVerdict.Granted;
  if (votes.includes(Vote.OtherRequest)) return ClaimVerdict.OtherRequest;
  const canReachQuorum = grantCount + holderCount - votes.length >= quorum;
  if (canReachQuorum && !isLast) return ClaimVerdict.Undecided;
  const found = VERDICT_BY_VOTE.find(([vote]) => votes.includes(vote));
  return found?.[1] ?? ClaimVerdict.Unsure;
}
