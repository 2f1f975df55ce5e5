/** What one member holds of one resource. */

import { getDemandLevel } from "./demand_level.ts";

/** The windows in a row with a lower peak after which a lower demand is reported. */
const WINDOWS_BEFORE_LOWER = 2;

/** Options of a `Holding`. */
export interface HoldingOptions {
  /** The name of the resource. */
  resource: string;
  /** What names the keeper. */
  keeperKey: string;
  /** The keeper of the resource in the adopted roster. */
  keeper: string | undefined;
}

/** The permits of one resource at one member; `take` is the only way to start under them. */
export class Holding {
  /** The name of the resource. */
  readonly resource: string;
  /** What names the keeper. */
  keeperKey: string;
  /** The keeper of the resource in the adopted roster. */
  keeper: string | undefined;
  /** The sequence number of the newest lend under the adopted roster. */
  sequence = 0;
  /** Lends under a limit older than this are not followed. */
  minimumLimitOffset = -1;
  /** The newest limit under which something was lent. */
  newestLimitOffset = -1;
  /** Whether something changed that the keeper has not been told. */
  isDirty = false;
  /** Whether permits or requests wait for the keeper to know of the change. */
  isUrgent = false;
  /** When the first untold change was noticed. */
  dirtySince: number | undefined;
  /** The batch that told the keeper last, until it is acknowledged. */
  sentBatch: number | undefined;
  /** When that batch left. */
  sentAt = 0;
  #total = 0;
  #used = 0;
  #reported = 0;
  #wanted = 0;
  #peak = 0;
  #lowWindows = 0;

  private constructor(options: HoldingOptions) {
    this.resource = options.resource;
    this.keeperKey = options.keeperKey;
    this.keeper = options.keeper;
  }

  /** Creates a holding of nothing. */
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

  /** Gets the permits that count against the limit: what is lent, or what is in use above that. */
  getHeld(): number {
    return Math.max(this.#total, this.#used);
  }

  /** Gets the permits under which something may start. */
  getFree(): number {
    return Math.max(0, this.#total - this.#used);
  }

  /** Gets the demand that the keeper is told. */
  getReportedDemand(): number {
    return this.#reported;
  }

  /** Gets whether it holds nothing and wants nothing. */
  isEmpty(): boolean {
    return this.getHeld() === 0 && this.#reported === 0;
  }

  /** Takes a permit for a start, and returns false if none is free. */
  take(): boolean {
    if (this.#used >= this.#total) return false;
    this.#used += 1;
    return true;
  }

  /** Gives back the permit of something that ended for certain. */
  release(): void {
    if (this.#used > this.#total) this.#markUrgent();
    this.#used -= 1;
  }

  /** Sets what is lent; nothing running is stopped. */
  setTotal(total: number): void {
    if (total < this.#total) this.isUrgent = true;
    this.#total = total;
    this.isDirty = true;
  }

  /** Gives up what is idle, when the limit was lowered or this member was removed. */
  releaseIdle(): void {
    if (this.#total > 0) this.setTotal(0);
  }

  /** Sets the permits that could be used now; a higher level is reported at once. */
  setDemand(wanted: number): void {
    this.#wanted = wanted;
    if (wanted > this.#peak) this.#peak = wanted;
    if (wanted <= this.#reported) return;
    this.#reported = getDemandLevel(wanted);
    this.#lowWindows = 0;
    this.isDirty = true;
    if (wanted > this.#total) this.isUrgent = true;
  }

  /** Ends a window: a level that stayed lower for some windows is reported. */
  endWindow(): void {
    const level = getDemandLevel(this.#peak);
    this.#peak = this.#wanted;
    this.#lowWindows = level < this.#reported ? this.#lowWindows + 1 : 0;
    if (this.#lowWindows < WINDOWS_BEFORE_LOWER) return;
    this.#lowWindows = 0;
    this.#reported = level;
    this.isDirty = true;
  }

  #markUrgent(): void {
    this.isDirty = true;
    this.isUrgent = true;
  }
}
