/** The records that take availability zones out of service and return them. */

import { z } from "zod";
import type { FleetDraft } from "../records/fleet_draft.ts";
import type { LogRecord } from "../records/record.ts";
import { createRecordRule, type RecordRule } from "../records/record_rule.ts";
import { ACCEPTED, refuse, type Verdict } from "../records/verdict.ts";

/** The kinds of records about zones. */
export const ZoneRecordKind = { TakenOut: "zone-taken-out", Returned: "zone-returned" } as const;

export type ZoneRecordKind = (typeof ZoneRecordKind)[keyof typeof ZoneRecordKind];

/** The body of a record about a zone. */
export interface ZoneRecordBody {
  zone: string;
}

const zoneRecordSchema: z.ZodType<ZoneRecordBody> = z.object({ zone: z.string().min(1) });

/** The rules of the records about zones. */
export const ZONE_RECORD_RULES: readonly RecordRule[] = [
  createRecordRule<ZoneRecordBody>({
    kind: ZoneRecordKind.TakenOut,
    version: 1,
    schema: zoneRecordSchema,
    // It only takes hosts out of use, so it may be applied before its place in the log.
    isRestriction: true,
    apply: (draft, body, record) => setZoneOut(draft, body.zone, record, true),
  }),
  createRecordRule<ZoneRecordBody>({
    kind: ZoneRecordKind.Returned,
    version: 1,
    schema: zoneRecordSchema,
    apply: (draft, body, record) => setZoneOut(draft, body.zone, record, false),
  }),
];

function setZoneOut(draft: FleetDraft, zone: string, record: LogRecord, isOut: boolean): Verdict {
  const before = draft.get("zones", zone);
  if (before === undefined) return refuse(`no host was enrolled in zone ${zone}`);
  if (before.isOut === isOut) return refuse(`zone ${zone} is already ${isOut ? "out" : "in"}`);
  draft.set("zones", zone, { zone, isOut, changedAt: record.offset });
  return ACCEPTED;
}
