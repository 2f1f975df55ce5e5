/** The claims of one holder, limited in number, bytes and lifetime. */

import type { TargetAnswer } from "../exchange.ts";
import { ANSWER_RETENTION_MILLISECONDS, type Claim, ClaimState, Vote } from "./claim.ts";

/** The maximum size of a retained answer. */
export const MAXIMUM_RETAINED_ANSWER_BYTES = 64 * 1024;

/** Options of a `ClaimLedger`. */
export interface ClaimLedgerOptions {
  /** The maximum number of claims. */
  maximumClaims: number;
  /** The maximum total size of the retained answers in bytes. */
  maximumAnswerBytes: number;
}

/** A claim that an attempt proposes to the holders. */
export interface ClaimProposal {
  /** The hash of the team, service and idempotency key. */
  key: string;
  /** The id of the claim attempt. */
  owner: string;
  /** The hash of the request. */
  fingerprint: string;
  /** How long the claim is held if its owner never ends it. */
  holdMilliseconds: number;
}

interface StoredClaim extends Omit<Claim, "remainingMilliseconds"> {
  expiresAt: number;
}

/** Keeps claims. Times are passed as arguments, in elapsed milliseconds. */
export class ClaimLedger {
  readonly #options: ClaimLedgerOptions;
  /** The claims by key. After a hand-over, a key may have claims of more than one owner. */
  readonly #claims = new Map<string, StoredClaim[]>();
  readonly #answered = new Set<StoredClaim>();
  #claimCount = 0;
  #answerBytes = 0;

  private constructor(options: ClaimLedgerOptions) {
    this.#options = options;
  }

  static create(options: ClaimLedgerOptions): ClaimLedger {
    return new ClaimLedger(options);
  }

  /** Gets the number of claims and the total size of their answers in bytes. */
  getSize(): { claims: number; answerBytes: number } {
    return { claims: this.#claimCount, answerBytes: this.#answerBytes };
  }

  /** Gets whether a key has any claim. */
  hasClaim(key: string, now: number): boolean {
    return this.#find(key, now).length > 0;
  }

  /** Gets the retained answer of a key, if there is one. */
  getAnswer(key: string, now: number): TargetAnswer | undefined {
    return this.#find(key, now).find((claim) => claim.answer !== undefined)?.answer;
  }

  /** Gets the claims that have not expired. */
  getClaims(now: number): Claim[] {
    this.removeExpired(now);
    return [...this.#claims.values()].flat().map((claim) => toClaim(claim, now));
  }

  /** Votes on a proposed claim, and stores the claim of the first attempt that proposes one. */
  vote(proposal: ClaimProposal, now: number): Vote {
    const others = this.#find(proposal.key, now).filter((claim) => claim.owner !== proposal.owner);
    if (others.length === 0) return this.#grant(proposal, now);
    if (others.some((claim) => claim.fingerprint !== proposal.fingerprint)) {
      return Vote.OtherRequest;
    }
    const states = others.map((claim) => claim.state);
    if (states.includes(ClaimState.Answered)) return Vote.Answered;
    return states.includes(ClaimState.AnswerDropped) ? Vote.AnswerDropped : Vote.Held;
  }

  /** Marks the request of a claim as run, and retains its answer. */
  complete(proposal: ClaimProposal, answer: TargetAnswer | undefined, now: number): void {
    const claim = this.#findByOwner(proposal, now) ?? this.#create(proposal, now);
    if (claim === undefined || claim.state !== ClaimState.Held) return;
    const isRetained = answer !== undefined && answer.body.length <= MAXIMUM_RETAINED_ANSWER_BYTES;
    claim.state = isRetained ? ClaimState.Answered : ClaimState.AnswerDropped;
    claim.answer = isRetained ? answer : undefined;
    claim.expiresAt = now + ANSWER_RETENTION_MILLISECONDS;
    this.#retainAnswer(claim);
  }

  /** Removes the claim of an owner that has not run and never will. */
  release(key: string, owner: string): void {
    const claim = this.#claims.get(key)?.find((candidate) => candidate.owner === owner);
    if (claim?.state === ClaimState.Held) this.#remove(claim);
  }

  /** Adds a claim from a hand-over. It replaces a held claim of the same owner, but not an answered one. */
  addHandedOver(handed: Claim, now: number): void {
    const known = this.#findByOwner(handed, now);
    if (known !== undefined && known.state !== ClaimState.Held) return;
    if (known !== undefined) this.#remove(known);
    const { remainingMilliseconds, ...rest } = handed;
    const claim = { ...rest, expiresAt: now + remainingMilliseconds };
    this.#add(claim);
    this.#retainAnswer(claim);
  }

  /** Removes expired claims. */
  removeExpired(now: number): void {
    for (const key of [...this.#claims.keys()]) this.#find(key, now);
  }

  #find(key: string, now: number): readonly StoredClaim[] {
    const claims = this.#claims.get(key) ?? [];
    for (const claim of claims) if (claim.expiresAt <= now) this.#remove(claim);
    return this.#claims.get(key) ?? [];
  }

  #findByOwner(proposal: { key: string; owner: string }, now: number): StoredClaim | undefined {
    return this.#find(proposal.key, now).find((claim) => claim.owner === proposal.owner);
  }

  #grant(proposal: ClaimProposal, now: number): Vote {
    const own = this.#findByOwner(proposal, now);
    if (own !== undefined) return own.state === ClaimState.Held ? Vote.Granted : Vote.Answered;
    return this.#create(proposal, now) === undefined ? Vote.Full : Vote.Granted;
  }

  #create(proposal: ClaimProposal, now: number): StoredClaim | undefined {
    if (this.#claimCount >= this.#options.maximumClaims) this.removeExpired(now);
    if (this.#claimCount >= this.#options.maximumClaims) return undefined;
    const { key, owner, fingerprint, holdMilliseconds } = proposal;
    const expiresAt = now + holdMilliseconds;
    const state = ClaimState.Held;
    return this.#add({ key, owner, fingerprint, state, answer: undefined, expiresAt });
  }

  #add(claim: StoredClaim): StoredClaim {
    this.#claims.set(claim.key, [...this.#claims.get(claim.key) ?? [], claim]);
    this.#claimCount += 1;
    return claim;
  }

  #retainAnswer(claim: StoredClaim): void {
    if (claim.answer === undefined) return;
    this.#answered.add(claim);
    this.#answerBytes += claim.answer.body.length;
    for (const oldest of this.#answered) {
      if (this.#answerBytes <= this.#options.maximumAnswerBytes) return;
      this.#evictAnswer(oldest);
    }
  }

  /** Evicts an answer but keeps its claim, so that the request cannot run again. */
  #evictAnswer(claim: StoredClaim): void {
    if (!this.#answered.delete(claim)) return;
    this.#answerBytes -= claim.answer?.body.length ?? 0;
    claim.answer = undefined;
    claim.state = ClaimState.AnswerDropped;
  }

  #remove(claim: StoredClaim): void {
    this.#evictAnswer(claim);
    this.#claimCount -= 1;
    const others = (this.#claims.get(claim.key) ?? []).filter((other) => other !== claim);
    if (others.length === 0) this.#claims.delete(claim.key);
    else this.#claims.set(claim.key, others);
  }
}

function toClaim(claim: StoredClaim, now: number): Claim {
  const { expiresAt, ...rest } = claim;
  return { ...rest, remainingMilliseconds: Math.max(0, expiresAt - now) };
}
