/**
 * Routes requests to executors: prefers the own zone, low load and good health, and zones that were
 * not tried yet.
 */

import type { Pool } from "../pools/pool.ts";
import type { ExecutorCandidate, ExecutorChoiceOptions } from "./executor_choice.ts";
import {
  applySignal,
  DEFAULT_HEALTH_SETTINGS,
  type ExecutorHealth,
  getHealthWeight,
  hasEjectionBudget,
  type HealthSettings,
  HealthSignal,
  HEALTHY,
  isEjected,
} from "./executor_health.ts";

/**
 * The cost added to executors in other zones, as a load ratio, so that the own zone is preferred.
 */
const CROSS_ZONE_COST = 0.15;

/** The fraction of requests that may still go to executors that fail but may not be ejected. */
const PROBE_FRACTION = 0.02;

/** Gets how many executors of a pool may be unavailable at once, planned and unplanned. */
export type GetMaximumUnavailable = (pool: Pool) => number;

/** Options of an `ExecutorRouter`. */
export interface ExecutorRouterOptions {
  /** Gets how many executors of a pool may be unavailable at once. */
  getMaximumUnavailable: GetMaximumUnavailable;
  /** The settings of ejection and slow start. */
  settings?: HealthSettings;
}

/** The outcome of a request, as a health signal of its executor. */
export interface RequestOutcome {
  pool: Pool;
  executor: string;
  /** What the outcome says about the health of the executor. */
  signal: HealthSignal;
  /** The monotonic time, in milliseconds. */
  now: number;
}

/**
 * Tracks the health of the executors that one entry host calls; times are passed in as arguments.
 */
export class ExecutorRouter {
  readonly #getMaximumUnavailable: GetMaximumUnavailable;
  readonly #settings: HealthSettings;
  readonly #healths = new Map<string, ExecutorHealth>();

  private constructor(options: ExecutorRouterOptions) {
    this.#getMaximumUnavailable = options.getMaximumUnavailable;
    this.#settings = options.settings ?? DEFAULT_HEALTH_SETTINGS;
  }

  /** Creates a router for which all executors are healthy. */
  static create(options: ExecutorRouterOptions): ExecutorRouter {
    return new ExecutorRouter(options);
  }

  getHealth(executor: string): ExecutorHealth {
    return this.#healths.get(executor) ?? HEALTHY;
  }

  /** Chooses the less costly of two random candidates that are not ejected. */
  choose(options: ExecutorChoiceOptions): ExecutorCandidate | undefined {
    const { candidates, now } = options;
    const isNotEjected = ({ host }: ExecutorCandidate) =>
      !isEjected(this.getHealth(host.getName()), now);
    const healthy = this.#healths.size === 0 ? candidates : candidates.filter(isNotEjected);
    return this.#chooseOfTwo(
      preferUntried(this.#avoidFailing(healthy, options), options),
      options,
    );
  }

  /** Applies the outcome of a request, and gets whether its executor is ejected by it. */
  recordOutcome(outcome: RequestOutcome): boolean {
    const { pool, executor, signal, now } = outcome;
    const before = this.getHealth(executor);
    const isRelevant = signal === HealthSignal.Failure ||
      (signal === HealthSignal.Success && before !== HEALTHY);
    if (!isRelevant) return false;
    const isEjectionAllowed = signal === HealthSignal.Failure && this.#hasEjectionBudget(pool, now);
    const after = applySignal(before, { signal, now, isEjectionAllowed, settings: this.#settings });
    if (after === HEALTHY) this.#healths.delete(executor);
    else this.#healths.set(executor, after);
    return isEjected(after, now) && !isEjected(before, now);
  }

  /** Removes executors that are no longer in the fleet. */
  retain(hasExecutor: (name: string) => boolean): void {
    for (const name of this.#healths.keys()) {
      if (!hasExecutor(name)) this.#healths.delete(name);
    }
  }

  /** Gets the health of executors with failures or ejections, for the state dump. */
  getState(): unknown {
    return Object.fromEntries(this.#healths);
  }

  /** Leaves out executors that only fail, unless no other is free; a few requests probe them. */
  #avoidFailing(
    candidates: readonly ExecutorCandidate[],
    options: ExecutorChoiceOptions,
  ): readonly ExecutorCandidate[] {
    if (this.#healths.size === 0) return candidates;
    const { consecutiveFailuresLimit } = this.#settings;
    const healthy = candidates.filter(({ host }) =>
      this.getHealth(host.getName()).failuresInRow < consecutiveFailuresLimit
    );
    if (healthy.length === 0 || healthy.length === candidates.length) return candidates;
    return options.random() < PROBE_FRACTION ? candidates : healthy;
  }

  #hasEjectionBudget(pool: Pool, now: number): boolean {
    const executors = pool.getHosts().filter((host) => host.isExecutor());
    const away = executors.filter((host) =>
      !host.isSchedulable() || isEjected(this.getHealth(host.getName()), now)
    );
    return hasEjectionBudget({
      executorCount: executors.length,
      unavailableCount: away.length,
      mostAway: this.#getMaximumUnavailable(pool),
    });
  }

  #chooseOfTwo(
    candidates: readonly ExecutorCandidate[],
    options: ExecutorChoiceOptions,
  ): ExecutorCandidate | undefined {
    if (candidates.length <= 1) return candidates[0];
    const first = Math.floor(options.random() * candidates.length);
    const step = 1 + Math.floor(options.random() * (candidates.length - 1));
    const one = candidates[first]!;
    const other = candidates[(first + step) % candidates.length]!;
    return this.#getCost(one, options) <= this.#getCost(other, options) ? one : other;
  }

  /**
   * Gets the cost of an executor: its load by this entry host, higher during slow start and in
   * other zones.
   */
  #getCost(candidate: ExecutorCandidate, options: ExecutorChoiceOptions): number {
    const { host, running, freeSlots } = candidate;
    const health = this.getHealth(host.getName());
    const weight = getHealthWeight(health, options.now, this.#settings);
    const load = (running + 1) / (running + freeSlots);
    const zoneCost = host.getZoneName() === options.zone ? 0 : CROSS_ZONE_COST;
    return load / weight + zoneCost;
  }
}

/** Gets the candidates in untried zones, else untried executors, else all candidates. */
function preferUntried(
  candidates: readonly ExecutorCandidate[],
  options: ExecutorChoiceOptions,
): readonly ExecutorCandidate[] {
  const { triedExecutors, triedZones } = options;
  if (triedExecutors.length === 0) return candidates;
  const untried = candidates.filter(({ host }) => !triedExecutors.includes(host.getName()));
  const elsewhere = untried.filter(({ host }) => !triedZones?.includes(host.getZoneName()));
  if (elsewhere.length > 0) return elsewhere;
  return untried.length > 0 ? untried : candidates;
}
