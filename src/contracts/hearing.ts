/** Failure detection from heartbeats, and the offsets that the members have applied. */

import { SILENCE_LIMIT_MILLISECONDS, STATEMENT_VALIDITY_MILLISECONDS } from "./freshness.ts";
import { type Heartbeat, NO_ECHO } from "./heartbeat.ts";
import { getMajority } from "./roster.ts";

/** The newest data from the heartbeats of one member. */
export interface HeardMember {
  /** When the last heartbeat came, in elapsed milliseconds. */
  heardAt: number;
  /** The offset of the newest record that the member has applied. */
  offset: number;
  /** The highest sequence number of its heartbeats. */
  sequence: number;
}

interface Report {
  reportedAt: number;
  rosterOffset: number;
  unheard: readonly number[];
}

/** Options of `getUnreachableMembers`. */
export interface SilenceOptions {
  /** The members, sorted. */
  memberIds: readonly string[];
  /** The offset of the roster. */
  rosterOffset: number;
  /** The time, in elapsed milliseconds. */
  now: number;
}

/** Detects the members of the roster from which no heartbeats come. */
export class Hearing {
  readonly #ownMemberId: string;
  readonly #lastHeartbeats = new Map<string, HeardMember>();
  readonly #reports = new Map<string, Report>();
  readonly #monitoredSince = new Map<string, number>();
  #awakeSince = -Infinity;
  #lastTickAt = -Infinity;

  private constructor(ownMemberId: string) {
    this.#ownMemberId = ownMemberId;
  }

  /** Creates a detector that has received no heartbeat. */
  static create(options: { ownMemberId: string }): Hearing {
    return new Hearing(options.ownMemberId);
  }

  /**
   * Adds a timer tick. After a pause of this process all timeouts start again: the heartbeats
   * that it missed meanwhile don't count against their senders.
   */
  addTick(now: number): void {
    if (now - this.#lastTickAt >= SILENCE_LIMIT_MILLISECONDS / 2) this.#awakeSince = now;
    this.#lastTickAt = now;
  }

  /** Sets the monitored members, and removes the data of all others. */
  follow(memberIds: readonly string[], now: number): void {
    for (const memberId of memberIds) {
      if (!this.#monitoredSince.has(memberId)) this.#monitoredSince.set(memberId, now);
    }
    for (const map of [this.#lastHeartbeats, this.#reports, this.#monitoredSince]) {
      for (const memberId of map.keys()) {
        if (!memberIds.includes(memberId)) map.delete(memberId);
      }
    }
  }

  /** Adds a heartbeat; the offset and the sequence number of a process never decrease. */
  addHeartbeat(from: string, heartbeat: Heartbeat, now: number): void {
    const previous = this.#lastHeartbeats.get(from);
    const offset = Math.max(previous?.offset ?? -1, heartbeat.offset);
    const sequence = Math.max(previous?.sequence ?? NO_ECHO, heartbeat.sequence);
    this.#lastHeartbeats.set(from, { heardAt: now, offset, sequence });
    if (previous !== undefined && previous.sequence > heartbeat.sequence) return;
    const { rosterOffset, unheard } = heartbeat;
    this.#reports.set(from, { reportedAt: now, rosterOffset, unheard });
  }

  /** Gets the newest data from the heartbeats of a member. */
  getHeard(memberId: string): HeardMember | undefined {
    return this.#lastHeartbeats.get(memberId);
  }

  /** Gets the sequence number to echo to a member. */
  getEcho(memberId: string): number {
    return this.#lastHeartbeats.get(memberId)?.sequence ?? NO_ECHO;
  }

  /** Gets the offsets that the members have applied, from their heartbeats. */
  getAppliedOffsets(): ReadonlyMap<string, number> {
    return new Map([...this.#lastHeartbeats].map(([memberId, last]) => [memberId, last.offset]));
  }

  /** Gets whether no heartbeat of a member came within the timeout. */
  isUnheard(memberId: string, now: number): boolean {
    if (memberId === this.#ownMemberId) return false;
    return now - this.#getTimeoutStart(memberId) >= SILENCE_LIMIT_MILLISECONDS;
  }

  /** Gets the indexes, in the sorted roster, of the members that have timed out. */
  getUnheardPlaces(memberIds: readonly string[], now: number): number[] {
    return memberIds.flatMap((memberId, index) => this.isUnheard(memberId, now) ? [index] : []);
  }

  /**
   * Gets the members that have timed out at a majority of the roster, by the newest valid reports.
   */
  getSilentMembers(options: SilenceOptions): string[] {
    const { memberIds, now } = options;
    const own = { ...options, unheard: this.getUnheardPlaces(memberIds, now) };
    const reports = memberIds.map((memberId) =>
      memberId === this.#ownMemberId ? own : this.#getValidReport(memberId, options)
    );
    const majority = getMajority(memberIds.length);
    return memberIds.filter((_, index) =>
      reports.filter((report) => report?.unheard.includes(index)).length >= majority
    );
  }

  #getValidReport(memberId: string, options: SilenceOptions): Report | undefined {
    const report = this.#reports.get(memberId);
    if (report === undefined || report.rosterOffset !== options.rosterOffset) return undefined;
    const isValid = options.now - report.reportedAt < STATEMENT_VALIDITY_MILLISECONDS;
    return isValid ? report : undefined;
  }

  #getTimeoutStart(memberId: string): number {
    return Math.max(
      this.#lastHeartbeats.get(memberId)?.heardAt ?? -Infinity,
      this.#monitoredSince.get(memberId) ?? -Infinity,
      this.#awakeSince,
    );
  }
}
