/** The rules by which the fold judges records: one for each kind, passed in as arguments. */

import type { z } from "zod";
import type { FleetDraft } from "./fleet_draft.ts";
import type { LogRecord } from "./record.ts";
import { type Verdict, VerdictOutcome } from "./verdict.ts";

/** Options of `createRecordRule`. */
export interface RecordRuleOptions<Body> {
  /** The kind of the records that it judges. */
  kind: string;
  /** The newest version of the body that it reads. */
  version: number;
  /** The shape of the body. */
  schema: z.ZodType<Body>;
  /** Judges the record at its offset, and changes the draft only when it accepts. */
  apply: (draft: FleetDraft, body: Body, record: LogRecord) => Verdict;
  /** Whether the record only takes rights away, so that it may take effect ahead of the log. */
  isRestriction?: boolean;
  /** Applies only the part of the record that takes rights away, when not all of it does. */
  applyRestriction?: (draft: FleetDraft, body: Body, record: LogRecord) => void;
}

/** A rule whose body type is hidden. */
export interface RecordRule {
  /** The kind of the records that it judges. */
  readonly kind: string;
  /** The newest version of the body that it reads. */
  readonly version: number;
  /** Whether some of the record takes rights away. */
  readonly isRestriction: boolean;
  /** Judges the record at its offset; the draft changes only when the verdict is accepted. */
  apply(draft: FleetDraft, record: LogRecord): Verdict;
  /** Applies what the record takes away, ahead of the records before it. */
  applyRestriction(draft: FleetDraft, record: LogRecord): void;
}

/** The rules by kind. */
export type RecordRules = ReadonlyMap<string, RecordRule>;

/** Creates a rule from its typed parts. */
export function createRecordRule<Body>(options: RecordRuleOptions<Body>): RecordRule {
  return {
    kind: options.kind,
    version: options.version,
    isRestriction: options.isRestriction ?? options.applyRestriction !== undefined,
    apply: (draft, record) => {
      const parsed = options.schema.safeParse(record.body);
      if (parsed.success) return options.apply(draft, parsed.data, record);
      return { outcome: VerdictOutcome.Malformed, reason: describeIssues(parsed.error) };
    },
    applyRestriction: (draft, record) => {
      const parsed = options.schema.safeParse(record.body);
      if (!parsed.success) return;
      const restrict = options.applyRestriction ?? options.apply;
      restrict(draft, parsed.data, record);
    },
  };
}

/** Creates the table of rules by kind. */
export function createRecordRules(rules: readonly RecordRule[]): RecordRules {
  return new Map(rules.map((rule) => [rule.kind, rule]));
}

function describeIssues(error: z.ZodError): string {
  return error.issues.map((issue) => `${issue.path.join(".")}: ${issue.message}`).join("; ");
}
