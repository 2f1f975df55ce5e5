/** Decides whether a request whose attempt failed is retried on another host. */

/** The methods that RFC 9110, section 9.2.2, defines as idempotent, except TRACE. TRACE and CONNECT are not forwarded. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "PUT",
  "DELETE",
  "OPTIONS",
]);

/** The maximum number of attempts of a request. */
export const MAXIMUM_ATTEMPTS = 3;

/** The remaining time below which a request is not retried. */
export const MINIMUM_ATTEMPT_MILLISECONDS = 1;

/** Options of a `DecideRetry`. */
export interface RetryOptions {
  method: string;
  /** Whether the profile declares all requests of the service idempotent. */
  isIdempotentByProfile: boolean;
  /** Whether the request has an idempotency key, under which it runs at most once. */
  hasIdempotencyKey: boolean;
  /** Whether a byte of any attempt may have been sent. */
  mayHaveLeft: boolean;
  /** The number of the failed attempt, counted from 1. */
  attempt: number;
  /** The time until the caller's deadline. */
  remainingMilliseconds: number;
  /** Whether the budgets of both the team and the pool allow a retry. */
  hasBudget: boolean;
}

/** Decides whether a request is retried. */
export type DecideRetry = (options: RetryOptions) => boolean;

/**
 * Retries a request of which no byte was sent, or an idempotent one without an idempotency key, within
 * the limits of attempts, deadline and budgets.
 */
export const decideRetry: DecideRetry = (options) => {
  if (options.attempt >= MAXIMUM_ATTEMPTS) return false;
  if (options.remainingMilliseconds < MINIMUM_ATTEMPT_MILLISECONDS) return false;
  if (options.mayHaveLeft && !isRepeatable(options)) return false;
  return options.hasBudget;
};

/** Gets whether the method is idempotent. */
export function isIdempotentMethod(method: string): boolean {
  return IDEMPOTENT_METHODS.has(method);
}

/** A request with an idempotency key runs at most once, so it is not sent again once it may have run. */
function isRepeatable(options: RetryOptions): boolean {
  if (options.hasIdempotencyKey) return false;
  return options.isIdempotentByProfile || isIdempotentMethod(options.method);
}
