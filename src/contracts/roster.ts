/**
 * The roster: the members at an offset, and the earlier rosters on which a member may still act.
 */

import type { Fleet } from "../records/fleet.ts";
import type { DepartureData, RosterData } from "./roster_data.ts";

/** The offset of the empty roster, before the first change. */
const NO_ROSTER_OFFSET = -1;

/** Gets the number of members that form a majority of a roster. */
export function getMajority(memberCount: number): number {
  return Math.floor(memberCount / 2) + 1;
}

/** The members of the fleet at an offset, and the rosters since the newest change in force. */
export class Roster {
  readonly #history: readonly RosterData[];
  readonly #departures: readonly DepartureData[];
  readonly #members: ReadonlySet<string>;

  private constructor(fleet: Fleet) {
    this.#history = [...fleet.tables.rosters.values()];
    this.#departures = [...fleet.tables.departures.values()];
    this.#members = new Set(this.getMemberIds());
  }

  /** Creates the roster of a fleet. */
  static create(fleet: Fleet): Roster {
    return new Roster(fleet);
  }

  /** Gets the offset of the newest accepted change. */
  getOffset(): number {
    return this.#history.at(-1)?.offset ?? NO_ROSTER_OFFSET;
  }

  /** Gets the ids of the members, sorted. */
  getMemberIds(): readonly string[] {
    return this.#history.at(-1)?.members ?? [];
  }

  /** Gets whether a process is a member. */
  isMember(memberId: string): boolean {
    return this.#members.has(memberId);
  }

  /** Gets the rosters since the newest change that is in force according to the log, by offset. */
  getHistory(): readonly RosterData[] {
    return this.#history;
  }

  /** Gets the offset of the newest change that is in force according to the log. */
  getInForceOffset(): number {
    return this.#history[0]?.offset ?? NO_ROSTER_OFFSET;
  }

  /** Gets the former members that are still stored, in the order of their removal. */
  getDepartures(): readonly DepartureData[] {
    return this.#departures;
  }

  /** Gets the departure of a process, or undefined if there is none. */
  getDeparture(memberId: string): DepartureData | undefined {
    return this.#departures.find((departure) => departure.memberId === memberId);
  }
}
