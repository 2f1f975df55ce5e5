/** What one process knows of the log, how old that is, and what its peers say of theirs. */

import {
  BLIND_THRESHOLD_MILLISECONDS,
  type GetReadTimeLowerBound,
  REPORT_VALIDITY_MILLISECONDS,
} from "./freshness.ts";
import { type Heartbeat, MAXIMUM_AGE_MILLISECONDS } from "./heartbeat.ts";

/** How many of the newest own pings can still be answered. */
const KEPT_PINGS = 64;

/** How many statements of one peer wait for records that this process lacks. */
const KEPT_CLAIMS = 4;

/** The gap between two ticks from which a process was paused. */
const PAUSE_MILLISECONDS = 1_200;

/** Knowledge of a peer that counts once its records are here. */
interface Claim {
  knownAt: number;
  offset: number;
}

/** What a peer said last of itself in answer to a ping. */
interface Statement {
  sequence: number;
  sentAt: number;
  isBlind: boolean;
  offset: number;
}

/** Options of a `Knowledge`. */
export interface FreshnessTrackerOptions {
  /** Gets the time of the read behind a peer's statement. */
  getReadTimeLowerBound: GetReadTimeLowerBound;
}

/** Keeps the time of the newest knowledge: that of an own read, or of a peer whose records are here. */
export class FreshnessTracker {
  readonly #getReadTimeLowerBound: GetReadTimeLowerBound;
  readonly #pings = new Map<number, number>();
  readonly #claims = new Map<string, Claim[]>();
  readonly #statements = new Map<string, Statement>();
  #offset = -1;
  #knownAt: number | undefined;
  #freshReaderAt = -Infinity;
  #awakeSince: number | undefined;
  #tickedAt = -Infinity;

  private constructor(options: FreshnessTrackerOptions) {
    this.#getReadTimeLowerBound = options.getReadTimeLowerBound;
  }

  /** Creates the knowledge of a process that has just started. */
  static create(options: FreshnessTrackerOptions): FreshnessTracker {
    return new FreshnessTracker(options);
  }

  /** Notes that the process is awake and sends the ping with this number. */
  addPing(sequence: number, now: number): void {
    if (now - this.#tickedAt > PAUSE_MILLISECONDS) this.#awakeSince = now;
    this.#tickedAt = now;
    this.#pings.set(sequence, now);
    this.#pings.delete(sequence - KEPT_PINGS);
  }

  /** Notes a read to the head of the log. */
  addRead(startedAt: number): void {
    this.#addKnowledge(startedAt);
  }

  /** Notes the offset of the newest applied record, which makes the claims up to it count. */
  setOffset(offset: number): void {
    this.#offset = offset;
    for (const [peer, claims] of this.#claims) {
      const waiting = claims.filter((claim) => !this.#takeClaim(claim));
      if (waiting.length === 0) this.#claims.delete(peer);
      else this.#claims.set(peer, waiting);
    }
  }

  /** Notes what a member of the roster says. */
  addHeartbeat(from: string, heartbeat: Heartbeat, now: number): void {
    const { ageMilliseconds, echo, sequence, isBlind, offset } = heartbeat;
    if (ageMilliseconds < MAXIMUM_AGE_MILLISECONDS) {
      this.#freshReaderAt = Math.max(this.#freshReaderAt, now - ageMilliseconds);
    }
    const sentAt = this.#pings.get(echo);
    if (sentAt === undefined) return;
    this.#addStatement(from, { sequence, sentAt, isBlind, offset });
    if (ageMilliseconds === MAXIMUM_AGE_MILLISECONDS) return;
    this.#addClaim(from, {
      knownAt: this.#getReadTimeLowerBound({ sentAt, ageMilliseconds }),
      offset,
    });
  }

  /** Forgets what the members said that are no longer among these. */
  retain(memberIds: readonly string[]): void {
    for (const from of this.#statements.keys()) {
      if (!memberIds.includes(from)) this.#statements.delete(from);
    }
    for (const from of this.#claims.keys()) {
      if (!memberIds.includes(from)) this.#claims.delete(from);
    }
  }

  /** Gets when the read began that the newest knowledge comes from. */
  getAsOf(): number | undefined {
    return this.#knownAt;
  }

  /** Gets whether no fresh reader can be reached, though the process was awake to try. */
  isBlind(now: number): boolean {
    const isAwake = now - this.#tickedAt <= PAUSE_MILLISECONDS;
    const tryingSince = this.#awakeSince ?? now;
    const newest = Math.max(this.#knownAt ?? -Infinity, this.#freshReaderAt, tryingSince);
    return isAwake && now - newest >= BLIND_THRESHOLD_MILLISECONDS;
  }

  /** Gets when the pings were sent that were answered with "blind", by those not ahead of this one. */
  getBlindReportTimes(now: number): number[] {
    return [...this.#statements.values()]
      .filter((statement) => statement.isBlind && statement.offset <= this.#offset)
      .map((statement) => statement.sentAt)
      .filter((sentAt) => now < sentAt + REPORT_VALIDITY_MILLISECONDS);
  }

  #addStatement(from: string, statement: Statement): void {
    const before = this.#statements.get(from);
    if (before !== undefined && before.sequence >= statement.sequence) return;
    this.#statements.set(from, statement);
  }

  #addClaim(from: string, claim: Claim): void {
    if (this.#takeClaim(claim)) return;
    const claims = this.#claims.get(from) ?? [];
    this.#claims.set(from, [...claims.slice(1 - KEPT_CLAIMS), claim]);
  }

  #takeClaim(claim: Claim): boolean {
    if (claim.offset > this.#offset) return false;
    this.#addKnowledge(claim.knownAt);
    return true;
  }

  #addKnowledge(knownAt: number): void {
    this.#knownAt = Math.max(this.#knownAt ?? -Infinity, knownAt);
  }
}
