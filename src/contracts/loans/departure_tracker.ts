/** Tracks the former members that may still run something. */

import type { RosterView } from "../roster_messages.ts";

/** The factor on the maximum run time that allows for clocks of different rates. */
const CLOCK_RATE_FACTOR = 1.05;

/** Options of `DepartureTracker.update`. */
export interface DepartureUpdate {
  /** The current roster. */
  roster: RosterView;
  /** The maximum run time of any request. */
  longestRunMilliseconds: number;
  /** The time in milliseconds, always of the same clock; one that jumps ahead shortens the wait. */
  now: number;
}

/** Tracks the former members from their removal until nothing that they started can still run. */
export class DepartureTracker {
  readonly #inForceSince = new Map<string, number | undefined>();
  #members: readonly string[] = [];
  #longestRunMilliseconds = 0;

  private constructor() {}

  /** Creates a tracker without former members. */
  static create(): DepartureTracker {
    return new DepartureTracker();
  }

  /**
   * Updates to a roster; the removal of a former member that it lacks counts as in force from now.
   */
  update(options: DepartureUpdate): void {
    const { roster, longestRunMilliseconds, now } = options;
    this.#longestRunMilliseconds = Math.max(this.#longestRunMilliseconds, longestRunMilliseconds);
    const departing = new Map(roster.departing.map((member) => [member.memberId, member]));
    const former = this.#members.filter((memberId) => !roster.members.includes(memberId));
    this.#members = roster.members;
    for (const memberId of [...departing.keys(), ...former]) {
      if (!this.#inForceSince.has(memberId)) this.#inForceSince.set(memberId, undefined);
    }
    for (const [memberId, since] of this.#inForceSince) {
      const isInForce = departing.get(memberId)?.isInForce ?? true;
      if (isInForce && since === undefined) this.#inForceSince.set(memberId, now);
      if (!departing.has(memberId) && this.hasNoRuns(memberId, now)) {
        this.#inForceSince.delete(memberId);
      }
    }
  }

  /**
   * Marks a former member as without runs, on the statement of a member that has tracked it for
   * longer.
   */
  markWithoutRuns(memberId: string): void {
    if (this.#inForceSince.has(memberId)) this.#inForceSince.set(memberId, -Infinity);
  }

  /** Gets the former members that can no longer run anything. */
  getWithoutRuns(now: number): string[] {
    return [...this.#inForceSince.keys()].filter((memberId) => this.hasNoRuns(memberId, now));
  }

  /** Gets whether nothing that a former member started can still run. */
  hasNoRuns(memberId: string, now: number): boolean {
    if (!this.#inForceSince.has(memberId)) return true;
    const since = this.#inForceSince.get(memberId);
    if (since === undefined) return false;
    return now - since >= this.#longestRunMilliseconds * CLOCK_RATE_FACTOR;
  }

  /** Gets the former members that may still start or run something. */
  getWithRuns(now: number): string[] {
    return [...this.#inForceSince.keys()].filter((memberId) => !this.hasNoRuns(memberId, now));
  }
}
