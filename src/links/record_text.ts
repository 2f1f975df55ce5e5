/** The text of a record in the platform's log: JSON, so that operators can read it with any tool. */

import { z } from "zod";
import { getErrorMessage, StepError } from "../errors/mod.ts";
import type { DraftRecord } from "../records/record.ts";

/** The longest text of one record, in characters. */
export const MAXIMUM_RECORD_CHARACTERS = 262_144;

/** The text of a log entry is not a record. */
export class RecordTextError extends StepError {}

const draftRecordSchema = z.object({
  id: z.string().min(1).max(128),
  kind: z.string().min(1).max(64),
  version: z.int().min(1),
  author: z.string().max(128),
  body: z.unknown(),
});

/** Gets the text of a record. */
export function encodeRecordText(record: DraftRecord): string {
  const { id, kind, version, author, body } = record;
  return JSON.stringify({ id, kind, version, author, body });
}

/** Gets the record of a text, or throws a `RecordTextError`. */
export function decodeRecordText(text: string, peer: string): DraftRecord {
  if (text.length > MAXIMUM_RECORD_CHARACTERS) throw createTextError("text too long", peer);
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw createTextError(getErrorMessage(error), peer);
  }
  const parsed = draftRecordSchema.safeParse(value);
  if (!parsed.success) throw createTextError(parsed.error.issues[0]?.message ?? "", peer);
  return parsed.data as DraftRecord;
}

function createTextError(message: string, peer: string): RecordTextError {
  return new RecordTextError({ message, step: "decode-record", peer });
}
