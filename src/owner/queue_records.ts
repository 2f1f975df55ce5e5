/** The journal records of queues; they let accepted jobs run after their queue was removed. */

import { Decoder, Encoder } from "cbor-x";
import type { Queue } from "../fleet/configuration.ts";
import type { JournalEntry } from "./owner_ports.ts";

const QUEUE_PREFIX = "queue/";

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** A queue as recorded in the journal. */
export interface StoredQueue {
  /** The queue. */
  queue: Queue;
  /** The services whose executors may run its tasks: its present one, and earlier ones. */
  services: readonly string[];
}

/** Creates the journal entry that records a queue. */
export function createQueueEntry({ queue, services }: StoredQueue): JournalEntry {
  return { key: QUEUE_PREFIX + queue.name, value: encoder.encode({ ...queue, services }) };
}

/** Reads the queues from the newest value of each key. Records of old versions name one service. */
export function readStoredQueues(
  entries: Iterable<readonly [string, Uint8Array]>,
): StoredQueue[] {
  const queues: StoredQueue[] = [];
  for (const [key, value] of entries) {
    if (!key.startsWith(QUEUE_PREFIX)) continue;
    const { services, ...queue } = decoder.decode(value) as Queue & { services?: string[] };
    queues.push({ queue, services: services ?? [queue.service] });
  }
  return queues;
}
