/** Messages to the platform task and its replies, independent of the platform's protocol. */

import type { HostDescription } from "../machines/host_data.ts";
import type { Reply } from "../tasks/mod.ts";
import type { DraftRecord, LogRecord } from "./record.ts";

/** The result of a successful read of the log. */
export interface LogRead {
  /** When the read began, in elapsed milliseconds. */
  startedAt: number;
  /** The offset after the newest entry. */
  head: number;
  /** The oldest offset that the log retains. */
  earliest: number;
  /** The records in offset order; a malformed entry is represented by a record of `MALFORMED_KIND`. */
  records: LogRecord[];
  /** The offset to read next. */
  next: number;
}

/** The states of a host in the platform's list. */
export const ListedState = { Live: "live", Leaving: "leaving" } as const;

/** One of the states of a host in the platform's list. */
export type ListedState = (typeof ListedState)[keyof typeof ListedState];

/** A host in the platform's list, which lags behind the actual state. */
export interface ListedHost extends HostDescription {
  /** The pool that the platform suggests for a new host. */
  pool: string;
  /** Live or leaving; a host that is rebooting or lost is not listed. */
  state: ListedState;
  /** The number of times that it has booted. */
  boots: number;
}

/** The result of an append; with `unknown`, the append may have taken effect. */
export type AppendResult =
  | { outcome: "acknowledged"; firstOffset: number }
  | { outcome: "unknown"; reason: string };

/** The result of a read. */
export type ReadResult =
  | { outcome: "read"; read: LogRead }
  | { outcome: "failed"; reason: string };

/** The result of a request for the list of hosts. */
export type ListResult =
  | { outcome: "listed"; startedAt: number; hosts: ListedHost[] }
  | { outcome: "failed"; reason: string };

/** The result of a reboot order; with `unknown`, the order may have taken effect. */
export type RebootResult =
  | { outcome: "ordered" }
  | { outcome: "refused"; reason: string }
  | { outcome: "unknown"; reason: string };

/** The messages that the platform task receives. */
export type PlatformMessage =
  | { kind: "append"; records: DraftRecord[]; reply: Reply<AppendResult> }
  | { kind: "order-reboot"; host: string; boots: number; reply: Reply<RebootResult> }
  | { kind: "read"; from: number; limit: number; reply: Reply<ReadResult> }
  | { kind: "list-hosts"; reply: Reply<ListResult> };
