/** Which members one process hears, which ones the others hear, and what they have applied. */

import { MEMBER_TIMEOUT_MILLISECONDS, REPORT_VALIDITY_MILLISECONDS } from "./freshness.ts";
import { type Heartbeat, NO_ECHO } from "./heartbeat.ts";
import { getMajority } from "./roster.ts";

/** What was heard of one member. */
export interface LastHeartbeat {
  /** When it was heard last, in elapsed milliseconds. */
  receivedAt: number;
  /** The offset of the newest record that it has applied. */
  offset: number;
  /** The greatest number of a heartbeat of it. */
  sequence: number;
}

interface Report {
  reportedAt: number;
  rosterOffset: number;
  unheard: readonly number[];
}

/** Options of `getSilentMembers`. */
export interface UnreachableMembersOptions {
  /** The members, sorted. */
  memberIds: readonly string[];
  /** The offset of the roster. */
  rosterOffset: number;
  /** The time, in elapsed milliseconds. */
  now: number;
}

/** Keeps what was heard of the members of the roster. */
export class FailureDetector {
  readonly #ownMemberId: string;
  readonly #heard = new Map<string, LastHeartbeat>();
  readonly #reports = new Map<string, Report>();
  readonly #listenedSince = new Map<string, number>();
  #awakeSince = -Infinity;
  #tickedAt = -Infinity;

  private constructor(ownMemberId: string) {
    this.#ownMemberId = ownMemberId;
  }

  /** Creates the hearing of a process that has heard nobody. */
  static create(options: { ownMemberId: string }): FailureDetector {
    return new FailureDetector(options.ownMemberId);
  }

  /** Notes that the process is awake: what it missed while it was paused is nobody's silence. */
  addTick(now: number): void {
    if (now - this.#tickedAt >= MEMBER_TIMEOUT_MILLISECONDS / 2) this.#awakeSince = now;
    this.#tickedAt = now;
  }

  /** Listens to these members from now on, and forgets all others. */
  setMembers(memberIds: readonly string[], now: number): void {
    for (const memberId of memberIds) {
      if (!this.#listenedSince.has(memberId)) this.#listenedSince.set(memberId, now);
    }
    for (const known of [this.#heard, this.#reports, this.#listenedSince]) {
      for (const memberId of known.keys()) {
        if (!memberIds.includes(memberId)) known.delete(memberId);
      }
    }
  }

  /** Notes a heartbeat; offsets and numbers of one process only grow. */
  addHeartbeat(from: string, heartbeat: Heartbeat, now: number): void {
    const before = this.#heard.get(from);
    const offset = Math.max(before?.offset ?? -1, heartbeat.offset);
    const sequence = Math.max(before?.sequence ?? NO_ECHO, heartbeat.sequence);
    this.#heard.set(from, { receivedAt: now, offset, sequence });
    if (before !== undefined && before.sequence > heartbeat.sequence) return;
    const { rosterOffset, unheard } = heartbeat;
    this.#reports.set(from, { reportedAt: now, rosterOffset, unheard });
  }

  /** Gets what was heard of a member. */
  getLastHeartbeat(memberId: string): LastHeartbeat | undefined {
    return this.#heard.get(memberId);
  }

  /** Gets the number to echo to a member. */
  getEcho(memberId: string): number {
    return this.#heard.get(memberId)?.sequence ?? NO_ECHO;
  }

  /** Gets the offsets that the members have applied, as their heartbeats say. */
  getAppliedOffsets(): ReadonlyMap<string, number> {
    return new Map([...this.#heard].map(([memberId, heard]) => [memberId, heard.offset]));
  }

  /** Gets whether a member was not heard for the stated time. */
  isTimedOut(memberId: string, now: number): boolean {
    if (memberId === this.#ownMemberId) return false;
    return now - this.#getListeningStart(memberId) >= MEMBER_TIMEOUT_MILLISECONDS;
  }

  /** Gets the places in the sorted roster of the members that are not heard. */
  getTimedOutIndexes(memberIds: readonly string[], now: number): number[] {
    return memberIds.flatMap((memberId, place) => this.isTimedOut(memberId, now) ? [place] : []);
  }

  /** Gets the members that a majority of the roster does not hear, as the newest reports say. */
  getUnreachableMembers(options: UnreachableMembersOptions): string[] {
    const { memberIds, now } = options;
    const own = { ...options, unheard: this.getTimedOutIndexes(memberIds, now) };
    const reports = memberIds.map((memberId) =>
      memberId === this.#ownMemberId ? own : this.#getNewReport(memberId, options)
    );
    const majority = getMajority(memberIds.length);
    return memberIds.filter((_, place) =>
      reports.filter((report) => report?.unheard.includes(place)).length >= majority
    );
  }

  #getNewReport(memberId: string, options: UnreachableMembersOptions): Report | undefined {
    const report = this.#reports.get(memberId);
    if (report === undefined || report.rosterOffset !== options.rosterOffset) return undefined;
    const isNew = options.now - report.reportedAt < REPORT_VALIDITY_MILLISECONDS;
    return isNew ? report : undefined;
  }

  #getListeningStart(memberId: string): number {
    return Math.max(
      this.#heard.get(memberId)?.receivedAt ?? -Infinity,
      this.#listenedSince.get(memberId) ?? -Infinity,
      this.#awakeSince,
    );
  }
}
