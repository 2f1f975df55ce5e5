/** The one deterministic fold: the state of the fleet follows from the order of records alone. */

import type { Fleet } from "./fleet.ts";
import { FleetDraft } from "./fleet_draft.ts";
import type { LogRecord } from "./record.ts";
import type { RecordRules } from "./record_rule.ts";
import { type Verdict, VerdictOutcome } from "./verdict.ts";

/** How many offsets a record id is remembered for, to recognise a repeated append. */
export const RECORD_ID_RETENTION_OFFSETS = 20_000;

/** A record with its verdict. */
export interface JudgedRecord {
  /** The record. */
  record: LogRecord;
  /** The verdict. */
  verdict: Verdict;
}

/** The result of a fold. */
export interface FoldResult {
  /** The fleet after the last record. */
  fleet: Fleet;
  /** Each record that was applied with its verdict, in offset order. */
  judged: JudgedRecord[];
}

/** Applies records in offset order; records at or below the fleet's offset are passed over. */
export function foldRecords(
  fleet: Fleet,
  records: readonly LogRecord[],
  rules: RecordRules,
): FoldResult {
  const draft = FleetDraft.create(fleet);
  const judged: JudgedRecord[] = [];
  for (const record of records) {
    if (record.offset <= draft.offset) continue;
    const verdict = judgeRecord(draft, record, rules);
    draft.offset = record.offset;
    rememberRecord(draft, record, verdict);
    judged.push({ record, verdict });
  }
  return { fleet: judged.length === 0 ? fleet : draft.toFleet(), judged };
}

function judgeRecord(draft: FleetDraft, record: LogRecord, rules: RecordRules): Verdict {
  const first = draft.get("recordIds", record.id);
  if (first !== undefined) {
    const reason = `${first.outcome} at offset ${first.offset}`;
    return { outcome: VerdictOutcome.Repeated, reason, first };
  }
  const rule = rules.get(record.kind);
  if (rule === undefined) {
    return { outcome: VerdictOutcome.Unknown, reason: `unknown kind ${record.kind}` };
  }
  if (record.version > rule.version) {
    return { outcome: VerdictOutcome.Unknown, reason: `newer version ${record.version}` };
  }
  return rule.apply(draft, record);
}

function rememberRecord(draft: FleetDraft, record: LogRecord, verdict: Verdict): void {
  if (verdict.outcome === VerdictOutcome.Repeated) return;
  const { offset } = record;
  draft.set("recordIds", record.id, { offset, outcome: verdict.outcome });
  forgetOldRecords(draft, record.offset - RECORD_ID_RETENTION_OFFSETS);
}

function forgetOldRecords(draft: FleetDraft, oldest: number): void {
  for (const [id, first] of draft.getRows("recordIds")) {
    if (first.offset >= oldest) return;
    draft.remove("recordIds", id);
  }
}
