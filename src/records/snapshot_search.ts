/** Finds where a host starts to read the log: at its beginning, or at the newest complete snapshot. */

import { Fleet } from "./fleet.ts";
import type { LogRead } from "./platform_messages.ts";
import type { LogRecord } from "./record.ts";
import { type DecodeSnapshot, SnapshotCollector } from "./snapshot.ts";

/** The number of records before the log's end from which a snapshot is first searched for. */
export const INITIAL_LOOKBACK_RECORDS = 8_000;

/** The factor by which the search range grows when no snapshot is found. */
const LOOKBACK_GROWTH_FACTOR = 4;

/** Options of a `SnapshotSearch`. */
export interface SnapshotSearchOptions {
  /** Decodes the chunks of a snapshot. */
  decodeSnapshot: DecodeSnapshot;
}

/** The state or the result of a search. */
export type SnapshotSearchResult =
  | { outcome: "reading" }
  | { outcome: "found"; fleet: Fleet; records: LogRecord[] }
  | { outcome: "missing"; earliest: number };

/** Searches for a snapshot, and collects the records that it reads without folding them. */
export class SnapshotSearch {
  readonly #options: SnapshotSearchOptions;
  #lookback = INITIAL_LOOKBACK_RECORDS;
  #from: number | undefined;
  #records: LogRecord[] = [];
  #collector = SnapshotCollector.create();
  #newestFleet: Fleet | undefined;

  private constructor(options: SnapshotSearchOptions) {
    this.#options = options;
  }

  static create(options: SnapshotSearchOptions): SnapshotSearch {
    return new SnapshotSearch(options);
  }

  /** Gets the range of the next read; the first read only determines the log's first and last offset. */
  getNextRead(readLimit: number): { from: number; limit: number } {
    if (this.#from === undefined) return { from: 0, limit: 1 };
    return { from: this.#from, limit: readLimit };
  }

  /** Adds a read, and gets the state of the search. */
  addRead(read: LogRead): SnapshotSearchResult {
    if (this.#from === undefined) {
      this.#restart(read);
      if (read.head > 0) return { outcome: "reading" };
    }
    for (const record of read.records) this.#addRecord(record);
    this.#from = Math.max(read.next, this.#from ?? 0);
    if (this.#from < read.head && read.records.length > 0) return { outcome: "reading" };
    return this.#evaluate(read);
  }

  #restart(read: LogRead): void {
    this.#from = Math.max(read.earliest, read.head - this.#lookback);
    this.#records = [];
    this.#collector = SnapshotCollector.create();
  }

  #addRecord(record: LogRecord): void {
    this.#records.push(record);
    const chunks = this.#collector.addRecord(record);
    const data = chunks && this.#options.decodeSnapshot(chunks);
    if (data === undefined || data.offset <= (this.#newestFleet?.offset ?? -1)) return;
    this.#newestFleet = Fleet.createFromData(data);
  }

  #evaluate(read: LogRead): SnapshotSearchResult {
    const first = this.#records[0]?.offset ?? 0;
    if (this.#newestFleet !== undefined && this.#newestFleet.offset + 1 >= first) {
      return { outcome: "found", fleet: this.#newestFleet, records: this.#records };
    }
    if (first === 0) {
      return { outcome: "found", fleet: Fleet.createEmpty(), records: this.#records };
    }
    if (first <= read.earliest) return { outcome: "missing", earliest: read.earliest };
    this.#lookback *= LOOKBACK_GROWTH_FACTOR;
    this.#restart(read);
    return { outcome: "reading" };
  }
}
