/** Tracks the snapshots in the log, and creates the next one when this host should publish it. */

import { rankByRendezvous } from "../contracts/rendezvous.ts";
import type { Fleet } from "./fleet.ts";
import type { DraftRecord, LogRecord } from "./record.ts";
import {
  type EncodeSnapshot,
  isSnapshotDue,
  SNAPSHOT_CHUNK_KIND,
  type SnapshotChunk,
  SnapshotCollector,
} from "./snapshot.ts";

/** Options of a `SnapshotPublisher`. */
export interface SnapshotPublisherOptions {
  /** The member id of this process. */
  memberId: string;
  /** Encodes a snapshot into chunks. */
  encodeSnapshot: EncodeSnapshot;
  /** The time from which the interval of the first snapshot counts, in elapsed milliseconds. */
  startedAt: number;
  /** The number of records after which a snapshot is due. */
  intervalRecords: number;
  /** The time after which a snapshot is due. */
  intervalMilliseconds: number;
}

/** Creates the records of a snapshot when this host should publish the next one. */
export class SnapshotPublisher {
  readonly #options: SnapshotPublisherOptions;
  readonly #collector = SnapshotCollector.create();
  #offset = -1;
  #seenAt: number;
  #pendingChunks = 0;

  private constructor(options: SnapshotPublisherOptions) {
    this.#options = options;
    this.#seenAt = options.startedAt;
  }

  /** Creates a publisher that knows no snapshot. */
  static create(options: SnapshotPublisherOptions): SnapshotPublisher {
    return new SnapshotPublisher(options);
  }

  /** Gets the offset of the newest complete snapshot, or -1. */
  getOffset(): number {
    return this.#offset;
  }

  /** Handles a record of the log, which may complete a snapshot. */
  addRecord(record: LogRecord, now: number): void {
    const chunks = this.#collector.addRecord(record);
    if (chunks !== undefined) this.setNewestSnapshot(chunks[0]?.offset ?? -1, now);
  }

  /** Sets the offset of the newest complete snapshot. */
  setNewestSnapshot(offset: number, now: number): void {
    if (offset <= this.#offset) return;
    this.#offset = offset;
    this.#seenAt = now;
  }

  /** Gets the records of a snapshot if one is due; none while an earlier one is being published. */
  takeDrafts(fleet: Fleet, now: number): DraftRecord[] {
    if (this.#pendingChunks > 0 || !this.#isDue(fleet, now)) return [];
    const { memberId, encodeSnapshot } = this.#options;
    const chunks = encodeSnapshot(fleet.toData(), `${memberId}-${fleet.offset}`);
    this.#pendingChunks = chunks.length;
    return chunks.map((chunk) => createChunkDraft(chunk, memberId));
  }

  /** Handles the end of a chunk's publication, by verdict or timeout. */
  handleChunkEnded(): void {
    this.#pendingChunks -= 1;
  }

  #isDue(fleet: Fleet, now: number): boolean {
    const { memberId, intervalRecords, intervalMilliseconds } = this.#options;
    const memberIds = fleet.getMembers().map((member) => member.getId());
    const rank = rankByRendezvous(`snapshot:${this.#offset}`, memberIds).indexOf(memberId);
    return rank >= 0 && isSnapshotDue({
      recordsSince: fleet.offset - this.#offset,
      millisecondsSince: now - this.#seenAt,
      rank,
      intervalRecords,
      intervalMilliseconds,
    });
  }
}

function createChunkDraft(chunk: SnapshotChunk, author: string): DraftRecord {
  const id = `snapshot-${chunk.snapshotId}-${chunk.index}`;
  return { id, kind: SNAPSHOT_CHUNK_KIND, version: 1, author, body: chunk };
}
