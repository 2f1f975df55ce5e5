/** The customers' shares of a service's pool, while tasks wait for room in it. */

import { type JobStep, TaskState } from "../fleet/job.ts";
import { addResources, NO_RESOURCES, type Resources } from "../fleet/resources.ts";

/** What a customer uses of a pool, and what waits. */
interface CustomerShare {
  /** Its weight; 0 if it has no share, and so no limit of it. */
  weight: number;
  /** The resources of its running tasks. */
  used: Resources;
  /** Its steps that wait. */
  waiting: JobStep[];
}

/** A customer's share and its use of a pool. */
export interface ShareUse {
  customer: string;
  /** The number of its steps that wait. */
  waiting: number;
  /** The part of the pool that it uses, from 0 to 1, by the resource of which it uses the most. */
  used: number;
  /** The part of the pool that is its share, from 0 to 1. */
  share: number;
}

/** The shares of the customers that use a pool or wait for it; each has its weight's part. */
export class PoolShares {
  readonly #getWeight: (customer: string) => number;
  readonly #shares = new Map<string, CustomerShare>();
  readonly #capacity = { ...NO_RESOURCES };
  #weights = 0;

  private constructor(getWeight: (customer: string) => number) {
    this.#getWeight = getWeight;
  }

  /**
   * Creates the shares of a pool without capacity; `getWeight` gets the weight of a customer, or 0 if
   * it has no share.
   */
  static create(getWeight: (customer: string) => number): PoolShares {
    return new PoolShares(getWeight);
  }

  /** Gets whether a customer that was added has a share. */
  hasShares(): boolean {
    return this.#weights > 0;
  }

  /** Adds the capacity of an executor that accepts starts. */
  addCapacity(capacity: Resources): void {
    addResources(this.#capacity, capacity);
  }

  /** Adds a running task of a customer. */
  addUse(customer: string, demand: Resources): void {
    addResources(this.#getShare(customer).used, demand);
  }

  /** Adds a waiting step of a customer. */
  addWaiting(customer: string, step: JobStep): void {
    this.#getShare(customer).waiting.push(step);
  }

  /**
   * Calls back with each step that would exceed its customer's share, and the use that it would lead
   * to as a multiple of that share. The steps of a customer are counted in the given order.
   */
  forEachBorrowing(
    compare: (first: JobStep, second: JobStep) => number,
    handle: (step: JobStep, level: number) => void,
  ): void {
    for (const share of this.#shares.values()) {
      // Without another customer there is none to borrow from.
      if (share.weight === 0 || share.weight === this.#weights) continue;
      const part = this.#getPart(share);
      const used = { ...share.used };
      for (const step of share.waiting.sort(compare)) {
        addResources(used, step.specification.demand, countWaitingTasks(step));
        const level = this.#getFraction(used) / part;
        if (level > 1) handle(step, level);
      }
    }
  }

  /** Gets the use of each customer that has a share. */
  getUses(): ShareUse[] {
    return [...this.#shares].filter(([, { weight }]) => weight > 0).map(([customer, share]) => ({
      customer,
      waiting: share.waiting.length,
      used: this.#getFraction(share.used),
      share: this.#getPart(share),
    }));
  }

  #getShare(customer: string): CustomerShare {
    let share = this.#shares.get(customer);
    if (share === undefined) {
      share = { weight: this.#getWeight(customer), used: { ...NO_RESOURCES }, waiting: [] };
      this.#shares.set(customer, share);
      this.#weights += share.weight;
    }
    return share;
  }

  #getPart({ weight }: CustomerShare): number {
    return weight / this.#weights;
  }

  #getFraction(used: Resources): number {
    return Math.max(
      used.cpu / Math.max(1, this.#capacity.cpu),
      used.memory / Math.max(1, this.#capacity.memory),
      used.accelerators / Math.max(1, this.#capacity.accelerators),
    );
  }
}

function countWaitingTasks(step: JobStep): number {
  // Most of the waiting steps have no run yet, and their tasks need no look.
  if (step.runsByExecutor.size === 0) return step.tasks.length - step.completedTaskCount;
  let count = 0;
  for (const { state } of step.tasks) if (state === TaskState.Waiting) count += 1;
  return count;
}
