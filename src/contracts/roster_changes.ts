/** Changes of the roster in the draft of a fleet. */

import type { FleetDraft } from "../records/fleet_draft.ts";
import type { MemberData } from "./member_data.ts";
import type { RosterData } from "./roster_data.ts";

/** Options of `removeMember`. */
export interface RemoveMemberOptions {
  /** The member. */
  member: MemberData;
  /** The offset of the record that removes it. */
  offset: number;
  /** Whether its process is known to have ended. */
  hasEnded: boolean;
}

/** Gets the newest roster of a draft. */
export function getNewestRoster(draft: FleetDraft): RosterData {
  const newest = [...draft.getRows("rosters").values()].at(-1);
  return newest ?? { offset: -1, members: [] };
}

/** Options of `addMember`. */
export interface AddMemberOptions {
  /** The member. */
  member: MemberData;
  /** The former member id of its process. */
  predecessor: string | undefined;
}

/**
 * Adds a member. A process that has the same bound address or is its predecessor must have ended,
 * so it is removed and marked as ended.
 */
export function addMember(draft: FleetDraft, options: AddMemberOptions): void {
  const { member, predecessor } = options;
  const boundAddress = getBoundAddress(member);
  const isReplaced = (memberId: string, address: string | undefined) =>
    memberId === predecessor || (address !== undefined && address === boundAddress);
  for (const other of [...draft.getRows("members").values()]) {
    if (!isReplaced(other.memberId, getBoundAddress(other))) continue;
    removeMember(draft, { member: other, offset: member.joinedAt, hasEnded: true });
  }
  for (const [memberId, departure] of [...draft.getRows("departures")]) {
    if (departure.hasEnded || !isReplaced(memberId, departure.boundAddress)) continue;
    draft.set("departures", memberId, { ...departure, hasEnded: true });
  }
  draft.set("members", member.memberId, member);
  addRoster(draft, member.joinedAt);
}

/** Removes a member and stores its departure. */
export function removeMember(draft: FleetDraft, options: RemoveMemberOptions): void {
  const { memberId, entryHost } = options.member;
  const boundAddress = getBoundAddress(options.member);
  const { offset: removedAt, hasEnded } = options;
  draft.remove("members", memberId);
  draft.set("departures", memberId, { memberId, entryHost, boundAddress, removedAt, hasEnded });
  addRoster(draft, removedAt);
}

/** Removes the rosters before a change that is in force. */
export function removeRostersBefore(draft: FleetDraft, rosterOffset: number): void {
  for (const [key, roster] of [...draft.getRows("rosters")]) {
    if (roster.offset < rosterOffset) draft.remove("rosters", key);
  }
}

function addRoster(draft: FleetDraft, offset: number): void {
  const members = [...draft.getRows("members").keys()].sort();
  draft.set("rosters", String(offset), { offset, members });
}

function getBoundAddress(member: MemberData): string | undefined {
  return member.isAddressBound ? member.peerAddress : undefined;
}
