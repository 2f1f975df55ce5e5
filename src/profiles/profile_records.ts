/** The records that publish profiles and assign them to services. */

import { z } from "zod";
import type { FleetDraft } from "../records/fleet_draft.ts";
import type { LogRecord } from "../records/record.ts";
import { createRecordRule, type RecordRule } from "../records/record_rule.ts";
import { ACCEPTED, refuse, type Verdict } from "../records/verdict.ts";
import { getRequestLimit } from "../teams/team.ts";
import { type ProfileData, profileSchema, type TeamRights } from "./profile_data.ts";
import type { ServiceData } from "./service_data.ts";

/** The kinds of records about profiles. */
export const ProfileRecordKind = {
  Published: "profile-published",
  Picked: "profile-picked",
} as const;

export type ProfileRecordKind = (typeof ProfileRecordKind)[keyof typeof ProfileRecordKind];

/** The rules of the records about profiles. */
export const PROFILE_RECORD_RULES: readonly RecordRule[] = [
  createRecordRule<ProfileData>({
    kind: ProfileRecordKind.Published,
    version: 1,
    schema: profileSchema,
    apply: publishProfile,
    applyRestriction: lowerLimits,
  }),
  createRecordRule<ServiceData>({
    kind: ProfileRecordKind.Picked,
    version: 1,
    schema: z.object({ service: z.string().min(1), profile: z.string().min(1) }),
    apply: assignProfile,
  }),
];

function publishProfile(draft: FleetDraft, body: ProfileData, record: LogRecord): Verdict {
  const before = draft.get("profiles", body.profile);
  draft.set("profiles", body.profile, body);
  const teams = new Set([...body.teams, ...before?.teams ?? []].map((rights) => rights.team));
  for (const team of teams) updateTeam(draft, team, record.offset);
  return ACCEPTED;
}

/**
 * Applies lower request limits of a profile before the record is reached in the order of the log;
 * higher limits are applied only at the record's place in the log.
 */
function lowerLimits(draft: FleetDraft, body: ProfileData, record: LogRecord): void {
  for (const rights of body.teams) {
    const team = draft.get("teams", rights.team);
    if (team === undefined) continue;
    const upperLimit = Math.min(team.upperLimit, rights.upperLimit);
    const taskLimit = Math.max(team.taskLimit, rights.taskLimit);
    const lowered = { ...team, upperLimit, taskLimit, changedAt: record.offset };
    if (getRequestLimit(lowered) >= getRequestLimit(team)) continue;
    draft.set("teams", rights.team, lowered);
  }
}

function assignProfile(draft: FleetDraft, body: ServiceData): Verdict {
  if (draft.get("profiles", body.profile) === undefined) {
    return refuse(`no profile named ${body.profile}`);
  }
  draft.set("services", body.service, body);
  return ACCEPTED;
}

/**
 * Updates the limits of a team; one with rights under several profiles has the lowest of their
 * limits.
 */
function updateTeam(draft: FleetDraft, team: string, offset: number): void {
  const teamRights: TeamRights[] = [];
  for (const profile of draft.getRows("profiles").values()) {
    const rights = profile.teams.find((candidate) => candidate.team === team);
    if (rights !== undefined) teamRights.push(rights);
  }
  if (teamRights.length === 0) {
    draft.remove("teams", team);
    return;
  }
  const upperLimit = Math.min(...teamRights.map((rights) => rights.upperLimit));
  const taskLimit = Math.min(...teamRights.map((rights) => rights.taskLimit));
  const row = { team, upperLimit, taskLimit, changedAt: offset };
  draft.set("teams", team, row);
  const requestLimit = getRequestLimit(row);
  const highestLimit = draft.get("highestLimits", team) ?? 0;
  if (requestLimit > highestLimit) draft.set("highestLimits", team, requestLimit);
}
