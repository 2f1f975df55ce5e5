/** Records the demand of every pool, as reported by the members. */

import { DemandHistory } from "./pool_size.ts";

/** The slots of a pool that a member has in use. */
export interface PoolSlotDemand {
  /** The pool. */
  pool: string;
  /** The number of slots. */
  slots: number;
}

/** Owns the demand history of each pool. Callers end the samples and windows. */
export class PoolDemands {
  readonly #demandsByMember = new Map<string, readonly PoolSlotDemand[]>();
  readonly #histories = new Map<string, DemandHistory>();

  private constructor() {}

  /** Creates an object without histories. */
  static create(): PoolDemands {
    return new PoolDemands();
  }

  /** Sets the slots that a member has in use, for the next sample only. */
  setDemand(memberId: string, slots: readonly PoolSlotDemand[]): void {
    this.#demandsByMember.set(memberId, slots);
  }

  /** Adds the sum of the members' slots in use to the history of each pool, as one sample. */
  addSample(members: readonly string[]): void {
    const sums = new Map<string, number>();
    for (const member of members) {
      for (const { pool, slots } of this.#demandsByMember.get(member) ?? []) {
        sums.set(pool, (sums.get(pool) ?? 0) + slots);
      }
    }
    this.#demandsByMember.clear();
    for (const pool of sums.keys()) {
      if (!this.#histories.has(pool)) this.#histories.set(pool, DemandHistory.create());
    }
    for (const [pool, history] of this.#histories) history.add(sums.get(pool) ?? 0);
  }

  /** Starts a new window in the history of each pool. */
  rotate(): void {
    for (const history of this.#histories.values()) history.rotate();
  }

  /** Gets a quantile of a pool's demand, in slots. */
  getQuantile(pool: string, quantile: number): number {
    return this.#histories.get(pool)?.getQuantile(quantile) ?? 0;
  }
}
