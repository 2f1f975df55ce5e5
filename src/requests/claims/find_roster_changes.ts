/** The changes of the roster that a fleet shows since the one that was last seen. */

import { Roster } from "../../contracts/roster.ts";
import type { RosterData } from "../../contracts/roster_data.ts";
import type { Fleet } from "../../records/fleet.ts";

/** A change of the roster. */
export interface RosterChange {
  /** The name of the roster. */
  rosterId: string;
  /** The members after it. */
  members: readonly string[];
  /** The members that joined before this one, if the roster before is not known here. */
  earlierMembers?: readonly string[];
}

/** Gets the changes, in their order, that led from a known roster to that of the fleet. */
export type FindRosterChanges = (
  fleet: Fleet,
  knownRosterId: string | undefined,
  ownMemberId: string,
) => readonly RosterChange[];

/** Follows the rosters that the fleet keeps; a roster without a known one before it has elders. */
export const findRosterChanges: FindRosterChanges = (fleet, knownRosterId, ownMemberId) => {
  const history = Roster.create(fleet).getHistory();
  const newest = history.at(-1);
  if (newest === undefined || toRosterId(newest) === knownRosterId) return [];
  const known = history.findIndex((roster) => toRosterId(roster) === knownRosterId);
  if (known >= 0) return history.slice(known + 1).map(toChange);
  if (knownRosterId === undefined) return startFrom(history, fleet, ownMemberId);
  const earlierMembers = newest.members.filter((member) => member !== ownMemberId);
  return [{ ...toChange(newest), earlierMembers: earlierMembers }];
};

/** Starts with the roster before this member joined, or with elders if that one is not kept. */
function startFrom(
  history: readonly RosterData[],
  fleet: Fleet,
  ownMemberId: string,
): readonly RosterChange[] {
  const joined = history.findIndex((roster) => roster.members.includes(ownMemberId));
  if (joined < 0) return [{ ...toChange(history.at(-1)!), earlierMembers: [] }];
  const first = Math.max(0, joined - 1);
  const earlierMembers = joined === 0 ? getElders(fleet, ownMemberId) : [];
  const [start, ...rest] = history.slice(first).map(toChange);
  return [{ ...start!, earlierMembers: earlierMembers }, ...rest];
}

function getElders(fleet: Fleet, ownMemberId: string): string[] {
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
