/** Finds the changes of the roster in a fleet since a known roster. */

import { Roster } from "../../contracts/roster.ts";
import type { RosterData } from "../../contracts/roster_data.ts";
import type { Fleet } from "../../records/fleet.ts";

/** A change of the roster. */
export interface RosterChange {
  /** The id of the roster. */
  rosterId: string;
  /** The ids of the members after the change. */
  members: readonly string[];
  /** The members that joined before this one, if the previous roster is unknown. */
  earlierMembers?: readonly string[];
}

/** Gets the changes, in order, from a known roster to that of the fleet. */
export type FindRosterChanges = (
  fleet: Fleet,
  knownRosterId: string | undefined,
  ownMemberId: string,
) => readonly RosterChange[];

/** Finds the changes in the roster history. A change whose previous roster is unknown has earlier members. */
export const findRosterChanges: FindRosterChanges = (fleet, knownRosterId, ownMemberId) => {
  const history = Roster.create(fleet).getHistory();
  const newest = history.at(-1);
  if (newest === undefined || toRosterId(newest) === knownRosterId) return [];
  const known = history.findIndex((roster) => toRosterId(roster) === knownRosterId);
  if (known >= 0) return history.slice(known + 1).map(toChange);
  if (knownRosterId === undefined) return findFirstChanges(history, fleet, ownMemberId);
  const earlierMembers = newest.members.filter((member) => member !== ownMemberId);
  return [{ ...toChange(newest), earlierMembers }];
};

/** Starts with the roster before this member joined, or with the earlier members if it is no longer retained. */
function findFirstChanges(
  history: readonly RosterData[],
  fleet: Fleet,
  ownMemberId: string,
): readonly RosterChange[] {
  const joined = history.findIndex((roster) => roster.members.includes(ownMemberId));
  if (joined < 0) return [{ ...toChange(history.at(-1)!), earlierMembers: [] }];
  const first = Math.max(0, joined - 1);
  const earlierMembers = joined === 0 ? getEarlierMembers(fleet, ownMemberId) : [];
  const [start, ...rest] = history.slice(first).map(toChange);
  return [{ ...start!, earlierMembers }, ...rest];
}

function getEarlierMembers(fleet: Fleet, ownMemberId: string): string[] {
  const own = fleet.getMember(ownMemberId)?.getData().joinedAt ?? -1;
  return fleet.getMembers()
    .filter((member) => member.getData().joinedAt < own)
    .map((member) => member.getId());
}

function toRosterId(roster: RosterData): string {
  return String(roster.offset);
}

function toChange(roster: RosterData): RosterChange {
  return { rosterId: toRosterId(roster), members: roster.members };
}
