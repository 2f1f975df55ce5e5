/**
 * Passive health checks of executors: ejection of outliers, and the slow start of returning ones.
 */

/** What the outcome of a request says about the health of its executor. */
export const HealthSignal = {
  /** The executor answered. */
  Success: "success",
  /**
   * The executor answered with an error of its own, broke the connection or could not be reached.
   */
  Failure: "failure",
  /** The outcome says nothing about the executor. */
  None: "none",
} as const;

export type HealthSignal = (typeof HealthSignal)[keyof typeof HealthSignal];

/** The settings of ejection and slow start. */
export interface HealthSettings {
  /** The number of consecutive failures after which an executor is ejected. */
  consecutiveFailuresLimit: number;
  /** The duration of the first ejection; it doubles with each ejection. */
  ejectionMilliseconds: number;
  /** The maximum duration of an ejection. */
  maximumEjectionMilliseconds: number;
  /** The time over which the weight of a returning executor rises to 1. */
  slowStartMilliseconds: number;
}

/** The default settings. */
export const DEFAULT_HEALTH_SETTINGS: HealthSettings = {
  consecutiveFailuresLimit: 5,
  ejectionMilliseconds: 2_000,
  maximumEjectionMilliseconds: 30_000,
  slowStartMilliseconds: 4_000,
};

/** The health of one executor; an executor without failures has no entry. */
export interface ExecutorHealth {
  /** The number of consecutive failures. */
  readonly failuresInRow: number;
  /**
   * The number of ejections; reset by a success at least the maximum ejection time after the last
   * one.
   */
  readonly ejections: number;
  /** The end of its last ejection, in monotonic milliseconds; undefined if there was none. */
  readonly ejectedUntil: number | undefined;
}

/** The health of an executor without failures. */
export const HEALTHY: ExecutorHealth = {
  failuresInRow: 0,
  ejections: 0,
  ejectedUntil: undefined,
};

/** Options of `applySignal`. */
export interface SignalOptions {
  signal: HealthSignal;
  /** The monotonic time, in milliseconds. */
  now: number;
  /** Whether the pool's disruption budget allows another ejection. */
  isEjectionAllowed: boolean;
  settings: HealthSettings;
}

export function applySignal(health: ExecutorHealth, options: SignalOptions): ExecutorHealth {
  switch (options.signal) {
    case HealthSignal.None:
      return health;
    case HealthSignal.Success:
      return applySuccess(health, options);
    case HealthSignal.Failure:
      return applyFailure(health, options);
  }
}

/** Gets whether an executor is ejected and gets no requests. */
export function isEjected(health: ExecutorHealth, now: number): boolean {
  return health.ejectedUntil !== undefined && now < health.ejectedUntil;
}

/** Gets the weight of an executor in load balancing, from 0 to 1. */
export function getHealthWeight(
  health: ExecutorHealth,
  now: number,
  settings: HealthSettings,
): number {
  const { ejectedUntil } = health;
  if (ejectedUntil === undefined) return 1;
  if (now < ejectedUntil) return 0;
  const fraction = (now - ejectedUntil) / settings.slowStartMilliseconds;
  return Math.min(1, Math.max(INITIAL_SLOW_START_WEIGHT, fraction));
}

/** The initial weight of a returning executor. */
const INITIAL_SLOW_START_WEIGHT = 0.1;

/** Options of `hasEjectionBudget`. */
export interface EjectionBudgetOptions {
  /** The number of executors of the pool. */
  executorCount: number;
  /** The number of executors that are ejected or unavailable for another reason. */
  unavailableCount: number;
  /**
   * The number of executors that may be unavailable at once under the pool's disruption budget.
   */
  mostAway: number;
}

/**
 * Gets whether the pool's disruption budget allows another ejection; the last executor is never
 * ejected.
 */
export function hasEjectionBudget(options: EjectionBudgetOptions): boolean {
  const { executorCount, unavailableCount, mostAway } = options;
  return unavailableCount + 1 <= Math.min(mostAway, executorCount - 1);
}

function applySuccess(health: ExecutorHealth, options: SignalOptions): ExecutorHealth {
  const { ejectedUntil } = health;
  if (ejectedUntil === undefined) return HEALTHY;
  const healthyMilliseconds = options.now - ejectedUntil;
  if (healthyMilliseconds >= options.settings.maximumEjectionMilliseconds) return HEALTHY;
  return { ...health, failuresInRow: 0 };
}

function applyFailure(health: ExecutorHealth, options: SignalOptions): ExecutorHealth {
  const { now, isEjectionAllowed, settings } = options;
  const failuresInRow = health.failuresInRow + 1;
  const isReturning = getHealthWeight(health, now, settings) < 1;
  const limit = isReturning ? 1 : settings.consecutiveFailuresLimit;
  const startsNoEjection = failuresInRow < limit || !isEjectionAllowed || isEjected(health, now);
  if (startsNoEjection) return { ...health, failuresInRow };
  const duration = Math.min(
    settings.maximumEjectionMilliseconds,
    settings.ejectionMilliseconds * 2 ** health.ejections,
  );
  return { failuresInRow: 0, ejections: health.ejections + 1, ejectedUntil: now + duration };
}
