/** Retry budgets: token buckets that requests fill and retries drain, so that retries cannot multiply the load. */

/** Settings of a `RetryBudget`. */
export interface RetryBudgetSettings {
  /** The number of tokens that each started request adds, such as 0.1 for one retry per ten requests. */
  share: number;
  /** The capacity in tokens, which is also the initial number of tokens. */
  reserve: number;
}

/** The retry budget of a pool, or of a team in a pool. */
export interface RetryBudget {
  /** The number of available tokens; a retry costs one. */
  readonly tokens: number;
}

/** Creates a full budget. */
export function createRetryBudget(settings: RetryBudgetSettings): RetryBudget {
  return { tokens: settings.reserve };
}

/** Adds the tokens of one started request, up to the capacity. */
export function addRequestTokens(budget: RetryBudget, settings: RetryBudgetSettings): RetryBudget {
  return { tokens: Math.min(settings.reserve, budget.tokens + settings.share) };
}

/** Gets whether the budget allows a retry. */
export function hasToken(budget: RetryBudget): boolean {
  return budget.tokens >= 1;
}

/** Removes the token of one retry. */
export function takeToken(budget: RetryBudget): RetryBudget {
  return { tokens: budget.tokens - 1 };
}
