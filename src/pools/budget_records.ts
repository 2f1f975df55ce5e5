/** The record with which operators set disruption budgets. */

import { z } from "zod";
import type { FleetDraft } from "../records/fleet_draft.ts";
import { createRecordRule, type RecordRule } from "../records/record_rule.ts";
import { ACCEPTED, type Verdict } from "../records/verdict.ts";
import { type BudgetData, BudgetScope, getBudgetKey } from "./budget_data.ts";

/** The kinds of records about budgets. */
export const BudgetRecordKind = { Set: "budget-set" } as const;

/** One of the kinds of records about budgets. */
export type BudgetRecordKind = (typeof BudgetRecordKind)[keyof typeof BudgetRecordKind];

const budgetSchema: z.ZodType<BudgetData> = z.object({
  scope: z.enum([BudgetScope.Pool, BudgetScope.Zone, BudgetScope.Rack]),
  name: z.string().min(1).max(129),
  mostAway: z.int().min(0),
}).refine((budget) => hasNameOfScope(budget), {
  path: ["name"],
  message: "expected the name of a pool or zone, a rack as zone/rack, or *",
});

/** The rules of the records about budgets. */
export const BUDGET_RECORD_RULES: readonly RecordRule[] = [
  createRecordRule<BudgetData>({
    kind: BudgetRecordKind.Set,
    version: 1,
    schema: budgetSchema,
    apply: setBudget,
  }),
];

/** Lowering a budget returns no drained hosts: further drains are refused until enough have returned. */
function setBudget(draft: FleetDraft, body: BudgetData): Verdict {
  draft.set("budgets", getBudgetKey(body.scope, body.name), body);
  return ACCEPTED;
}

function hasNameOfScope(budget: BudgetData): boolean {
  if (budget.name === "*") return true;
  const parts = budget.scope === BudgetScope.Rack ? 2 : 1;
  return budget.name.split("/").length === parts;
}
