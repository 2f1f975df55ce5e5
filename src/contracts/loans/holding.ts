/** The permits that one member holds of one resource. */

import { getDemandLevel } from "./demand_level.ts";

/** The number of consecutive windows with a lower peak after which a lower demand is reported. */
const WINDOWS_BEFORE_LOWER = 2;

/** Options of a `Holding`. */
export interface HoldingOptions {
  /** The name of the resource. */
  resource: string;
  /** The key by which the keeper is chosen. */
  keeperKey: string;
  /** The keeper of the resource in the roster in use. */
  keeper: string | undefined;
}

/** The permits of one resource at one member; every start must `take` one first. */
export class Holding {
  /** The name of the resource. */
  readonly resource: string;
  /** The key by which the keeper is chosen. */
  keeperKey: string;
  /** The keeper of the resource in the roster in use. */
  keeper: string | undefined;
  /** The sequence number of the newest lend under the roster in use. */
  sequence = 0;
  /** Lends under a limit from before this offset are ignored. */
  minimumLimitOffset = -1;
  /** The offset of the newest limit under which permits were lent. */
  newestLimitOffset = -1;
  /** Whether there is a change that has not been sent to the keeper. */
  isDirty = false;
  /** Whether permits or requests are held up until the keeper receives the change. */
  isUrgent = false;
  /** When the first change was seen that has not been sent to the keeper. */
  dirtySince: number | undefined;
  /** The number of the last batch sent to the keeper, until it is acknowledged. */
  sentBatch: number | undefined;
  /** When that batch was sent. */
  sentAt = 0;
  #total = 0;
  #used = 0;
  #reportedDemand = 0;
  #demand = 0;
  #peakDemand = 0;
  #lowerWindows = 0;

  private constructor(options: HoldingOptions) {
    this.resource = options.resource;
    this.keeperKey = options.keeperKey;
    this.keeper = options.keeper;
  }

  /** Creates a holding without permits. */
  static create(options: HoldingOptions): Holding {
    return new Holding(options);
  }

  /** Gets the permits that are lent to this member. */
  getTotal(): number {
    return this.#total;
  }

  /** Gets the permits under which something may be running. */
  getUsed(): number {
    return this.#used;
  }

  /** Gets the permits that count against the limit: those lent, or those in use if that is more. */
  getHeld(): number {
    return Math.max(this.#total, this.#used);
  }

  /** Gets the permits under which something may start. */
  getFree(): number {
    return Math.max(0, this.#total - this.#used);
  }

  /** Gets the demand that is reported to the keeper. */
  getReportedDemand(): number {
    return this.#reportedDemand;
  }

  /** Gets whether there are no permits and no demand. */
  isEmpty(): boolean {
    return this.getHeld() === 0 && this.#reportedDemand === 0;
  }

  /** Takes a permit for a start; returns false if none is free. */
  take(): boolean {
    if (this.#used >= this.#total) return false;
    this.#used += 1;
    return true;
  }

  /** Releases the permit of a run that is known to have ended. */
  release(): void {
    if (this.#used > this.#total) this.#markUrgent();
    this.#used -= 1;
  }

  /** Sets the permits that are lent; a lower total stops no run. */
  setTotal(total: number): void {
    if (total < this.#total) this.isUrgent = true;
    this.#total = total;
    this.isDirty = true;
  }

  /** Releases the idle permits, after the limit was lowered or this member was removed. */
  releaseIdle(): void {
    if (this.#total > 0) this.setTotal(0);
  }

  /** Sets the permits that could be used now; an increase to a higher level is reported at once. */
  setDemand(demand: number): void {
    this.#demand = demand;
    if (demand > this.#peakDemand) this.#peakDemand = demand;
    if (demand <= this.#reportedDemand) return;
    this.#reportedDemand = getDemandLevel(demand);
    this.#lowerWindows = 0;
    this.isDirty = true;
    if (demand > this.#total) this.isUrgent = true;
  }

  /** Ends a demand window; a level that stayed lower for several windows is reported. */
  endWindow(): void {
    const level = getDemandLevel(this.#peakDemand);
    this.#peakDemand = this.#demand;
    this.#lowerWindows = level < this.#reportedDemand ? this.#lowerWindows + 1 : 0;
    if (this.#lowerWindows < WINDOWS_BEFORE_LOWER) return;
    this.#lowerWindows = 0;
    this.#reportedDemand = level;
    this.isDirty = true;
  }

  #markUrgent(): void {
    this.isDirty = true;
    this.isUrgent = true;
  }
}
