/** The duties of the host at which a request with an idempotency key arrived: it asks the holders and decides. */

import type { TargetAnswer } from "../exchange.ts";
import type { ClaimDecision, ClaimEnd } from "../request_progress.ts";
import { createNotRunRefusal, Outcome, type Refusal, RefusalReason } from "../refusal.ts";
import type { Vote } from "./claim.ts";
import type { ClaimProposal } from "./claim_ledger.ts";
import type { OutgoingClaimMessage } from "./claim_holder.ts";
import type { ClaimPeerMessage, ClaimVoted } from "./claim_messages.ts";
import { ClaimVerdict, type DecideClaim } from "./claim_quorum.ts";

/** How often the holders are asked when two attempts split them or the roster changes. */
export const MAXIMUM_VOTE_ROUNDS = 4;

/** When a caller who met a claim should try again. */
const CLAIM_RETRY_MILLISECONDS = 1_000;

/** A request that needs a claim. */
export interface ClaimRequest {
  /** The id of the request. */
  requestId: string;
  /** The hash of team, service and idempotency key. */
  key: string;
  /** The hash of the request. */
  fingerprint: string;
  /** How long its claim is kept if it never ends. */
  holdMilliseconds: number;
}

/** What the coordinator wants done. */
export type ClaimEffect =
  | { kind: "send"; outgoing: OutgoingClaimMessage }
  | { kind: "decide"; requestId: string; decision: ClaimDecision }
  | { kind: "await-votes"; owner: string }
  | { kind: "ask-later"; requestId: string; round: number };

/** The holders of a key under the newest roster. */
export interface KeyHolders {
  /** The name of the roster. */
  rosterId: string;
  /** The holders. */
  holders: readonly string[];
}

/** Options of a `ClaimCoordinator`. */
export interface ClaimCoordinatorOptions {
  /** Decides what the votes come to. */
  decideClaim: DecideClaim;
  /** Gets the holders of a key. */
  getHolders: (key: string) => KeyHolders;
}

interface Attempt {
  request: ClaimRequest;
  wanted: ClaimProposal;
  ask: number;
  holders: readonly string[];
  votes: Map<string, Vote>;
  answer: TargetAnswer | undefined;
  isGranted: boolean;
  expiresAt: number;
}

/** Owns the attempts of the requests of one host; it reads no clock and sends nothing by itself. */
export class ClaimCoordinator {
  readonly #options: ClaimCoordinatorOptions;
  readonly #attempts = new Map<string, Attempt>();
  /** The attempt that holds the claim of a request. */
  readonly #granted = new Map<string, Attempt>();
  readonly #waiting = new Map<string, { request: ClaimRequest; ask: number }>();

  private constructor(options: ClaimCoordinatorOptions) {
    this.#options = options;
  }

  /** Creates a coordinator without requests. */
  static create(options: ClaimCoordinatorOptions): ClaimCoordinator {
    return new ClaimCoordinator(options);
  }

  /** Gets how many requests wait for votes or hold a claim. */
  getSize(): number {
    return this.#attempts.size + this.#waiting.size;
  }

  /** Asks the holders on behalf of a request. */
  start(request: ClaimRequest, now: number): ClaimEffect[] {
    return this.#ask(request, 1, now);
  }

  /** Asks again after a pause. */
  startNextRound(requestId: string, now: number): ClaimEffect[] {
    const waiting = this.#waiting.get(requestId);
    this.#waiting.delete(requestId);
    return waiting === undefined ? [] : this.#ask(waiting.request, waiting.ask, now);
  }

  /** Counts the vote of a holder. */
  addVote(from: string, voted: ClaimVoted): ClaimEffect[] {
    const attempt = this.#attempts.get(voted.owner);
    if (attempt === undefined || attempt.isGranted || !attempt.holders.includes(from)) return [];
    attempt.votes.set(from, voted.vote);
    attempt.answer ??= voted.answer;
    return this.#decide(attempt, false);
  }

  /** Decides without the votes that did not come in time. */
  endVoting(owner: string): ClaimEffect[] {
    const attempt = this.#attempts.get(owner);
    return attempt === undefined || attempt.isGranted ? [] : this.#decide(attempt, true);
  }

  /** Tells the holders how a request that held its claim ended. */
  end(requestId: string, end: ClaimEnd): ClaimEffect[] {
    const attempt = this.#granted.get(requestId);
    if (attempt === undefined) return [];
    this.#forget(attempt);
    return end.outcome === "answered"
      ? this.#send(attempt, { kind: "claim-settled", ...attempt.wanted, answer: end.answer })
      : this.#release(attempt);
  }

  /** Forgets the claims that their holders have forgotten too: those that never ended. */
  removeExpired(now: number): void {
    for (const attempt of [...this.#attempts.values()]) {
      if (attempt.expiresAt <= now) this.#forget(attempt);
    }
  }

  #forget(attempt: Attempt): void {
    this.#attempts.delete(attempt.wanted.owner);
    this.#granted.delete(attempt.request.requestId);
  }

  #ask(request: ClaimRequest, ask: number, now: number): ClaimEffect[] {
    const { requestId, key, fingerprint, holdMilliseconds } = request;
    const { rosterId, holders } = this.#options.getHolders(key);
    const owner = `${requestId}/${ask}`;
    const wanted = { key, owner, fingerprint, holdMilliseconds };
    const attempt = {
      request,
      wanted,
      ask,
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
      ...this.#send(attempt, { kind: "claim-asked", ...wanted, rosterId }),
    ];
  }

  #decide(attempt: Attempt, isLast: boolean): ClaimEffect[] {
    const { holders, request } = attempt;
    const votes = [...attempt.votes.values()];
    const verdict = this.#options.decideClaim({ holderCount: holders.length, votes, isLast });
    if (verdict === ClaimVerdict.Undecided) return [];
    if (verdict === ClaimVerdict.Granted) {
      attempt.isGranted = true;
      this.#granted.set(request.requestId, attempt);
      return [createDecision(request, { outcome: "granted" })];
    }
    this.#forget(attempt);
    const released = this.#release(attempt);
    const mayAskAgain = verdict === ClaimVerdict.Held || verdict === ClaimVerdict.OtherRoster ||
      verdict === ClaimVerdict.Unsure;
    if (mayAskAgain && attempt.ask < MAXIMUM_VOTE_ROUNDS) {
      this.#waiting.set(request.requestId, { request, ask: attempt.ask + 1 });
      const { requestId } = request;
      return [...released, { kind: "ask-later", requestId, round: attempt.ask }];
    }
    return [...released, createDecision(request, explain(verdict, attempt.answer))];
  }

  /** Releases what this attempt was granted; it has not started and never will. */
  #release(attempt: Attempt): ClaimEffect[] {
    const { key, owner } = attempt.wanted;
    return this.#send(attempt, { kind: "claim-released", key, owner });
  }

  #send(attempt: Attempt, message: ClaimPeerMessage): ClaimEffect[] {
    return attempt.holders.map((to) => ({ kind: "send", outgoing: { to, message } }));
  }
}

function createDecision(request: ClaimRequest, decision: ClaimDecision): ClaimEffect {
  return { kind: "decide", requestId: request.requestId, decision };
}

function explain(verdict: ClaimVerdict, answer: TargetAnswer | undefined): ClaimDecision {
  if (verdict === ClaimVerdict.Answered && answer !== undefined) {
    return { outcome: "answered", answer };
  }
  return { outcome: "refused", refusal: createClaimRefusal(verdict) };
}

/** Gets the refusal of a request that did not get its claim: it did not run, but its operation may have. */
function createClaimRefusal(verdict: ClaimVerdict): Refusal {
  switch (verdict) {
    case ClaimVerdict.OtherRequest:
      return createNotRunRefusal(
        RefusalReason.KeyReused,
        "the idempotency key came with another request before",
      );
    case ClaimVerdict.Held:
      return createUnknown(RefusalReason.InProgress, "a request with this key may be running");
    case ClaimVerdict.Full:
      return createNotRunRefusal(
        RefusalReason.QueueFull,
        "the holders of the key are full",
        CLAIM_RETRY_MILLISECONDS,
      );
    case ClaimVerdict.Answered:
    case ClaimVerdict.AnswerDropped:
      return {
        reason: RefusalReason.ClaimLost,
        outcome: Outcome.Unknown,
        detail: "a request with this key has run, and its answer is no longer kept",
      };
    default:
      return createUnknown(
        RefusalReason.ClaimLost,
        "too few holders of the key can say whether a request with it has run",
      );
  }
}

function createUnknown(reason: RefusalReason, detail: string): Refusal {
  const retryAfterMilliseconds = CLAIM_RETRY_MILLISECONDS;
  return { reason, outcome: Outcome.Unknown, detail, retryAfterMilliseconds };
}
