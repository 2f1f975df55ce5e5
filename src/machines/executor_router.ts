/** The routes of requests: near, lightly loaded and healthy executors first, tried zones last. */

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

/** How much more loaded than the own zone another zone must be before requests leave the own one. */
const ZONE_ADVANTAGE = 0.15;

/** The part of requests that still goes to executors that fail but may not be ejected. */
const PROBE_PART = 0.02;

/** Gets how many executors of a pool may be away at once, planned and unplanned. */
export type GetMaximumUnavailable = (pool: Pool) => number;

/** Options of an `ExecutorRouter`. */
export interface ExecutorRouterOptions {
  /** Gets how many executors of a pool may be away at once. */
  getMaximumUnavailable: GetMaximumUnavailable;
  /** The settings of ejection. */
  settings?: HealthSettings;
}

/** What the end of a request says. */
export interface RequestOutcome {
  /** The pool of the executor. */
  pool: Pool;
  /** The name of the executor. */
  executor: string;
  /** What the end says of the executor. */
  signal: HealthSignal;
  /** The time, in elapsed milliseconds. */
  now: number;
}

/** Knows the health of the executors that one entry host calls; it reads no clock. */
export class ExecutorRouter {
  readonly #getMostAway: GetMaximumUnavailable;
  readonly #settings: HealthSettings;
  readonly #healths = new Map<string, ExecutorHealth>();

  private constructor(options: ExecutorRouterOptions) {
    this.#getMostAway = options.getMaximumUnavailable;
    this.#settings = options.settings ?? DEFAULT_HEALTH_SETTINGS;
  }

  /** Creates a router that knows nothing bad of any executor. */
  static create(options: ExecutorRouterOptions): ExecutorRouter {
    return new ExecutorRouter(options);
  }

  /** Gets the health of an executor. */
  getHealth(executor: string): ExecutorHealth {
    return this.#healths.get(executor) ?? HEALTHY;
  }

  /** Chooses the better one of two random candidates that are not ejected. */
  choose(options: ExecutorChoiceOptions): ExecutorCandidate | undefined {
    const { candidates, now } = options;
    const isWell = ({ host }: ExecutorCandidate) => !isEjected(this.getHealth(host.getName()), now);
    const healthy = this.#healths.size === 0 ? candidates : candidates.filter(isWell);
    return this.#chooseOfPair(
      preferUntried(this.#avoidFailing(healthy, options), options),
      options,
    );
  }

  /** Counts what the end of a request says of its executor, and gets whether this ejects it. */
  recordOutcome(end: RequestOutcome): boolean {
    const { pool, executor, signal, now } = end;
    const before = this.getHealth(executor);
    const isNews = signal === HealthSignal.Failure ||
      (signal === HealthSignal.Success && before !== HEALTHY);
    if (!isNews) return false;
    const isEjectionAllowed = signal === HealthSignal.Failure && this.#mayEjectAnother(pool, now);
    const after = applySignal(before, {
      signal,
      now,
      isEjectionAllowed: isEjectionAllowed,
      settings: this.#settings,
    });
    if (after === HEALTHY) this.#healths.delete(executor);
    else this.#healths.set(executor, after);
    return isEjected(after, now) && !isEjected(before, now);
  }

  /** Forgets executors that the fleet no longer has. */
  retain(hasExecutor: (name: string) => boolean): void {
    for (const name of this.#healths.keys()) {
      if (!hasExecutor(name)) this.#healths.delete(name);
    }
  }

  /** Gets what the state dump shows: the executors of which something bad is known. */
  getState(): unknown {
    return Object.fromEntries(this.#healths);
  }

  /** Leaves out executors that only fail, unless nothing else is free; a few requests probe them. */
  #avoidFailing(
    candidates: readonly ExecutorCandidate[],
    options: ExecutorChoiceOptions,
  ): readonly ExecutorCandidate[] {
    if (this.#healths.size === 0) return candidates;
    const { consecutiveFailuresLimit: consecutiveFailuresLimit } = this.#settings;
    const well = candidates.filter(({ host }) =>
      this.getHealth(host.getName()).failuresInRow < consecutiveFailuresLimit
    );
    if (well.length === 0 || well.length === candidates.length) return candidates;
    return options.random() < PROBE_PART ? candidates : well;
  }

  #mayEjectAnother(pool: Pool, now: number): boolean {
    const executors = pool.getHosts().filter((host) => host.isExecutor());
    const away = executors.filter((host) =>
      !host.isOpen() || isEjected(this.getHealth(host.getName()), now)
    );
    return hasEjectionBudget({
      executorCount: executors.length,
      unavailableCount: away.length,
      mostAway: this.#getMostAway(pool),
    });
  }

  #chooseOfPair(
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

  /** Gets the load of an executor as this host sees it; one that returns looks fuller than it is. */
  #getCost(candidate: ExecutorCandidate, options: ExecutorChoiceOptions): number {
    const { host, running, freeSlots } = candidate;
    const health = this.getHealth(host.getName());
    const weight = getHealthWeight(health, options.now, this.#settings);
    const load = (running + 1) / (running + freeSlots);
    const advantage = host.getZoneName() === options.zone ? 0 : ZONE_ADVANTAGE;
    return load / weight + advantage;
  }
}

/** Gets candidates in zones that were not tried, else executors that were not tried, else all. */
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
