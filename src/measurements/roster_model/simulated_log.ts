/** The platform's log in a modelled run, with the fleet at each offset folded once for all. */

import { RECORD_RULES } from "../../entry/record_rules.ts";
import { Fleet } from "../../records/fleet.ts";
import { foldRecords } from "../../records/fold.ts";
import type { DraftRecord } from "../../records/record.ts";

/** An append-only log. */
export class SimulatedLog {
  readonly #fleets: Fleet[] = [Fleet.createEmpty()];

  private constructor() {}

  /** Creates an empty log. */
  static create(): SimulatedLog {
    return new SimulatedLog();
  }

  /** Appends a record, and gets its offset. */
  append(draft: DraftRecord): number {
    const offset = this.#fleets.length - 1;
    const before = this.#fleets[offset] as Fleet;
    const { fleet } = foldRecords(before, [{ ...draft, offset }], RECORD_RULES);
    this.#fleets.push(fleet);
    return offset;
  }

  /** Gets the offset of the newest record. */
  getNewestOffset(): number {
    return this.#fleets.length - 2;
  }

  /** Gets the fleet after the record at an offset. */
  getFleet(offset: number): Fleet {
    return this.#fleets[offset + 1] as Fleet;
  }
}
