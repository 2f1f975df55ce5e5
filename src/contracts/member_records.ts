/** The records by which entry hosts join and leave the roster. */

import { z } from "zod";
import type { FleetDraft } from "../records/fleet_draft.ts";
import type { LogRecord } from "../records/record.ts";
import { createRecordRule, type RecordRule } from "../records/record_rule.ts";
import { ACCEPTED, refuse, type Verdict } from "../records/verdict.ts";
import type { MemberData } from "./member_data.ts";
import { addMember, removeMember } from "./roster_changes.ts";

/** The kinds of records about members. */
export const MemberRecordKind = { Joined: "member-joined", Left: "member-left" } as const;

/** One of the kinds of records about members. */
export type MemberRecordKind = (typeof MemberRecordKind)[keyof typeof MemberRecordKind];

/** The body of the record by which a process joins. */
export interface MemberJoinedBody extends Omit<MemberData, "joinedAt"> {
  /** The former member id of the same process, if it was removed and joins again. */
  predecessor?: string | undefined;
}

/** The body of the record by which a process leaves. */
export interface MemberLeftBody {
  /** The member id of the process. */
  memberId: string;
}

/**
 * The rules of the records about members. A member applies them only in log order: with a roster
 * that is not in the log, it could count a majority that `isAppliedByEarlierMajorities` does not
 * check before a removal is in force.
 */
export const MEMBER_RECORD_RULES: readonly RecordRule[] = [
  createRecordRule<MemberJoinedBody>({
    kind: MemberRecordKind.Joined,
    version: 1,
    schema: z.object({
      memberId: z.string().min(1),
      entryHost: z.string().min(1),
      zone: z.string().min(1),
      peerAddress: z.string().min(1),
      isAddressBound: z.boolean().default(false),
      operatorAddress: z.string().min(1),
      callerAddress: z.string().min(1),
      predecessor: z.string().min(1).optional(),
    }) as unknown as z.ZodType<MemberJoinedBody>,
    apply: joinMember,
  }),
  createRecordRule<MemberLeftBody>({
    kind: MemberRecordKind.Left,
    version: 1,
    schema: z.object({ memberId: z.string().min(1) }),
    apply: leaveRoster,
  }),
];

function joinMember(draft: FleetDraft, body: MemberJoinedBody, record: LogRecord): Verdict {
  const { memberId } = body;
  if (draft.get("members", memberId) !== undefined) {
    return refuse(`member ${memberId} has already joined`);
  }
  if (draft.get("departures", memberId) !== undefined) {
    return refuse(`member ${memberId} has departed: a process joins once`);
  }
  const { predecessor, ...member } = body;
  addMember(draft, { member: { ...member, joinedAt: record.offset }, predecessor });
  return ACCEPTED;
}

/** A process gives up its standing before it publishes its own leave, so it counts as ended. */
function leaveRoster(draft: FleetDraft, body: MemberLeftBody, record: LogRecord): Verdict {
  const member = draft.get("members", body.memberId);
  if (member === undefined) return refuse(`no member ${body.memberId}`);
  const hasEnded = record.author === body.memberId;
  removeMember(draft, { member, offset: record.offset, hasEnded });
  return ACCEPTED;
}
