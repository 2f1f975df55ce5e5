/** Where a host starts: at the log's beginning, or at the newest whole snapshot near its end. */

import { Fleet } from "./fleet.ts";
import type { LogRead } from "./platform_messages.ts";
import type { LogRecord } from "./record.ts";
import { type DecodeSnapshot, SnapshotCollector } from "./snapshot.ts";

/** How many records before the log's end the search for a snapshot begins. */
export const INITIAL_LOOKBACK_RECORDS = 8_000;

/** The factor by which the search goes further back when it finds none. */
const LOOKBACK_GROWTH = 4;

/** Options of a `StartSearch`. */
export interface SnapshotSearchOptions {
  /** Reads the chunks of a snapshot. */
  decodeSnapshot: DecodeSnapshot;
}

/** What a search came to. */
export type SnapshotSearchResult =
  | { outcome: "reading" }
  | { outcome: "found"; fleet: Fleet; records: LogRecord[] }
  | { outcome: "missing"; earliest: number };

/** Searches for a start; it holds the records that it reads and folds none of them. */
export class SnapshotSearch {
  readonly #options: SnapshotSearchOptions;
  #lookback = INITIAL_LOOKBACK_RECORDS;
  #from: number | undefined;
  #records: LogRecord[] = [];
  #collector = SnapshotCollector.create();
  #newest: Fleet | undefined;

  private constructor(options: SnapshotSearchOptions) {
    this.#options = options;
  }

  /** Creates a search. */
  static create(options: SnapshotSearchOptions): SnapshotSearch {
    return new SnapshotSearch(options);
  }

  /** Gets where to read next, and how much: the first read only finds the log's ends. */
  getNextRead(readLimit: number): { from: number; limit: number } {
    if (this.#from === undefined) return { from: 0, limit: 1 };
    return { from: this.#from, limit: readLimit };
  }

  /** Adds a read, and gets what the search came to. */
  addRead(read: LogRead): SnapshotSearchResult {
    if (this.#from === undefined) {
      this.#restart(read);
      if (read.head > 0) return { outcome: "reading" };
    }
    for (const record of read.records) this.#addRecord(record);
    this.#from = Math.max(read.next, this.#from ?? 0);
    if (this.#from < read.head && read.records.length > 0) return { outcome: "reading" };
    return this.#conclude(read);
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
    if (data === undefined || data.offset <= (this.#newest?.offset ?? -1)) return;
    this.#newest = Fleet.createFromData(data);
  }

  #conclude(read: LogRead): SnapshotSearchResult {
    const first = this.#records[0]?.offset ?? 0;
    if (this.#newest !== undefined && this.#newest.offset + 1 >= first) {
      return { outcome: "found", fleet: this.#newest, records: this.#records };
    }
    if (first === 0) {
      return { outcome: "found", fleet: Fleet.createEmpty(), records: this.#records };
    }
    if (first <= read.earliest) return { outcome: "missing", earliest: read.earliest };
    this.#lookback *= LOOKBACK_GROWTH;
    this.#restart(read);
    return { outcome: "reading" };
  }
}
