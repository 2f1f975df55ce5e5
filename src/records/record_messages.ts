/** The messages about records, between tasks and between peers. */

import { z } from "zod";
import type { Reply } from "../tasks/mod.ts";
import type { Fleet } from "./fleet.ts";
import type { AppendResult, ReadResult } from "./platform_messages.ts";
import type { DraftRecord, LogRecord } from "./record.ts";
import type { Verdict } from "./verdict.ts";

/** The result of a publication; with `unknown`, the record may still be appended. */
export type PublicationResult =
  | { outcome: "judged"; offset: number; verdict: Verdict }
  | { outcome: "unknown"; reason: string };

/** A peer relays records that it appended or read. */
export interface RecordsRelayed {
  /** The message kind. */
  kind: "records-relayed";
  /** The records, in offset order. */
  records: LogRecord[];
}

/** A peer requests the records from an offset on. */
export interface RecordsRequested {
  /** The message kind. */
  kind: "records-requested";
  /** The first requested offset. */
  from: number;
}

/** The schema of a record in a message between peers. */
export const logRecordSchema: z.ZodType<LogRecord> = z.object({
  offset: z.int().min(0),
  id: z.string().min(1),
  kind: z.string().min(1),
  version: z.int().min(1),
  author: z.string(),
  body: z.unknown(),
}) as unknown as z.ZodType<LogRecord>;

/** The schemas of the messages about records between peers. */
export const RECORD_PEER_MESSAGE_SCHEMAS = [
  z.object({ kind: z.literal("records-relayed"), records: z.array(logRecordSchema) }),
  z.object({ kind: z.literal("records-requested"), from: z.int().min(0) }),
] as const;

/** The messages about records between peers. */
export type RecordPeerMessage = RecordsRelayed | RecordsRequested;

/** The messages that the record task receives. */
export type RecordMessage =
  | { kind: "publish"; draft: DraftRecord; reply: Reply<PublicationResult> }
  | { kind: "publication-deadline"; recordId: string }
  | { kind: "append-tick" }
  | { kind: "append-ended"; drafts: DraftRecord[]; result: AppendResult }
  | { kind: "read-tick" }
  | { kind: "read-ended"; result: ReadResult }
  | { kind: "peer"; from: string; message: RecordPeerMessage }
  | { kind: "peer-ahead"; from: string; offset: number }
  | { kind: "get-records"; from: number; reply: Reply<LogRecord[]> };

/** The events of which the record task notifies other tasks. */
export type RecordEvent =
  | { kind: "fleet-changed"; fleet: Fleet }
  | { kind: "log-read"; startedAt: number; head: number; offset: number };
