/** The records of the platform's log, independent of their encoding. */

/** A record that has no offset yet. */
export interface DraftRecord {
  /** The unique id, by which a repeated append is detected. */
  id: string;
  /** The kind, which selects the `RecordRule`. */
  kind: string;
  /** The version of the body's schema. */
  version: number;
  /** The member or operator that created the record. */
  author: string;
  /** The body, which the rule of the kind validates. */
  body: unknown;
}

/** The kind of the record that represents a malformed log entry; it has no rule. */
export const MALFORMED_KIND = "malformed";

/** Creates the record that represents a malformed entry; it is the same on every host. */
export function createMalformedRecord(offset: number, reason: string): LogRecord {
  const id = `${MALFORMED_KIND}-${offset}`;
  return { offset, id, kind: MALFORMED_KIND, version: 1, author: "", body: { reason } };
}

/** A record of the log. */
export interface LogRecord extends DraftRecord {
  /** The position in the log: consecutive integers from 0. */
  offset: number;
}
