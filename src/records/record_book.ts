/** What one host knows of the log: the fold in offset order, and what came ahead of its place. */

import { Fleet } from "./fleet.ts";
import { FleetDraft } from "./fleet_draft.ts";
import { foldRecords, type JudgedRecord } from "./fold.ts";
import { type LogRecord, MALFORMED_KIND } from "./record.ts";
import type { RecordRules } from "./record_rule.ts";
import { VerdictOutcome } from "./verdict.ts";

/** The records that stay in memory for peers and operators. */
export const RETAINED_RECORDS = 10_000;

/** How far ahead of the fold a record may be to wait for those before it. */
export const MAXIMUM_OFFSETS_AHEAD = 20_000;

/** The records that are folded at once. */
const SLICE_RECORDS = 5_000;

/** Options of a `RecordBook`. */
export interface RecordBookOptions {
  /** The rules by which records are judged. */
  rules: RecordRules;
}

/** Folds records in offset order, and applies restrictions as soon as they are known. */
export class RecordBook {
  readonly #rules: RecordRules;
  readonly #ahead = new Map<number, LogRecord>();
  #fleet = Fleet.createEmpty();
  #effectiveFleet = this.#fleet;
  #kept: LogRecord[] = [];
  #hasUnknownData = false;

  private constructor(options: RecordBookOptions) {
    this.#rules = options.rules;
  }

  /** Creates an empty book. */
  static create(options: RecordBookOptions): RecordBook {
    return new RecordBook(options);
  }

  /** Gets the fleet as the fold in offset order makes it. */
  getFleet(): Fleet {
    return this.#fleet;
  }

  /** Gets the fleet with the restrictions that are known ahead of their place. */
  getEffectiveFleet(): Fleet {
    return this.#effectiveFleet;
  }

  /** Gets the number of records that wait for those before them. */
  getAheadCount(): number {
    return this.#ahead.size;
  }

  /** Gets whether this program passed over records that a newer one may know; its snapshots would lose them. */
  hasUnknownData(): boolean {
    return this.#hasUnknownData;
  }

  /** Gets kept records in offset order from an offset. */
  getRecords(from: number, limit: number): LogRecord[] {
    const first = this.#kept[0]?.offset ?? 0;
    const start = Math.max(from - first, 0);
    return this.#kept.slice(start, start + limit);
  }

  /** Gets whether the kept records reach back to an offset. */
  isRetained(offset: number): boolean {
    const first = this.#kept[0];
    return first !== undefined && first.offset <= offset;
  }

  /** Adds records that the log holds, in any order, and gets those that were judged. */
  addRecords(records: readonly LogRecord[]): JudgedRecord[] {
    const judged: JudgedRecord[] = [];
    for (let start = 0; start < records.length; start += SLICE_RECORDS) {
      judged.push(...this.#addSlice(records.slice(start, start + SLICE_RECORDS)));
    }
    if (judged.length > 0 || this.#ahead.size > 0) {
      this.#effectiveFleet = this.#applyRestrictionsAhead();
    }
    return judged;
  }

  /** Takes a newer fleet from a snapshot, and gets false if it is not newer. */
  restore(fleet: Fleet): boolean {
    if (fleet.offset <= this.#fleet.offset) return false;
    if (fleet.hasUnknownTables()) this.#hasUnknownData = true;
    this.#fleet = fleet;
    this.#kept = [];
    for (const offset of this.#ahead.keys()) {
      if (offset <= fleet.offset) this.#ahead.delete(offset);
    }
    this.#effectiveFleet = this.#applyRestrictionsAhead();
    return true;
  }

  #addSlice(records: readonly LogRecord[]): JudgedRecord[] {
    for (const record of records) this.#addAhead(record);
    const { fleet, judged } = foldRecords(this.#fleet, this.#takeContiguous(), this.#rules);
    this.#fleet = fleet;
    this.#keep(judged);
    return judged;
  }

  #addAhead(record: LogRecord): void {
    const distance = record.offset - this.#fleet.offset;
    if (distance <= 0 || distance > MAXIMUM_OFFSETS_AHEAD) return;
    this.#ahead.set(record.offset, record);
  }

  #takeContiguous(): LogRecord[] {
    const contiguous: LogRecord[] = [];
    for (let offset = this.#fleet.offset + 1;; offset += 1) {
      const record = this.#ahead.get(offset);
      if (record === undefined) return contiguous;
      this.#ahead.delete(offset);
      contiguous.push(record);
    }
  }

  #applyRestrictionsAhead(): Fleet {
    const restrictions = [...this.#ahead.values()]
      .filter((record) => this.#rules.get(record.kind)?.isRestriction)
      .sort((first, second) => first.offset - second.offset);
    if (restrictions.length === 0) return this.#fleet;
    const draft = FleetDraft.create(this.#fleet);
    for (const record of restrictions) {
      this.#rules.get(record.kind)?.applyRestriction(draft, record);
    }
    return draft.toFleet();
  }

  #keep(judged: readonly JudgedRecord[]): void {
    for (const { record, verdict } of judged) {
      this.#kept.push(record);
      const isUnknown = verdict.outcome === VerdictOutcome.Unknown;
      if (isUnknown && record.kind !== MALFORMED_KIND) this.#hasUnknownData = true;
    }
    if (this.#kept.length > 2 * RETAINED_RECORDS) this.#kept = this.#kept.slice(-RETAINED_RECORDS);
  }
}
