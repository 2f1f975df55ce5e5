/** Splits records into batches that fit into a frame of the peer protocol. */

import type { LogRecord } from "./record.ts";
import { SNAPSHOT_CHUNK_KIND } from "./snapshot.ts";

/** The maximum number of characters in a batch; a larger record gets a batch of its own. */
export const MAXIMUM_BATCH_CHARACTERS = 256 * 1024;

/** Gets the batches of records to relay to peers; snapshot chunks are not relayed. */
export function createRelayBatches(records: readonly LogRecord[]): LogRecord[][] {
  const batches: LogRecord[][] = [];
  let remaining = 0;
  for (const record of records) {
    if (record.kind === SNAPSHOT_CHUNK_KIND) continue;
    const size = JSON.stringify(record).length;
    if (size > remaining) {
      batches.push([]);
      remaining = MAXIMUM_BATCH_CHARACTERS;
    }
    batches.at(-1)?.push(record);
    remaining -= size;
  }
  return batches;
}
