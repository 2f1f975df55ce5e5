/** Coordinates the claim of a request with an idempotency key: requests the holders' votes and decides on them. */

import type { TargetAnswer } from "../exchange.ts";
import type { ClaimDecision, ClaimEnd } from "../request_progress.ts";
import { createNotRunRefusal, Outcome, type Refusal, RefusalReason } from "../refusal.ts";
import type { Vote } from "./claim.ts";
import type { ClaimProposal } from "./claim_ledger.ts";
import type { OutgoingClaimMessage } from "./claim_holder.ts";
import type { ClaimPeerMessage, ClaimVoted } from "./claim_messages.ts";
import { ClaimVerdict, type DecideClaim } from "./claim_quorum.ts";

/** The maximum number of vote rounds, when votes are split between two attempts or the roster changes. */
export const MAXIMUM_VOTE_ROUNDS = 4;

/** The retry delay for callers whose request got no claim. */
const RETRY_AFTER_MILLISECONDS = 1_000;

/** A request that needs a claim. */
export interface ClaimRequest {
  /** The id of the request. */
  requestId: string;
  /** The hash of the team, service and idempotency key. */
  key: string;
  /** The hash of the request. */
  fingerprint: string;
  /** How long the claim is held if the request never ends. */
  holdMilliseconds: number;
}

/** An effect that the coordinator requests. */
export type ClaimEffect =
  | { kind: "send"; outgoing: OutgoingClaimMessage }
  | { kind: "decide"; requestId: string; decision: ClaimDecision }
  | { kind: "await-votes"; owner: string }
  | { kind: "ask-later"; requestId: string; round: number };

/** The holders of an idempotency key under the newest roster. */
export interface KeyHolders {
  /** The id of the roster. */
  rosterId: string;
  /** The ids of the holders. */
  holders: readonly string[];
}

/** Options of a `ClaimCoordinator`. */
export interface ClaimCoordinatorOptions {
  /** Decides on the votes. */
  decideClaim: DecideClaim;
  /** Gets the holders of a key. */
  getHolders: (key: string) => KeyHolders;
}

interface ClaimAttempt {
  request: ClaimRequest;
  proposal: ClaimProposal;
  round: number;
  holders: readonly string[];
  votes: Map<string, Vote>;
  answer: TargetAnswer | undefined;
  isGranted: boolean;
  expiresAt: number;
}

/** Keeps the claim attempts of the requests of an entry host. It reads no clock and returns messages as effects. */
export class ClaimCoordinator {
  readonly #options: ClaimCoordinatorOptions;
  readonly #attempts = new Map<string, ClaimAttempt>();
  /** The attempts that hold a claim, by request id. */
  readonly #granted = new Map<string, ClaimAttempt>();
  readonly #waiting = new Map<string, { request: ClaimRequest; round: number }>();

  private constructor(options: ClaimCoordinatorOptions) {
    this.#options = options;
  }

  static create(options: ClaimCoordinatorOptions): ClaimCoordinator {
    return new ClaimCoordinator(options);
  }

  /** Gets the number of requests that wait for a claim or hold one. */
  getSize(): number {
    return this.#attempts.size + this.#waiting.size;
  }

  /** Starts the first vote round of a request. */
  start(request: ClaimRequest, now: number): ClaimEffect[] {
    return this.#startRound(request, 1, now);
  }

  /** Starts the next vote round of a request, after the pause. */
  startNextRound(requestId: string, now: number): ClaimEffect[] {
    const waiting = this.#waiting.get(requestId);
    this.#waiting.delete(requestId);
    return waiting === undefined ? [] : this.#startRound(waiting.request, waiting.round, now);
  }

  /** Handles the vote of a holder. */
  addVote(from: string, voted: ClaimVoted): ClaimEffect[] {
    const attempt = this.#attempts.get(voted.owner);
    if (attempt === undefined || attempt.isGranted || !attempt.holders.includes(from)) return [];
    attempt.votes.set(from, voted.vote);
    attempt.answer ??= voted.answer;
    return this.#decide(attempt, false);
  }

  /** Decides without the votes that did not arrive in time. */
  endVoting(owner: string): ClaimEffect[] {
    const attempt = this.#attempts.get(owner);
    return attempt === undefined || attempt.isGranted ? [] : this.#decide(attempt, true);
  }

  /** Notifies the holders of the end of a request that held its claim. */
  end(requestId: string, end: ClaimEnd): ClaimEffect[] {
    const attempt = this.#granted.get(requestId);
    if (attempt === undefined) return [];
    this.#removeAttempt(attempt);
    return end.outcome === "answered"
      ? this.#send(attempt, { kind: "claim-settled", ...attempt.proposal, answer: end.answer })
      : this.#release(attempt);
  }

  /** Removes claims that never ended and have expired at their holders too. */
  removeExpired(now: number): void {
    for (const attempt of [...this.#attempts.values()]) {
      if (attempt.expiresAt <= now) this.#removeAttempt(attempt);
    }
  }

  #removeAttempt(attempt: ClaimAttempt): void {
    this.#attempts.delete(attempt.proposal.owner);
    this.#granted.delete(attempt.request.requestId);
  }

  #startRound(request: ClaimRequest, round: number, now: number): ClaimEffect[] {
    const { requestId, key, fingerprint, holdMilliseconds } = request;
    const { rosterId, holders } = this.#options.getHolders(key);
    const owner = `${requestId}/${round}`;
    const proposal = { key, owner, fingerprint, holdMilliseconds };
    const attempt = {
      request,
      proposal,
      round,
      holders,
      votes: new Map<string, Vote>(),
      answer: undefined,
      isGranted: false,
      expiresAt: now + holdMilliseconds,
    };
    this.#attempts.set(owner, attempt);
    if (holders.length === 0) return this.#decide(attempt, true);
    return [
      { kind: "await-votes", owner },
      ...this.#send(attempt, { kind: "claim-asked", ...proposal, rosterId }),
    ];
  }

  #decide(attempt: ClaimAttempt, isLast: boolean): ClaimEffect[] {
    const { holders, request } = attempt;
    const votes = [...attempt.votes.values()];
    const verdict = this.#options.decideClaim({ holderCount: holders.length, votes, isLast });
    if (verdict === ClaimVerdict.Undecided) return [];
    if (verdict === ClaimVerdict.Granted) {
      attempt.isGranted = true;
      this.#granted.set(request.requestId, attempt);
      return [createDecision(request, { outcome: "granted" })];
    }
    this.#removeAttempt(attempt);
    const released = this.#release(attempt);
    const mayVoteAgain = verdict === ClaimVerdict.Held || verdict === ClaimVerdict.OtherRoster ||
      verdict === ClaimVerdict.Unsure;
    if (mayVoteAgain && attempt.round < MAXIMUM_VOTE_ROUNDS) {
      this.#waiting.set(request.requestId, { request, round: attempt.round + 1 });
      const { requestId } = request;
      return [...released, { kind: "ask-later", requestId, round: attempt.round }];
    }
    return [...released, createDecision(request, toClaimDecision(verdict, attempt.answer))];
  }

  /** Releases the votes granted to an attempt whose request did not run and never will. */
  #release(attempt: ClaimAttempt): ClaimEffect[] {
    const { key, owner } = attempt.proposal;
    return this.#send(attempt, { kind: "claim-released", key, owner });
  }

  #send(attempt: ClaimAttempt, message: ClaimPeerMessage): ClaimEffect[] {
    return attempt.holders.map((to) => ({ kind: "send", outgoing: { to, message } }));
  }
}

function createDecision(request: ClaimRequest, decision: ClaimDecision): ClaimEffect {
  return { kind: "decide", requestId: request.requestId, decision };
}

function toClaimDecision(verdict: ClaimVerdict, answer: TargetAnswer | undefined): ClaimDecision {
  if (verdict === ClaimVerdict.Answered && answer !== undefined) {
    return { outcome: "answered", answer };
  }
  return { outcome: "refused", refusal: createClaimRefusal(verdict) };
}

/** Creates the refusal of a request without a claim. An earlier request with its key may have run. */
function createClaimRefusal(verdict: ClaimVerdict): Refusal {
  switch (verdict) {
    case ClaimVerdict.OtherRequest:
      return createNotRunRefusal(
        RefusalReason.KeyReused,
        "the idempotency key was already used for a different request",
      );
    case ClaimVerdict.Held:
      return createUnknownRefusal(
        RefusalReason.InProgress,
        "a request with this idempotency key may still be running",
      );
    case ClaimVerdict.Full:
      return createNotRunRefusal(
        RefusalReason.QueueFull,
        "the claim holders of the idempotency key are at capacity",
        RETRY_AFTER_MILLISECONDS,
      );
    case ClaimVerdict.Answered:
    case ClaimVerdict.AnswerDropped:
      return {
        reason: RefusalReason.ClaimLost,
        outcome: Outcome.Unknown,
        detail: "a request with this idempotency key has run, and its answer is no longer retained",
      };
    default:
      return createUnknownRefusal(
        RefusalReason.ClaimLost,
        "too few claim holders can tell whether a request with this idempotency key has run",
      );
  }
}

function createUnknownRefusal(reason: RefusalReason, detail: string): Refusal {
  const retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS;
  return { reason, outcome: Outcome.Unknown, detail, retryAfterMilliseconds };
}
