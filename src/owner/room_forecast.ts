/** Forecasts when room on an executor comes free. */

import { type AssignedRun, type Executor, getReservedDemand } from "../fleet/executor.ts";
import { addResources, fitsCapacity, NO_RESOURCES, type Resources } from "../fleet/resources.ts";
import { RunStage } from "../fleet/run.ts";
import type { FleetState } from "./fleet_state.ts";

/** The minimum time in which a run that is overdue is expected to end, in milliseconds. */
const MINIMUM_REMAINING_MILLISECONDS = 25;

/** Gets when a run is expected to end, on the monotonic clock; `Infinity` if never. */
export type GetExpectedEnd = (assigned: AssignedRun) => number;

/** Room that a run leaves when it ends. */
interface RoomRelease {
  /** When the run is expected to end, on the monotonic clock. */
  at: number;
  amount: Readonly<Resources>;
}

/** Options of `getStartTimes`. */
export interface StartTimesOptions {
  /** The demand of each task. */
  demand: Resources;
  /** The maximum number of tasks. */
  most: number;
  /** The time after which no start counts, on the monotonic clock. */
  until: number;
  /** The room that is held for others. */
  held: Resources;
}

/** The expected free room of one executor over time, if nothing else starts there. */
export class RoomForecast {
  readonly #executor: Executor;
  readonly #now: number;
  /** The releases, in the order of time. */
  readonly #releases: readonly RoomRelease[];

  private constructor(executor: Executor, now: number, releases: readonly RoomRelease[]) {
    this.#executor = executor;
    this.#now = now;
    this.#releases = releases;
  }

  /** Creates the forecast of an executor. */
  static create(executor: Executor, now: number, getExpectedEnd: GetExpectedEnd): RoomForecast {
    const releases: RoomRelease[] = [];
    for (const assigned of executor.runs.values()) {
      const at = getExpectedEnd(assigned);
      if (at < Infinity) releases.push({ at, amount: getReservedDemand(assigned.task) });
    }
    releases.sort((first, second) => first.at - second.at);
    return new RoomForecast(executor, now, releases);
  }

  /** Gets the times from which the first, second, ... task with a demand fits, beside held room. */
  getStartTimes({ demand, most, until, held }: StartTimesOptions): number[] {
    const { capacity } = this.#executor.entry;
    const times: number[] = [];
    const used = { ...this.#executor.getReserved() };
    addResources(used, held);
    addResources(used, demand);
    const addTimes = (at: number) => {
      while (times.length < most && fitsCapacity(used, NO_RESOURCES, capacity)) {
        times.push(at);
        addResources(used, demand);
      }
    };
    addTimes(this.#now);
    for (const { at, amount } of this.#releases) {
      if (times.length >= most || at > until) break;
      addResources(used, amount, -1);
      addTimes(at);
    }
    return times;
  }

  /**
   * Gets the times at which the end of a single run makes room for a task. These are the starts that
   * need no room held: other tasks take what comes free before. Room that is free now counts only
   * where it is too small for another run like the one that ends.
   */
  getUnheldStartTimes(demand: Resources, until: number): number[] {
    const { capacity } = this.#executor.entry;
    const reserved = this.#executor.getReserved();
    const times: number[] = [];
    for (const { at, amount } of this.#releases) {
      if (at > until) break;
      const isFreeRoomTaken = fitsCapacity(reserved, amount, capacity);
      const used = isFreeRoomTaken ? capacity : reserved;
      // Written out, since a copy for each run would take most of the time of a plan.
      const fits = used.cpu - amount.cpu + demand.cpu <= capacity.cpu &&
        used.memory - amount.memory + demand.memory <= capacity.memory &&
        used.accelerators - amount.accelerators + demand.accelerators <= capacity.accelerators;
      if (fits) times.push(at);
    }
    return times;
  }

  /** Gets the free room at a time on the monotonic clock. */
  getFreeAt(time: number): Resources {
    const free = { ...this.#executor.entry.capacity };
    addResources(free, this.#executor.getReserved(), -1);
    for (const { at, amount } of this.#releases) {
      if (at > time) break;
      addResources(free, amount);
    }
    return free;
  }
}

/** Expects runs to end after the learned duration, and stops after the maximum time of a stop. */
export function createEndExpectation(state: FleetState): GetExpectedEnd {
  return ({ run, task }) => {
    const soonest = state.now + MINIMUM_REMAINING_MILLISECONDS;
    if (run.stage === RunStage.Stopping) {
      const stopSentAt = run.stopSentAt ?? state.now;
      return Math.max(soonest, stopSentAt + state.limits.stopMilliseconds);
    }
    if (task.step.specification.isLasting) return Infinity;
    const { durationEstimator } = state;
    const end = run.orderedAt + durationEstimator.estimateMilliseconds(task.step);
    if (end > state.now) return Math.max(soonest, end);
    // A run past its estimate ends within the spread as a rule.
    return Math.max(soonest, state.now + durationEstimator.getSpreadMilliseconds(task.step));
  };
}
