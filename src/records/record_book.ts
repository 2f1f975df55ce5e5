/** The log as one host knows it: the fold in offset order, and records received ahead of it. */

import { Fleet } from "./fleet.ts";
import { FleetDraft } from "./fleet_draft.ts";
import { foldRecords, type JudgedRecord } from "./fold.ts";
import { type LogRecord, MALFORMED_KIND } from "./record.ts";
import type { RecordRules } from "./record_rule.ts";
import { VerdictOutcome } from "./verdict.ts";

/** The number of newest records that stay in memory for peers and operators. */
export const RETAINED_RECORDS = 10_000;

/** The maximum distance of a record ahead of the fold; records further ahead are dropped. */
export const MAXIMUM_OFFSETS_AHEAD = 20_000;

/** The maximum number of records that are added before the fold runs. */
const RECORDS_PER_FOLD = 5_000;

/** Options of a `RecordBook`. */
export interface RecordBookOptions {
  /** The rules by record kind. */
  rules: RecordRules;
}

/** Folds records in offset order, and applies restrictions as soon as they are received. */
export class RecordBook {
  readonly #rules: RecordRules;
  readonly #recordsAhead = new Map<number, LogRecord>();
  #fleet = Fleet.createEmpty();
  #effectiveFleet = this.#fleet;
  #retained: LogRecord[] = [];
  #hasUnknownData = false;

  private constructor(options: RecordBookOptions) {
    this.#rules = options.rules;
  }

  /** Creates a book without records. */
  static create(options: RecordBookOptions): RecordBook {
    return new RecordBook(options);
  }

  /** Gets the fleet after the newest record of the fold. */
  getFleet(): Fleet {
    return this.#fleet;
  }

  /** Gets the fleet including the restrictions of records that were received ahead of the fold. */
  getEffectiveFleet(): Fleet {
    return this.#effectiveFleet;
  }

  /** Gets the number of records that were received ahead of the fold. */
  getAheadCount(): number {
    return this.#recordsAhead.size;
  }

  /** Gets whether records or tables of a newer program version were skipped; a snapshot would lose them. */
  hasUnknownData(): boolean {
    return this.#hasUnknownData;
  }

  /** Gets retained records in offset order, from an offset on. */
  getRecords(from: number, limit: number): LogRecord[] {
    const first = this.#retained[0]?.offset ?? 0;
    const start = Math.max(from - first, 0);
    return this.#retained.slice(start, start + limit);
  }

  /** Gets whether the records from an offset on are retained. */
  isRetained(offset: number): boolean {
    const first = this.#retained[0];
    return first !== undefined && first.offset <= offset;
  }

  /** Adds records of the log in any order, and gets those that the fold processed, with verdicts. */
  addRecords(records: readonly LogRecord[]): JudgedRecord[] {
    const judged: JudgedRecord[] = [];
    for (let start = 0; start < records.length; start += RECORDS_PER_FOLD) {
      judged.push(...this.#addBatch(records.slice(start, start + RECORDS_PER_FOLD)));
    }
    if (judged.length > 0 || this.#recordsAhead.size > 0) {
      this.#effectiveFleet = this.#applyRestrictionsAhead();
    }
    return judged;
  }

  /** Replaces the fleet by that of a snapshot; returns `false` if the snapshot is not newer. */
  restore(fleet: Fleet): boolean {
    if (fleet.offset <= this.#fleet.offset) return false;
    if (fleet.hasUnknownTables()) this.#hasUnknownData = true;
    this.#fleet = fleet;
    this.#retained = [];
    for (const offset of this.#recordsAhead.keys()) {
      if (offset <= fleet.offset) this.#recordsAhead.delete(offset);
    }
    this.#effectiveFleet = this.#applyRestrictionsAhead();
    return true;
  }

  #addBatch(records: readonly LogRecord[]): JudgedRecord[] {
    for (const record of records) this.#bufferRecord(record);
    const { fleet, judged } = foldRecords(this.#fleet, this.#takeContiguous(), this.#rules);
    this.#fleet = fleet;
    this.#retain(judged);
    return judged;
  }

  #bufferRecord(record: LogRecord): void {
    const distance = record.offset - this.#fleet.offset;
    if (distance <= 0 || distance > MAXIMUM_OFFSETS_AHEAD) return;
    this.#recordsAhead.set(record.offset, record);
  }

  #takeContiguous(): LogRecord[] {
    const contiguous: LogRecord[] = [];
    for (let offset = this.#fleet.offset + 1;; offset += 1) {
      const record = this.#recordsAhead.get(offset);
      if (record === undefined) return contiguous;
      this.#recordsAhead.delete(offset);
      contiguous.push(record);
    }
  }

  #applyRestrictionsAhead(): Fleet {
    const restrictions = [...this.#recordsAhead.values()]
      .filter((record) => this.#rules.get(record.kind)?.isRestriction)
      .sort((first, second) => first.offset - second.offset);
    if (restrictions.length === 0) return this.#fleet;
    const draft = FleetDraft.create(this.#fleet);
    for (const record of restrictions) {
      this.#rules.get(record.kind)?.applyRestriction(draft, record);
    }
    return draft.toFleet();
  }

  #retain(judged: readonly JudgedRecord[]): void {
    for (const { record, verdict } of judged) {
      this.#retained.push(record);
      const isUnknown = verdict.outcome === VerdictOutcome.Unknown;
      if (isUnknown && record.kind !== MALFORMED_KIND) this.#hasUnknownData = true;
    }
    if (this.#retained.length > 2 * RETAINED_RECORDS) {
      this.#retained = this.#retained.slice(-RETAINED_RECORDS);
    }
  }
}
