/** The journal records of the executors on which an owner may have started runs. */

import { Decoder, Encoder } from "cbor-x";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { JournalEntry } from "./owner_ports.ts";

const EXECUTOR_PREFIX = "executor/";

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Creates the journal entry that must be stored before tasks are started on an executor. */
export function createExecutorEntry(entry: ExecutorEntry): JournalEntry {
  return { key: EXECUTOR_PREFIX + entry.id, value: encoder.encode(entry) };
}

/** Creates the journal entry that deletes the record of an executor without runs. */
export function createExecutorDeletionEntry(id: string): JournalEntry {
  return { key: EXECUTOR_PREFIX + id };
}

/** Reads the executors from the newest value of each key. */
export function readStoredExecutors(
  entries: Iterable<readonly [string, Uint8Array]>,
): ExecutorEntry[] {
  const executors: ExecutorEntry[] = [];
  for (const [key, value] of entries) {
    if (key.startsWith(EXECUTOR_PREFIX)) executors.push(decoder.decode(value) as ExecutorEntry);
  }
  return executors;
}
