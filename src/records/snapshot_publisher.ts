/** What one host knows of the snapshots in the log, and the one that it publishes. */

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
  /** The identity of this process. */
  memberId: string;
  /** Writes the chunks of a snapshot. */
  encodeSnapshot: EncodeSnapshot;
  /** The time from which the first snapshot is due, in elapsed milliseconds. */
  startedAt: number;
  /** The records after which a snapshot is due. */
  intervalRecords: number;
  /** The time after which a snapshot is due. */
  intervalMilliseconds: number;
}

/** Follows the snapshots in the log, and makes one when it is this host's turn. */
export class SnapshotPublisher {
  readonly #options: SnapshotPublisherOptions;
  readonly #collector = SnapshotCollector.create();
  #offset = -1;
  #seenAt: number;
  #chunksUnderWay = 0;

  private constructor(options: SnapshotPublisherOptions) {
    this.#options = options;
    this.#seenAt = options.startedAt;
  }

  /** Creates a publisher that has seen no snapshot. */
  static create(options: SnapshotPublisherOptions): SnapshotPublisher {
    return new SnapshotPublisher(options);
  }

  /** Gets the offset of the newest whole snapshot, or -1. */
  getOffset(): number {
    return this.#offset;
  }

  /** Notes a record of the log, which may complete a snapshot. */
  addRecord(record: LogRecord, now: number): void {
    const chunks = this.#collector.addRecord(record);
    if (chunks !== undefined) this.setNewestSnapshot(chunks[0]?.offset ?? -1, now);
  }

  /** Notes a whole snapshot. */
  setNewestSnapshot(offset: number, now: number): void {
    if (offset <= this.#offset) return;
    this.#offset = offset;
    this.#seenAt = now;
  }

  /** Gets the records of a snapshot if this host's turn has come; none while others are under way. */
  takeDrafts(fleet: Fleet, now: number): DraftRecord[] {
    if (this.#chunksUnderWay > 0 || !this.#isDue(fleet, now)) return [];
    const { memberId, encodeSnapshot } = this.#options;
    const chunks = encodeSnapshot(fleet.toData(), `${memberId}-${fleet.offset}`);
    this.#chunksUnderWay = chunks.length;
    return chunks.map((chunk) => createChunkDraft(chunk, memberId));
  }

  /** Notes that one chunk was judged or given up. */
  handleChunkEnded(): void {
    this.#chunksUnderWay -= 1;
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
