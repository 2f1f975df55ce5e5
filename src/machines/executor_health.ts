/** The health of executors as the ends of requests show it: ejection, and the slow return from it. */

/** What one end of a request says of its executor. */
export const HealthSignal = {
  /** It answered. */
  Success: "success",
  /** It answered with an error of its own, broke the connection or could not be reached. */
  Failure: "failure",
  /** It says nothing of the executor. */
  None: "none",
} as const;

/** One of the signals. */
export type HealthSignal = (typeof HealthSignal)[keyof typeof HealthSignal];

/** The settings of ejection. */
export interface HealthSettings {
  /** The failures in a row after which an executor is ejected. */
  consecutiveFailuresLimit: number;
  /** The first time for which an executor stays ejected; it doubles with each ejection. */
  ejectionMilliseconds: number;
  /** The longest time for which an executor stays ejected. */
  maximumEjectionMilliseconds: number;
  /** The time over which an executor that returns gets its full part of the requests again. */
  slowStartMilliseconds: number;
}

/** The settings when none are given. */
export const DEFAULT_HEALTH_SETTINGS: HealthSettings = {
  consecutiveFailuresLimit: 5,
  ejectionMilliseconds: 2_000,
  maximumEjectionMilliseconds: 30_000,
  slowStartMilliseconds: 4_000,
};

/** What is remembered of one executor; an executor without failures has no entry. */
export interface ExecutorHealth {
  /** The failures since its last success. */
  readonly failuresInRow: number;
  /** The ejections since it last stayed well for the longest ejection. */
  readonly ejections: number;
  /** When its last ejection ends or ended, in elapsed milliseconds; undefined if there was none. */
  readonly ejectedUntil: number | undefined;
}

/** The health of an executor of which nothing bad is known. */
export const HEALTHY: ExecutorHealth = {
  failuresInRow: 0,
  ejections: 0,
  ejectedUntil: undefined,
};

/** Options of `applySignal`. */
export interface SignalOptions {
  /** The signal. */
  signal: HealthSignal;
  /** The time, in elapsed milliseconds. */
  now: number;
  /** Whether the pool's budget lets another executor be ejected. */
  isEjectionAllowed: boolean;
  /** The settings. */
  settings: HealthSettings;
}

/** Gets the health after a signal. */
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

/** Gets whether an executor gets no requests. */
export function isEjected(health: ExecutorHealth, now: number): boolean {
  return health.ejectedUntil !== undefined && now < health.ejectedUntil;
}

/** Gets the part of its usual requests that an executor gets, from 0 to 1. */
export function getHealthWeight(
  health: ExecutorHealth,
  now: number,
  settings: HealthSettings,
): number {
  const { ejectedUntil } = health;
  if (ejectedUntil === undefined) return 1;
  if (now < ejectedUntil) return 0;
  const part = (now - ejectedUntil) / settings.slowStartMilliseconds;
  return Math.min(1, Math.max(LOWEST_REENTRY_WEIGHT, part));
}

/** The part of its requests with which an executor returns. */
const LOWEST_REENTRY_WEIGHT = 0.1;

/** Options of `mayEjectAnother`. */
export interface EjectionBudgetOptions {
  /** The executors of the pool. */
  executorCount: number;
  /** The executors that are ejected or away for another reason. */
  unavailableCount: number;
  /** The executors that the pool's availability budget lets be away at once. */
  mostAway: number;
}

/** Gets whether the pool's budget lets another executor be ejected; the last one always stays. */
export function hasEjectionBudget(options: EjectionBudgetOptions): boolean {
  const { executorCount, unavailableCount: unavailableCount, mostAway } = options;
  return unavailableCount + 1 <= Math.min(mostAway, executorCount - 1);
}

function applySuccess(health: ExecutorHealth, options: SignalOptions): ExecutorHealth {
  const { ejectedUntil } = health;
  if (ejectedUntil === undefined) return HEALTHY;
  const wellSince = options.now - ejectedUntil;
  if (wellSince >= options.settings.maximumEjectionMilliseconds) return HEALTHY;
  return { ...health, failuresInRow: 0 };
}

function applyFailure(health: ExecutorHealth, options: SignalOptions): ExecutorHealth {
  const { now, isEjectionAllowed: isEjectionAllowed, settings } = options;
  const failuresInRow = health.failuresInRow + 1;
  const isReturning = getHealthWeight(health, now, settings) < 1;
  const limit = isReturning ? 1 : settings.consecutiveFailuresLimit;
  const mustStay = failuresInRow < limit || !isEjectionAllowed || isEjected(health, now);
  if (mustStay) return { ...health, failuresInRow };
  const duration = Math.min(
    settings.maximumEjectionMilliseconds,
    settings.ejectionMilliseconds * 2 ** health.ejections,
  );
  return { failuresInRow: 0, ejections: health.ejections + 1, ejectedUntil: now + duration };
}
