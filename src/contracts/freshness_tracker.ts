/** The age of a process's view of the log, and the reports of its peers about theirs. */

import {
  BLIND_THRESHOLD_MILLISECONDS,
  type GetReadTimeLowerBound,
  REPORT_VALIDITY_MILLISECONDS,
} from "./freshness.ts";
import { type Heartbeat, MAXIMUM_AGE_MILLISECONDS } from "./heartbeat.ts";

/** How many of the newest pings of this process can still be answered. */
const MAXIMUM_PENDING_PINGS = 64;

/** How many views of one peer are kept until their records are applied here. */
const MAXIMUM_PENDING_VIEWS = 4;

/** A longer gap between two ticks means that the process was paused. */
const PAUSE_MILLISECONDS = 1_200;

/** A peer's view of the log, which counts once its records are applied here. */
interface PeerView {
  asOf: number;
  offset: number;
}

/** The newest report of a peer in answer to a ping. */
interface PeerReport {
  sequence: number;
  sentAt: number;
  isBlind: boolean;
  offset: number;
}

/** Options of a `FreshnessTracker`. */
export interface FreshnessTrackerOptions {
  /** Gets a lower bound of the time at which the read behind a peer's report began. */
  getReadTimeLowerBound: GetReadTimeLowerBound;
}

/**
 * Tracks the age of the newest view: a read of this process, or a peer's whose records are applied.
 */
export class FreshnessTracker {
  readonly #getReadTimeLowerBound: GetReadTimeLowerBound;
  readonly #pings = new Map<number, number>();
  readonly #pendingViews = new Map<string, PeerView[]>();
  readonly #reports = new Map<string, PeerReport>();
  #offset = -1;
  #asOf: number | undefined;
  #newestPeerViewAt = -Infinity;
  #resumedAt: number | undefined;
  #lastTickAt = -Infinity;

  private constructor(options: FreshnessTrackerOptions) {
    this.#getReadTimeLowerBound = options.getReadTimeLowerBound;
  }

  /** Creates the tracker of a process that has read nothing. */
  static create(options: FreshnessTrackerOptions): FreshnessTracker {
    return new FreshnessTracker(options);
  }

  /** Adds a timer tick, at which the process sends the ping with this sequence number. */
  addPing(sequence: number, now: number): void {
    if (now - this.#lastTickAt > PAUSE_MILLISECONDS) this.#resumedAt = now;
    this.#lastTickAt = now;
    this.#pings.set(sequence, now);
    this.#pings.delete(sequence - MAXIMUM_PENDING_PINGS);
  }

  /** Adds a read to the head of the log. */
  addRead(startedAt: number): void {
    this.#setAsOf(startedAt);
  }

  /** Sets the offset of the newest applied record; the pending views up to it count from now on. */
  setOffset(offset: number): void {
    this.#offset = offset;
    for (const [peer, views] of this.#pendingViews) {
      const pending = views.filter((view) => !this.#applyView(view));
      if (pending.length === 0) this.#pendingViews.delete(peer);
      else this.#pendingViews.set(peer, pending);
    }
  }

  /** Adds a heartbeat of a member of the roster. */
  addHeartbeat(from: string, heartbeat: Heartbeat, now: number): void {
    const { ageMilliseconds, echo, sequence, isBlind, offset } = heartbeat;
    if (ageMilliseconds < MAXIMUM_AGE_MILLISECONDS) {
      this.#newestPeerViewAt = Math.max(this.#newestPeerViewAt, now - ageMilliseconds);
    }
    const sentAt = this.#pings.get(echo);
    if (sentAt === undefined) return;
    this.#addReport(from, { sequence, sentAt, isBlind, offset });
    if (ageMilliseconds === MAXIMUM_AGE_MILLISECONDS) return;
    this.#addView(from, { asOf: this.#getReadTimeLowerBound({ sentAt, ageMilliseconds }), offset });
  }

  /** Removes the reports and views of all other members. */
  retain(memberIds: readonly string[]): void {
    for (const from of this.#reports.keys()) {
      if (!memberIds.includes(from)) this.#reports.delete(from);
    }
    for (const from of this.#pendingViews.keys()) {
      if (!memberIds.includes(from)) this.#pendingViews.delete(from);
    }
  }

  /** Gets when the read behind the newest view began. */
  getAsOf(): number | undefined {
    return this.#asOf;
  }

  /**
   * Gets whether neither this process nor a peer has had a view younger than the threshold since this
   * process last resumed.
   */
  isBlind(now: number): boolean {
    const isRunning = now - this.#lastTickAt <= PAUSE_MILLISECONDS;
    const resumedAt = this.#resumedAt ?? now;
    const newest = Math.max(this.#asOf ?? -Infinity, this.#newestPeerViewAt, resumedAt);
    return isRunning && now - newest >= BLIND_THRESHOLD_MILLISECONDS;
  }

  /**
   * Gets when the pings were sent that peers answered as blind, of peers whose offset is not ahead.
   */
  getBlindReportTimes(now: number): number[] {
    return [...this.#reports.values()]
      .filter((report) => report.isBlind && report.offset <= this.#offset)
      .map((report) => report.sentAt)
      .filter((sentAt) => now < sentAt + REPORT_VALIDITY_MILLISECONDS);
  }

  #addReport(from: string, report: PeerReport): void {
    const previous = this.#reports.get(from);
    if (previous !== undefined && previous.sequence >= report.sequence) return;
    this.#reports.set(from, report);
  }

  #addView(from: string, view: PeerView): void {
    if (this.#applyView(view)) return;
    const views = this.#pendingViews.get(from) ?? [];
    this.#pendingViews.set(from, [...views.slice(1 - MAXIMUM_PENDING_VIEWS), view]);
  }

  #applyView(view: PeerView): boolean {
    if (view.offset > this.#offset) return false;
    this.#setAsOf(view.asOf);
    return true;
  }

  #setAsOf(asOf: number): void {
    this.#asOf = Math.max(this.#asOf ?? -Infinity, asOf);
  }
}
