/** A pool of hosts that serve one service or are spare hosts. */

import type { Host } from "../machines/host.ts";
import {
  BudgetScope,
  DEFAULT_BUDGET_NAME,
  DEFAULT_POOL_BUDGET,
  getBudgetKey,
} from "./budget_data.ts";
import type { Fleet } from "../records/fleet.ts";

/** Options of a `Pool`. */
export interface PoolOptions {
  /** The fleet to which the pool belongs. */
  fleet: Fleet;
  /** The name. */
  name: string;
}

/** The hosts of one service; every host is in exactly one pool. */
export class Pool {
  readonly #fleet: Fleet;
  readonly #name: string;

  private constructor(options: PoolOptions) {
    this.#fleet = options.fleet;
    this.#name = options.name;
  }

  /** Creates the pool. */
  static create(options: PoolOptions): Pool {
    return new Pool(options);
  }

  /** Gets the name. */
  getName(): string {
    return this.#name;
  }

  /** Gets the hosts of the pool. */
  getHosts(): readonly Host[] {
    return this.#fleet.getHostsOfPool(this.#name);
  }

  /** Gets how many hosts of the pool may be unavailable at once. */
  getMaximumUnavailable(): number {
    const { budgets } = this.#fleet.tables;
    const budget = budgets.get(getBudgetKey(BudgetScope.Pool, this.#name)) ??
      budgets.get(getBudgetKey(BudgetScope.Pool, DEFAULT_BUDGET_NAME));
    return budget?.mostAway ?? DEFAULT_POOL_BUDGET;
  }

  /** Gets the executors on which new requests may start. */
  getSchedulableExecutors(): Host[] {
    return this.getHosts().filter((host) => host.isExecutor() && host.isSchedulable());
  }
}
