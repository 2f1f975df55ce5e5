/** The rules that apply records to the fleet, one for each record kind; passed in as arguments. */

import type { z } from "zod";
import type { FleetDraft } from "./fleet_draft.ts";
import type { LogRecord } from "./record.ts";
import { type Verdict, VerdictOutcome } from "./verdict.ts";

/** Options of `createRecordRule`. */
export interface RecordRuleOptions<Body> {
  /** The kind of the records to which the rule applies. */
  kind: string;
  /** The newest supported version of the body's schema. */
  version: number;
  /** The schema of the body. */
  schema: z.ZodType<Body>;
  /** Applies the record at its offset; changes the draft only if the verdict is accepted. */
  apply: (draft: FleetDraft, body: Body, record: LogRecord) => Verdict;
  /** Whether the record only removes rights, so that it may take effect ahead of its offset. */
  isRestriction?: boolean;
  /** Applies only the part of the record that removes rights; given if it does more than that. */
  applyRestriction?: (draft: FleetDraft, body: Body, record: LogRecord) => void;
}

/** A rule without its body type, so that rules of different kinds fit into one table. */
export interface RecordRule {
  /** The kind of the records to which the rule applies. */
  readonly kind: string;
  /** The newest supported version of the body's schema. */
  readonly version: number;
  /** Whether the record, or a part of it, removes rights. */
  readonly isRestriction: boolean;
  /** Validates and applies the record at its offset; changes the draft only if it is accepted. */
  apply(draft: FleetDraft, record: LogRecord): Verdict;
  /** Applies the part of the record that removes rights, ahead of the records before it. */
  applyRestriction(draft: FleetDraft, record: LogRecord): void;
}

/** The rules by record kind. */
export type RecordRules = ReadonlyMap<string, RecordRule>;

/** Creates a rule from its typed options. */
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
