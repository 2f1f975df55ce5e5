/** Disruption budgets: how many hosts of a pool, zone or rack may be unavailable at once. */

/** The scopes of budgets. */
export const BudgetScope = { Pool: "pool", Zone: "zone", Rack: "rack" } as const;

/** One of the scopes of budgets. */
export type BudgetScope = (typeof BudgetScope)[keyof typeof BudgetScope];

/** The name of the budget of a scope that applies to pools, zones or racks without their own. */
export const DEFAULT_BUDGET_NAME = "*";

/**
 * The maximum number of unavailable hosts in a pool for which operators set no budget. Zones and racks
 * without a budget are not limited.
 */
export const DEFAULT_POOL_BUDGET = 1;

/** A budget as stored in the fleet. */
export interface BudgetData {
  /** Whether it applies to a pool, a zone or a rack. */
  scope: BudgetScope;
  /** The pool, the zone, the rack as `zone/rack`, or `*` for all without their own budget. */
  name: string;
  /** The maximum number of hosts that may be unavailable at once, drained and lost ones together. */
  mostAway: number;
}

/** Gets the key of a budget's row in the table of budgets. */
export function getBudgetKey(scope: BudgetScope, name: string): string {
  return `${scope}/${name}`;
}
