/** The records by which operators grant and withdraw keys. */

import { z } from "zod";
import type { FleetDraft } from "../records/fleet_draft.ts";
import type { LogRecord } from "../records/record.ts";
import { createRecordRule, type RecordRule } from "../records/record_rule.ts";
import { ACCEPTED, refuse, type Verdict } from "../records/verdict.ts";

/** The kinds of records about keys. */
export const KeyRecordKind = { Granted: "key-granted", Withdrawn: "key-withdrawn" } as const;

export type KeyRecordKind = (typeof KeyRecordKind)[keyof typeof KeyRecordKind];

/** The body of the record that grants a key. */
export interface KeyGrantedBody {
  /** The public id. */
  keyId: string;
  /** The team that the key authenticates. */
  team: string;
  /** The SHA-256 of the secret, in hexadecimal. */
  secretHash: string;
}

/** The body of the record that withdraws a key. */
export interface KeyWithdrawnBody {
  /** The public id. */
  keyId: string;
}

/** The rules of the records about keys. */
export const KEY_RECORD_RULES: readonly RecordRule[] = [
  createRecordRule<KeyGrantedBody>({
    kind: KeyRecordKind.Granted,
    version: 1,
    schema: z.object({
      keyId: z.string().regex(/^[A-Za-z0-9-]{1,64}$/),
      team: z.string().min(1),
      secretHash: z.string().regex(/^[0-9a-f]{64}$/),
    }),
    apply: grantKey,
  }),
  createRecordRule<KeyWithdrawnBody>({
    kind: KeyRecordKind.Withdrawn,
    version: 1,
    schema: z.object({ keyId: z.string().min(1) }),
    isRestriction: true,
    apply: withdrawKey,
  }),
];

function grantKey(draft: FleetDraft, body: KeyGrantedBody, record: LogRecord): Verdict {
  if (draft.get("keys", body.keyId) !== undefined) return refuse(`key ${body.keyId} exists`);
  draft.set("keys", body.keyId, { ...body, isWithdrawn: false, changedAt: record.offset });
  return ACCEPTED;
}

function withdrawKey(draft: FleetDraft, body: KeyWithdrawnBody, record: LogRecord): Verdict {
  const current = draft.get("keys", body.keyId);
  if (current === undefined) return refuse(`no key ${body.keyId}`);
  if (current.isWithdrawn) return refuse(`key ${body.keyId} is already withdrawn`);
  draft.set("keys", body.keyId, { ...current, isWithdrawn: true, changedAt: record.offset });
  return ACCEPTED;
}
