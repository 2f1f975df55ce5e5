/** Which former members may still have work running. */

import type { RosterView } from "../roster_messages.ts";

/** How much longer than the longest run a former member is counted, for clocks that differ in rate. */
const CLOCK_RATE_MARGIN = 1.05;

/** Options of `Departures.note`. */
export interface DepartureUpdate {
  /** The roster as it is now. */
  roster: RosterView;
  /** The longest time that any request may run. */
  longestRunMilliseconds: number;
  /** The time, in elapsed milliseconds. */
  now: number;
}

/** Keeps since when each removal is in force. */
export class DepartureTracker {
  readonly #inForceSince = new Map<string, number | undefined>();
  #members: readonly string[] = [];
  #longestRunMilliseconds = 0;

  private constructor() {}

  /** Creates a tracker that has seen no departure. */
  static create(): DepartureTracker {
    return new DepartureTracker();
  }

  /** Notes a roster; a former member that the roster has forgotten counts as in force from now on. */
  update(options: DepartureUpdate): void {
    const { roster, longestRunMilliseconds, now } = options;
    this.#longestRunMilliseconds = Math.max(this.#longestRunMilliseconds, longestRunMilliseconds);
    const departing = new Map(roster.departing.map((member) => [member.memberId, member]));
    const left = this.#members.filter((memberId) => !roster.members.includes(memberId));
    this.#members = roster.members;
    for (const memberId of [...departing.keys(), ...left]) {
      if (!this.#inForceSince.has(memberId)) this.#inForceSince.set(memberId, undefined);
    }
    for (const [memberId, since] of this.#inForceSince) {
      const isInForce = departing.get(memberId)?.isInForce ?? true;
      if (isInForce && since === undefined) this.#inForceSince.set(memberId, now);
      if (!departing.has(memberId) && this.isSettled(memberId, now)) {
        this.#inForceSince.delete(memberId);
      }
    }
  }

  /** Takes the word of a member that has counted longer than this one. */
  setSettled(memberId: string): void {
    if (this.#inForceSince.has(memberId)) this.#inForceSince.set(memberId, -Infinity);
  }

  /** Gets the former members that can run nothing any more. */
  getSettled(now: number): string[] {
    return [...this.#inForceSince.keys()].filter((memberId) => this.isSettled(memberId, now));
  }

  /** Gets whether nothing that a former member started can still run. */
  isSettled(memberId: string, now: number): boolean {
    if (!this.#inForceSince.has(memberId)) return true;
    const since = this.#inForceSince.get(memberId);
    if (since === undefined) return false;
    return now - since >= this.#longestRunMilliseconds * CLOCK_RATE_MARGIN;
  }

  /** Gets the former members that may still start or run something. */
  getUnsettled(now: number): string[] {
    return [...this.#inForceSince.keys()].filter((memberId) => !this.isSettled(memberId, now));
  }
}
