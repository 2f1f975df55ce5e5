/** Cuts records into batches that fit a frame between peers. */

import type { LogRecord } from "./record.ts";
import { SNAPSHOT_CHUNK_KIND } from "./snapshot.ts";

/** The characters of one batch; one larger record is a batch of its own. */
export const MAXIMUM_BATCH_CHARACTERS = 256 * 1024;

/** Gets batches of the records that are relayed: all but the chunks of snapshots. */
export function createRelayBatches(records: readonly LogRecord[]): LogRecord[][] {
  const batches: LogRecord[][] = [];
  let room = 0;
  for (const record of records) {
    if (record.kind === SNAPSHOT_CHUNK_KIND) continue;
    const size = JSON.stringify(record).length;
    if (size > room) {
      batches.push([]);
      room = MAXIMUM_BATCH_CHARACTERS;
    }
    batches.at(-1)?.push(record);
    room -= size;
  }
  return batches;
}
