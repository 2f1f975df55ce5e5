/** The demand of every pool, as the members' newest statements say. */

import { DemandHistory } from "./pool_size.ts";

/** How many slots of a pool a member has in use. */
export interface PoolSlotDemand {
  /** The pool. */
  pool: string;
  /** The slots. */
  slots: number;
}

/** Owns the history of demand of each pool; it reads no clock. */
export class PoolDemands {
  readonly #statements = new Map<string, readonly PoolSlotDemand[]>();
  readonly #histories = new Map<string, DemandHistory>();

  private constructor() {}

  /** Creates it without any demand. */
  static create(): PoolDemands {
    return new PoolDemands();
  }

  /** Takes in what a member has in use now; it counts until the next sample. */
  setDemand(memberId: string, slots: readonly PoolSlotDemand[]): void {
    this.#statements.set(memberId, slots);
  }

  /** Adds up the statements of the members, as one sample of each pool's demand. */
  addSample(members: readonly string[]): void {
    const sums = new Map<string, number>();
    for (const member of members) {
      for (const { pool, slots } of this.#statements.get(member) ?? []) {
        sums.set(pool, (sums.get(pool) ?? 0) + slots);
      }
    }
    this.#statements.clear();
    for (const pool of sums.keys()) {
      if (!this.#histories.has(pool)) this.#histories.set(pool, DemandHistory.create());
    }
    for (const [pool, history] of this.#histories) history.add(sums.get(pool) ?? 0);
  }

  /** Begins a new window of each pool's history. */
  rotate(): void {
    for (const history of this.#histories.values()) history.rotate();
  }

  /** Gets the slots of a pool in demand at a quantile. */
  getQuantile(pool: string, quantile: number): number {
    return this.#histories.get(pool)?.getQuantile(quantile) ?? 0;
  }
}
