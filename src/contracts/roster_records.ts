/** The records by which members change the roster for other members. */

import { z } from "zod";
import type { FleetDraft } from "../records/fleet_draft.ts";
import type { LogRecord } from "../records/record.ts";
import { createRecordRule, type RecordRule } from "../records/record_rule.ts";
import { ACCEPTED, refuse, type Verdict } from "../records/verdict.ts";
import { getNewestRoster, removeMember, removeRostersBefore } from "./roster_changes.ts";

/** The kinds of records about the roster. */
export const RosterRecordKind = {
  /** The members have timed out at a majority of the roster. */
  Removed: "member-removed",
  /** The process has ended: the platform no longer lists its host, or an operator reports it. */
  Ended: "member-ended",
  /** A change of the roster is in force, and so is every earlier one. */
  Settled: "roster-settled",
  /** Nothing that the process started can still run, so its departure need not be stored. */
  Forgotten: "member-forgotten",
} as const;

/** One of the kinds of records about the roster. */
export type RosterRecordKind = (typeof RosterRecordKind)[keyof typeof RosterRecordKind];

/** The body of the record that removes members. */
export interface MemberRemovedBody {
  /** The member ids of the processes. */
  memberIds: string[];
  /** The offset of the roster that it changes; it is refused if another change came first. */
  rosterOffset: number;
}

/** The body of a record about one process. */
export interface MemberReferenceBody {
  /** The member id of the process. */
  memberId: string;
}

/** The body of the record that declares a change to be in force. */
export interface RosterSettledBody {
  /** The offset of the change. */
  rosterOffset: number;
}

const memberReferenceSchema: z.ZodType<MemberReferenceBody> = z.object({
  memberId: z.string().min(1),
});

/** The rules of the records about the roster. */
export const ROSTER_RECORD_RULES: readonly RecordRule[] = [
  createRecordRule<MemberRemovedBody>({
    kind: RosterRecordKind.Removed,
    version: 1,
    schema: z.object({
      memberIds: z.array(z.string().min(1)).min(1),
      rosterOffset: z.int(),
    }),
    apply: removeUnreachableMembers,
  }),
  createRecordRule<MemberReferenceBody>({
    kind: RosterRecordKind.Ended,
    version: 1,
    schema: memberReferenceSchema,
    apply: endMember,
  }),
  createRecordRule<RosterSettledBody>({
    kind: RosterRecordKind.Settled,
    version: 1,
    schema: z.object({ rosterOffset: z.int() }),
    apply: declareInForce,
  }),
  createRecordRule<MemberReferenceBody>({
    kind: RosterRecordKind.Forgotten,
    version: 1,
    schema: memberReferenceSchema,
    apply: forgetMember,
  }),
];

function removeUnreachableMembers(
  draft: FleetDraft,
  body: MemberRemovedBody,
  record: LogRecord,
): Verdict {
  const { offset } = getNewestRoster(draft);
  if (offset !== body.rosterOffset) return refuse(`the roster is at offset ${offset}`);
  const members = body.memberIds.map((memberId) => draft.get("members", memberId));
  for (const [index, member] of members.entries()) {
    if (member === undefined) return refuse(`no member ${body.memberIds[index]}`);
  }
  for (const member of members) {
    if (member !== undefined) {
      removeMember(draft, { member, offset: record.offset, hasEnded: false });
    }
  }
  return ACCEPTED;
}

function endMember(draft: FleetDraft, body: MemberReferenceBody, record: LogRecord): Verdict {
  const { memberId } = body;
  const member = draft.get("members", memberId);
  if (member !== undefined) {
    removeMember(draft, { member, offset: record.offset, hasEnded: true });
    return ACCEPTED;
  }
  const departure = draft.get("departures", memberId);
  if (departure === undefined) return refuse(`no process ${memberId}`);
  if (departure.hasEnded) return refuse(`process ${memberId} is known to have ended`);
  draft.set("departures", memberId, { ...departure, hasEnded: true });
  return ACCEPTED;
}

function declareInForce(draft: FleetDraft, body: RosterSettledBody): Verdict {
  const { rosterOffset } = body;
  const [first] = draft.getRows("rosters").values();
  if (draft.get("rosters", String(rosterOffset)) === undefined) {
    return refuse(`no change of the roster at offset ${rosterOffset}`);
  }
  if (first?.offset === rosterOffset) return refuse(`offset ${rosterOffset} is already in force`);
  removeRostersBefore(draft, rosterOffset);
  return ACCEPTED;
}

function forgetMember(draft: FleetDraft, body: MemberReferenceBody): Verdict {
  const departure = draft.get("departures", body.memberId);
  if (departure === undefined) return refuse(`no departed process ${body.memberId}`);
  const [first] = draft.getRows("rosters").values();
  if (first === undefined || first.offset < departure.removedAt) {
    return refuse(`the removal of ${body.memberId} is not in force`);
  }
  draft.remove("departures", body.memberId);
  return ACCEPTED;
}
