/** The decision whether a request whose attempt failed is tried again on another host. */

/** The methods that RFC 9110, section 9.2.2, defines as idempotent; the unsafe CONNECT and TRACE are not passed on. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "PUT",
  "DELETE",
  "OPTIONS",
]);

/** The most attempts of one request. */
export const MAXIMUM_ATTEMPTS = 3;

/** The time below which another attempt is not worth its start. */
export const MINIMUM_ATTEMPT_MILLISECONDS = 1;

/** What is known when an attempt has failed. */
export interface RetryOptions {
  /** The method. */
  method: string;
  /** Whether the profile says that every request may run more than once. */
  isIdempotentByProfile: boolean;
  /** Whether the request came with an idempotency key, under which it runs at most once. */
  hasIdempotencyKey: boolean;
  /** Whether a byte of any attempt may have left. */
  mayHaveLeft: boolean;
  /** The number of the attempt that failed, from 1. */
  attempt: number;
  /** The time until the caller stops waiting. */
  remainingMilliseconds: number;
  /** Whether the budgets of the team and of the pool have a retry left. */
  hasBudget: boolean;
}

/** Decides whether to try again. */
export type DecideRetry = (options: RetryOptions) => boolean;

/** Tries again what has not left, and what may run twice, while time and budget last. */
export const decideRetry: DecideRetry = (options) => {
  if (options.attempt >= MAXIMUM_ATTEMPTS) return false;
  if (options.remainingMilliseconds < MINIMUM_ATTEMPT_MILLISECONDS) return false;
  if (options.mayHaveLeft && !isRepeatable(options)) return false;
  return options.hasBudget;
};

/** Gets whether the method may run more than once with the same effect. */
export function isIdempotentMethod(method: string): boolean {
  return IDEMPOTENT_METHODS.has(method);
}

function isRepeatable(options: RetryOptions): boolean {
  if (options.hasIdempotencyKey) return false;
  return options.isIdempotentByProfile || isIdempotentMethod(options.method);
}
