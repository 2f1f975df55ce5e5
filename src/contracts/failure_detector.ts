/** Failure detection from heartbeats, and the offsets that the members have applied. */

import { MEMBER_TIMEOUT_MILLISECONDS, REPORT_VALIDITY_MILLISECONDS } from "./freshness.ts";
import { type Heartbeat, NO_ECHO } from "./heartbeat.ts";
import { getMajority } from "./roster.ts";

/** The newest data from the heartbeats of one member. */
export interface LastHeartbeat {
  /** When the last heartbeat came, in elapsed milliseconds. */
  receivedAt: number;
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
export interface UnreachableMembersOptions {
  /** The members, sorted. */
  memberIds: readonly string[];
  /** The offset of the roster. */
  rosterOffset: number;
  /** The time, in elapsed milliseconds. */
  now: number;
}

/** Detects the members of the roster from which no heartbeats come. */
export class FailureDetector {
  readonly #ownMemberId: string;
  readonly #lastHeartbeats = new Map<string, LastHeartbeat>();
  readonly #reports = new Map<string, Report>();
  readonly #monitoredSince = new Map<string, number>();
  #resumedAt = -Infinity;
  #lastTickAt = -Infinity;

  private constructor(ownMemberId: string) {
    this.#ownMemberId = ownMemberId;
  }

  /** Creates a detector that has received no heartbeat. */
  static create(options: { ownMemberId: string }): FailureDetector {
    return new FailureDetector(options.ownMemberId);
  }

  /**
   * Adds a timer tick. After a pause of this process all timeouts start again: the heartbeats
   * that it missed meanwhile don't count against their senders.
   */
  addTick(now: number): void {
    if (now - this.#lastTickAt >= MEMBER_TIMEOUT_MILLISECONDS / 2) this.#resumedAt = now;
    this.#lastTickAt = now;
  }

  /** Sets the monitored members, and removes the data of all others. */
  setMembers(memberIds: readonly string[], now: number): void {
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
    this.#lastHeartbeats.set(from, { receivedAt: now, offset, sequence });
    if (previous !== undefined && previous.sequence > heartbeat.sequence) return;
    const { rosterOffset, unheard } = heartbeat;
    this.#reports.set(from, { reportedAt: now, rosterOffset, unheard });
  }

  /** Gets the newest data from the heartbeats of a member. */
  getLastHeartbeat(memberId: string): LastHeartbeat | undefined {
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
  isTimedOut(memberId: string, now: number): boolean {
    if (memberId === this.#ownMemberId) return false;
    return now - this.#getTimeoutStart(memberId) >= MEMBER_TIMEOUT_MILLISECONDS;
  }

  /** Gets the indexes, in the sorted roster, of the members that have timed out. */
  getTimedOutIndexes(memberIds: readonly string[], now: number): number[] {
    return memberIds.flatMap((memberId, index) => this.isTimedOut(memberId, now) ? [index] : []);
  }

  /**
   * Gets the members that have timed out at a majority of the roster, by the newest valid reports.
   */
  getUnreachableMembers(options: UnreachableMembersOptions): string[] {
    const { memberIds, now } = options;
    const own = { ...options, unheard: this.getTimedOutIndexes(memberIds, now) };
    const reports = memberIds.map((memberId) =>
      memberId === this.#ownMemberId ? own : this.#getValidReport(memberId, options)
    );
    const majority = getMajority(memberIds.length);
    return memberIds.filter((_, index) =>
      reports.filter((report) => report?.unheard.includes(index)).length >= majority
    );
  }

  #getValidReport(memberId: string, options: UnreachableMembersOptions): Report | undefined {
    const report = this.#reports.get(memberId);
    if (report === undefined || report.rosterOffset !== options.rosterOffset) return undefined;
    const isValid = options.now - report.reportedAt < REPORT_VALIDITY_MILLISECONDS;
    return isValid ? report : undefined;
  }

  #getTimeoutStart(memberId: string): number {
    return Math.max(
      this.#lastHeartbeats.get(memberId)?.receivedAt ?? -Infinity,
      this.#monitoredSince.get(memberId) ?? -Infinity,
      this.#resumedAt,
    );
  }
}
