/** The journal records of queues; they let accepted jobs run after their queue was removed. */

import { Decoder, Encoder } from "cbor-x";
import type { Queue } from "../fleet/configuration.ts";
import type { JournalEntry } from "./owner_ports.ts";

const QUEUE_PREFIX = "queue/";

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Creates the journal entry that records a queue. */
export function createQueueEntry(queue: Queue): JournalEntry {
  return { key: QUEUE_PREFIX + queue.name, value: encoder.encode(queue) };
}

/** Reads the queues from the newest value of each key. */
export function readStoredQueues(
  entries: Iterable<readonly [string, Uint8Array]>,
): Queue[] {
  const queues: Queue[] = [];
  for (const [key, value] of entries) {
    if (key.startsWith(QUEUE_PREFIX)) queues.push(decoder.decode(value) as Queue);
  }
  return queues;
}
