/** Indexes the free room of a pool during a dispatch pass. */

import type { Executor } from "../fleet/executor.ts";
import { fitsCapacity, NO_RESOURCES, type Resources } from "../fleet/resources.ts";

/** The maximum number of failed demands that are kept. */
const MAXIMUM_FAILURES = 16;

/** A demand for which no executor was found in this pass. */
export interface FailedDemand {
  /** The demand of a task. */
  demand: Resources;
  /** When the task was expected to end, on the monotonic clock. */
  endsAt: number;
  /** Whether it was found to fit on an executor whose room is held for another step. */
  isHeldBack: boolean;
}

/**
 * The executors of a pool by free CPU, and the demands that fit on none of them. Free room only
 * shrinks during a pass, so a demand that once failed fails to the pass's end.
 */
export class FreeRoomIndex {
  /** The executors with the most free CPU first. */
  readonly #executors: Executor[];
  readonly #failures: FailedDemand[] = [];

  private constructor(executors: Executor[]) {
    this.#executors = executors;
  }

  /** Creates the index of a pool. */
  static create(pool: Iterable<Executor>): FreeRoomIndex {
    const executors = [...pool];
    executors.sort((first, second) => getFreeCpu(second) - getFreeCpu(first));
    return new FreeRoomIndex(executors);
  }

  /** Gets all executors, those with the most free CPU first. */
  getExecutors(): readonly Executor[] {
    return this.#executors;
  }

  /** Gets the executors with enough free CPU for a demand. */
  getExecutorsWith(demand: Resources): Executor[] {
    let low = 0;
    let high = this.#executors.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (getFreeCpu(this.#executors[middle]!) >= demand.cpu) low = middle + 1;
      else high = middle;
    }
    return this.#executors.slice(0, low);
  }

  /** Restores the order after tasks were started on an executor. */
  update(executor: Executor): void {
    const executors = this.#executors;
    const free = getFreeCpu(executor);
    let place = executors.indexOf(executor);
    if (place < 0) return;
    for (; place + 1 < executors.length; place += 1) {
      const next = executors[place + 1]!;
      if (getFreeCpu(next) <= free) break;
      executors[place] = next;
    }
    executors[place] = executor;
  }

  /** Records a demand that fits on no executor, whatever label or limit per executor applies. */
  recordFailure(failed: FailedDemand): void {
    if (this.#failures.length < MAXIMUM_FAILURES) this.#failures.push(failed);
  }

  /**
   * Finds a failed demand that shows that another one fails too: it was no larger, and its task
   * would have ended no later. One that was held back says nothing about a step that ignores what
   * is held.
   */
  findFailure(
    demand: Resources,
    endsAt: number,
    ignoresHeldRoom: boolean,
  ): FailedDemand | undefined {
    return this.#failures.find((failed) =>
      fitsCapacity(NO_RESOURCES, failed.demand, demand) && failed.endsAt <= endsAt &&
      !(failed.isHeldBack && ignoresHeldRoom)
    );
  }
}

function getFreeCpu(executor: Executor): number {
  return executor.entry.capacity.cpu - executor.getReserved().cpu;
}
