/** Snapshots of the fleet in the log, in chunks with a checksum, so that a starting host reads only the log's end. */

import { z } from "zod";
import type { FleetData } from "./fleet.ts";
import type { LogRecord } from "./record.ts";
import { createRecordRule, type RecordRule } from "./record_rule.ts";
import { ACCEPTED } from "./verdict.ts";

/** The kind of the records that hold a snapshot. */
export const SNAPSHOT_CHUNK_KIND = "snapshot-chunk";

/** One chunk of a snapshot. */
export interface SnapshotChunk {
  snapshotId: string;
  /** The offset of the newest record that the snapshot holds. */
  offset: number;
  /** The index of the chunk, from 0. */
  index: number;
  /** The number of chunks. */
  count: number;
  /** The checksum over the text of all chunks. */
  checksum: string;
  text: string;
}

/** Encodes a snapshot into chunks. */
export type EncodeSnapshot = (data: FleetData, snapshotId: string) => SnapshotChunk[];

/** Decodes all chunks of a snapshot, in order; `undefined` if the checksum or the data is invalid. */
export type DecodeSnapshot = (chunks: readonly SnapshotChunk[]) => FleetData | undefined;

const snapshotChunkSchema: z.ZodType<SnapshotChunk> = z.object({
  snapshotId: z.string().min(1).max(128),
  offset: z.int().min(0),
  index: z.int().min(0).max(9_999),
  count: z.int().min(1).max(10_000),
  checksum: z.string().min(1).max(128),
  text: z.string(),
});

/** The rules of the records that hold a snapshot; they do not change the fleet. */
export const SNAPSHOT_RECORD_RULES: readonly RecordRule[] = [
  createRecordRule<SnapshotChunk>({
    kind: SNAPSHOT_CHUNK_KIND,
    version: 1,
    schema: snapshotChunkSchema,
    apply: () => ACCEPTED,
  }),
];

/** The maximum number of incomplete snapshots; chunks of the oldest one are dropped. */
const MAXIMUM_INCOMPLETE_SNAPSHOTS = 4;

/** Collects chunks in any order until a snapshot is complete; keeps only the newest snapshots. */
export class SnapshotCollector {
  readonly #chunks = new Map<string, Map<number, SnapshotChunk>>();

  private constructor() {}

  static create(): SnapshotCollector {
    return new SnapshotCollector();
  }

  /** Adds a record; returns all chunks in order if it completes a snapshot. */
  addRecord(record: LogRecord): SnapshotChunk[] | undefined {
    if (record.kind !== SNAPSHOT_CHUNK_KIND) return undefined;
    const parsed = snapshotChunkSchema.safeParse(record.body);
    if (!parsed.success) return undefined;
    const chunk = parsed.data;
    const chunks = this.#chunks.get(chunk.snapshotId) ?? new Map<number, SnapshotChunk>();
    this.#chunks.set(chunk.snapshotId, chunks);
    chunks.set(chunk.index, chunk);
    this.#dropOldest();
    if (chunks.size < chunk.count) return undefined;
    this.#chunks.delete(chunk.snapshotId);
    return [...chunks.values()].sort((first, second) => first.index - second.index);
  }

  #dropOldest(): void {
    for (const snapshotId of this.#chunks.keys()) {
      if (this.#chunks.size <= MAXIMUM_INCOMPLETE_SNAPSHOTS) return;
      this.#chunks.delete(snapshotId);
    }
  }
}

/** Options of `isSnapshotDue`. */
export interface SnapshotDueOptions {
  /** The number of records since the newest complete snapshot. */
  recordsSince: number;
  /** The time since the newest complete snapshot was read. */
  millisecondsSince: number;
  /** The rank of this member in the rendezvous order for the next snapshot, from 0. */
  rank: number;
  /** The number of records after which a snapshot is due. */
  intervalRecords: number;
  /** The time after which a snapshot is due; well below the log's retention period. */
  intervalMilliseconds: number;
}

/** The fraction of the interval by which each rank waits longer than the one before it. */
const DELAY_FRACTION_PER_RANK = 0.1;

/** Gets whether this member should publish a snapshot now; a duplicate by another member is harmless. */
export function isSnapshotDue(options: SnapshotDueOptions): boolean {
  const delayFactor = 1 + options.rank * DELAY_FRACTION_PER_RANK;
  if (options.recordsSince <= 0) return false;
  return options.recordsSince >= options.intervalRecords * delayFactor ||
    options.millisecondsSince >= options.intervalMilliseconds * delayFactor;
}
