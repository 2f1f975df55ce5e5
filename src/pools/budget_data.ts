/** Availability budgets: how many hosts of a pool, zone or rack may be away at once. */

/** What a budget bounds. */
export const BudgetScope = { Pool: "pool", Zone: "zone", Rack: "rack" } as const;

/** One of the scopes of budgets. */
export type BudgetScope = (typeof BudgetScope)[keyof typeof BudgetScope];

/** The name that stands for every pool, zone or rack without a budget of its own. */
export const DEFAULT_BUDGET_NAME = "*";

/** The budget of a pool for which operators set none; zones and racks without one are not bounded. */
export const DEFAULT_POOL_BUDGET = 1;

/** What the fleet keeps of a budget. */
export interface BudgetData {
  /** Whether it bounds a pool, a zone or a rack. */
  scope: BudgetScope;
  /** The pool, the zone, the rack as `zone/rack`, or `EVERY_NAME`. */
  name: string;
  /** The most hosts that may be away at once, planned and unplanned together. */
  mostAway: number;
}

/** Gets the key of a budget's row. */
export function getBudgetKey(scope: BudgetScope, name: string): string {
  return `${scope}/${name}`;
}
