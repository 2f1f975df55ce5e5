/** The claims that one holder remembers, bounded in number, in bytes and in time. */

import type { TargetAnswer } from "../exchange.ts";
import { ANSWER_RETENTION_MILLISECONDS, type Claim, ClaimState, Vote } from "./claim.ts";

/** The largest answer that is kept. */
export const MAXIMUM_RETAINED_ANSWER_BYTES = 64 * 1024;

/** The bounds of a ledger. */
export interface ClaimLedgerOptions {
  /** The most claims. */
  maximumClaims: number;
  /** The most bytes of all kept answers. */
  maximumAnswerBytes: number;
}

/** A request for a claim. */
export interface ClaimProposal {
  /** The hash of team, service and idempotency key. */
  key: string;
  /** The attempt that asks. */
  owner: string;
  /** The hash of the request. */
  fingerprint: string;
  /** How long the claim is kept if its owner never ends it. */
  holdMilliseconds: number;
}

interface KeptClaim extends Omit<Claim, "remainingMilliseconds"> {
  expiresAt: number;
}

/** Keeps claims; every time is an argument, in elapsed milliseconds. */
export class ClaimLedger {
  readonly #options: ClaimLedgerOptions;
  /** The claims by key: after a hand-over, more than one owner may be known under a key. */
  readonly #claims = new Map<string, KeptClaim[]>();
  readonly #answered = new Set<KeptClaim>();
  #claimCount = 0;
  #answerBytes = 0;

  private constructor(options: ClaimLedgerOptions) {
    this.#options = options;
  }

  /** Creates an empty ledger. */
  static create(options: ClaimLedgerOptions): ClaimLedger {
    return new ClaimLedger(options);
  }

  /** Gets the number of claims and the bytes of their answers. */
  getSize(): { claims: number; answerBytes: number } {
    return { claims: this.#claimCount, answerBytes: this.#answerBytes };
  }

  /** Gets whether any claim is known under a key. */
  hasClaim(key: string, now: number): boolean {
    return this.#find(key, now).length > 0;
  }

  /** Gets the kept answer of a key, if there is one. */
  getAnswer(key: string, now: number): TargetAnswer | undefined {
    return this.#find(key, now).find((claim) => claim.answer !== undefined)?.answer;
  }

  /** Gets all claims. */
  getClaims(now: number): Claim[] {
    this.removeExpired(now);
    return [...this.#claims.values()].flat().map((claim) => toClaim(claim, now));
  }

  /** Votes on a key, and keeps the claim of the first who asks. */
  vote(wanted: ClaimProposal, now: number): Vote {
    const others = this.#find(wanted.key, now).filter((claim) => claim.owner !== wanted.owner);
    if (others.length === 0) return this.#grant(wanted, now);
    if (others.some((claim) => claim.fingerprint !== wanted.fingerprint)) return Vote.OtherRequest;
    const states = others.map((claim) => claim.state);
    if (states.includes(ClaimState.Answered)) return Vote.Answered;
    return states.includes(ClaimState.AnswerDropped) ? Vote.AnswerDropped : Vote.Held;
  }

  /** Keeps the answer of the claim's owner. */
  complete(wanted: ClaimProposal, answer: TargetAnswer | undefined, now: number): void {
    const claim = this.#getOwn(wanted, now) ?? this.#create(wanted, now);
    if (claim === undefined || claim.state !== ClaimState.Held) return;
    const isKept = answer !== undefined && answer.body.length <= MAXIMUM_RETAINED_ANSWER_BYTES;
    claim.state = isKept ? ClaimState.Answered : ClaimState.AnswerDropped;
    claim.answer = isKept ? answer : undefined;
    claim.expiresAt = now + ANSWER_RETENTION_MILLISECONDS;
    this.#countAnswer(claim);
  }

  /** Forgets the claim of an owner that has not run and never will. */
  release(key: string, owner: string): void {
    const claim = this.#claims.get(key)?.find((candidate) => candidate.owner === owner);
    if (claim?.state === ClaimState.Held) this.#remove(claim);
  }

  /** Adds a claim that another holder handed over; an answer goes before a claim without one. */
  addHandedOver(handed: Claim, now: number): void {
    const known = this.#getOwn(handed, now);
    if (known !== undefined && known.state !== ClaimState.Held) return;
    if (known !== undefined) this.#remove(known);
    const { remainingMilliseconds, ...rest } = handed;
    const claim = { ...rest, expiresAt: now + remainingMilliseconds };
    this.#add(claim);
    this.#countAnswer(claim);
  }

  /** Forgets what is past its time. */
  removeExpired(now: number): void {
    for (const key of [...this.#claims.keys()]) this.#find(key, now);
  }

  #find(key: string, now: number): readonly KeptClaim[] {
    const claims = this.#claims.get(key) ?? [];
    for (const claim of claims) if (claim.expiresAt <= now) this.#remove(claim);
    return this.#claims.get(key) ?? [];
  }

  #getOwn(wanted: { key: string; owner: string }, now: number): KeptClaim | undefined {
    return this.#find(wanted.key, now).find((claim) => claim.owner === wanted.owner);
  }

  #grant(wanted: ClaimProposal, now: number): Vote {
    const own = this.#getOwn(wanted, now);
    if (own !== undefined) return own.state === ClaimState.Held ? Vote.Granted : Vote.Answered;
    return this.#create(wanted, now) === undefined ? Vote.Full : Vote.Granted;
  }

  #create(wanted: ClaimProposal, now: number): KeptClaim | undefined {
    if (this.#claimCount >= this.#options.maximumClaims) this.removeExpired(now);
    if (this.#claimCount >= this.#options.maximumClaims) return undefined;
    const { key, owner, fingerprint, holdMilliseconds } = wanted;
    const expiresAt = now + holdMilliseconds;
    const state = ClaimState.Held;
    return this.#add({ key, owner, fingerprint, state, answer: undefined, expiresAt });
  }

  #add(claim: KeptClaim): KeptClaim {
    this.#claims.set(claim.key, [...this.#claims.get(claim.key) ?? [], claim]);
    this.#claimCount += 1;
    return claim;
  }

  #countAnswer(claim: KeptClaim): void {
    if (claim.answer === undefined) return;
    this.#answered.add(claim);
    this.#answerBytes += claim.answer.body.length;
    for (const oldest of this.#answered) {
      if (this.#answerBytes <= this.#options.maximumAnswerBytes) return;
      this.#dropAnswer(oldest);
    }
  }

  /** Drops an answer but not its claim: the request must not run again. */
  #dropAnswer(claim: KeptClaim): void {
    if (!this.#answered.delete(claim)) return;
    this.#answerBytes -= claim.answer?.body.length ?? 0;
    claim.answer = undefined;
    claim.state = ClaimState.AnswerDropped;
  }

  #remove(claim: KeptClaim): void {
    this.#dropAnswer(claim);
    this.#claimCount -= 1;
    const others = (this.#claims.get(claim.key) ?? []).filter((other) => other !== claim);
    if (others.length === 0) this.#claims.delete(claim.key);
    else this.#claims.set(claim.key, others);
  }
}

function toClaim(claim: KeptClaim, now: number): Claim {
  const { expiresAt, ...rest } = claim;
  return { ...rest, remainingMilliseconds: Math.max(0, expiresAt - now) };
}
