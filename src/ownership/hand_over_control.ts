/** The course of an owner's hand-overs to hosts with less shortage. */

import type { EventLog } from "../events/mod.ts";
import { HandOverBackoff } from "./hand_over_backoff.ts";
import { type Candidate, chooseSuccessor } from "./hand_over_decision.ts";
import type { Claim } from "./ownership_ports.ts";

/** The stages of a hand-over. */
const HandOverStage = {
  /** The owner has stopped deciding and lets its journal end. */
  Ending: "ending",
  /** The claim can be released. */
  Ready: "ready",
  /** A release was sent, and it is not known whether it was stored. */
  Sent: "sent",
  /** The release was stored. */
  Released: "released",
} as const;
type HandOverStage = typeof HandOverStage[keyof typeof HandOverStage];

/** A decision to hand over, and what follows from it. */
export interface HandOver {
  /** The epoch of the claim that is handed over. */
  epoch: number;
  /** The holder identity of the successor's process. */
  successor: string;
}

interface HandOverInProgress extends HandOver {
  stage: HandOverStage;
  leaseMilliseconds: number;
}

/** Options of a `HandOverControl`. */
export interface HandOverControlOptions {
  /** The shortage of this host. */
  shortage: number;
  /** The event log. */
  log: EventLog;
}

/** Owns the candidates for the succession and the hand-over in progress. */
export class HandOverControl {
  readonly #options: HandOverControlOptions;
  readonly #backoff = HandOverBackoff.create();
  /** The candidates by holder identity. */
  readonly #candidates = new Map<string, Candidate>();
  #current: HandOverInProgress | undefined;
  #count = 0;

  private constructor(options: HandOverControlOptions) {
    this.#options = options;
  }

  /** Creates a control without candidates. */
  static create(options: HandOverControlOptions): HandOverControl {
    return new HandOverControl(options);
  }

  /** Gets the number of claims that this process has released for a successor. */
  getCount(): number {
    return this.#count;
  }

  /** Records a candidate's ping. */
  setCandidate(candidate: Candidate): void {
    this.#candidates.set(candidate.holder, candidate);
  }

  /** Records that a candidate's link was closed; it may have opened another one before. */
  removeCandidate(holder: string, linkOpenedAt: number): void {
    if (this.#candidates.get(holder)?.linkOpenedAt === linkOpenedAt) {
      this.#candidates.delete(holder);
    }
  }

  /** Decides whether to hand over a claim now; undefined if not or if a hand-over is in progress. */
  decide(epoch: number, claimedAt: number, now: number): HandOver | undefined {
    if (this.#current !== undefined) return undefined;
    const { shortage, log } = this.#options;
    const choice = chooseSuccessor({
      shortage,
      claimedAt,
      now,
      notBefore: this.#backoff.getEarliestTime(),
      candidates: this.#candidates.values(),
    });
    if (choice === undefined) return undefined;
    const { successor, candidateCount } = choice;
    log("hand-over-decided", {
      epoch,
      shortage,
      successor: successor.holder,
      successorShortage: successor.shortage,
      pingAge: Math.round(now - successor.pingedAt),
      linkAge: Math.round(now - successor.linkOpenedAt),
      candidates: candidateCount,
      heldFor: Math.round(now - claimedAt),
    });
    this.#current = {
      epoch,
      successor: successor.holder,
      stage: HandOverStage.Ending,
      leaseMilliseconds: 0,
    };
    return { epoch, successor: successor.holder };
  }

  /** Records that the owner's journal has ended, with the longest lease that remains. */
  recordEnded(epoch: number, leaseMilliseconds: number): void {
    if (this.#current?.epoch !== epoch || this.#current.stage !== HandOverStage.Ending) return;
    this.#current.stage = HandOverStage.Ready;
    this.#current.leaseMilliseconds = leaseMilliseconds;
  }

  /** Gets the fields of the claim to release, once; undefined if none is to be released. */
  takeRelease(): Pick<Claim, "successor" | "leaseMilliseconds"> | undefined {
    if (this.#current?.stage !== HandOverStage.Ready) return undefined;
    this.#current.stage = HandOverStage.Sent;
    const { successor, leaseMilliseconds } = this.#current;
    return { successor, leaseMilliseconds };
  }

  /**
   * Records that a renewal was stored, and gets whether the owner must go on deciding. Renewal and
   * release need the same end of the topic, so the release can't be stored any more.
   */
  recordRenewed(now: number): boolean {
    if (this.#current?.stage !== HandOverStage.Sent) return false;
    this.#fail("the release was not stored", now);
    return true;
  }

  /** Records that the owner goes on deciding, since its journal has not ended in time. */
  recordAbandoned(epoch: number, now: number): void {
    if (this.#current?.epoch !== epoch || this.#current.stage !== HandOverStage.Ending) return;
    this.#fail("the journal has not ended", now);
  }

  /** Records the newest claim: the release, or who has claimed after it. */
  recordClaim(claim: Claim | undefined, now: number): void {
    const current = this.#current;
    if (current === undefined || claim === undefined) return;
    if (claim.epoch === current.epoch) {
      // A stopping host releases its claim for no successor.
      if (!claim.isReleased || claim.successor !== current.successor) return;
      if (current.stage === HandOverStage.Released) return;
      current.stage = HandOverStage.Released;
      this.#count += 1;
      return;
    }
    if (claim.holder !== current.successor) return this.#fail(`claimed by ${claim.holder}`, now);
    this.#current = undefined;
    this.#backoff.recordSuccess();
  }

  #fail(reason: string, now: number): void {
    const { epoch, successor, stage } = this.#current!;
    this.#current = undefined;
    const pauseMilliseconds = this.#backoff.recordFailure(now);
    this.#options.log("hand-over-failed", { epoch, successor, stage, reason, pauseMilliseconds });
  }
}
