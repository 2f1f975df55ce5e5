/** Log events for the verdicts other than accepted. */

import type { EventLog } from "../events/mod.ts";
import type { JudgedRecord } from "./fold.ts";
import { MALFORMED_KIND } from "./record.ts";
import { VerdictOutcome } from "./verdict.ts";

/** Logs the reason why a record had no effect; accepted records are not logged. */
export function logVerdict(log: EventLog, { record, verdict }: JudgedRecord): void {
  const { offset, kind, body } = record;
  if (verdict.outcome === VerdictOutcome.Accepted) return;
  if (kind === MALFORMED_KIND) {
    log("record-skipped", { offset, reason: (body as { reason: string }).reason });
    return;
  }
  log("record-refused", { offset, kind, outcome: verdict.outcome, reason: verdict.reason });
}
