/** Retry budgets: token buckets that requests fill and retries empty, so that retries never multiply load. */

/** The settings of a budget. */
export interface RetryBudgetSettings {
  /** The tokens that each started request adds, such as 0.1 for one retry in ten requests. */
  share: number;
  /** The most tokens that a budget holds, and how many it starts with. */
  reserve: number;
}

/** The budget of one team in one pool, or of one pool. */
export interface RetryBudget {
  /** The tokens; one retry takes one. */
  readonly tokens: number;
}

/** Creates a full budget. */
export function createRetryBudget(settings: RetryBudgetSettings): RetryBudget {
  return { tokens: settings.reserve };
}

/** Adds what one started request is worth. */
export function addRequestTokens(budget: RetryBudget, settings: RetryBudgetSettings): RetryBudget {
  return { tokens: Math.min(settings.reserve, budget.tokens + settings.share) };
}

/** Gets whether a retry may be taken from the budget. */
export function hasToken(budget: RetryBudget): boolean {
  return budget.tokens >= 1;
}

/** Takes one retry. */
export function takeToken(budget: RetryBudget): RetryBudget {
  return { tokens: budget.tokens - 1 };
}
