/**
 * The replaceable decisions of a keeper. Tests replace them with faulty ones to show that the checks
 * detect the fault; benchmarks replace them with baselines.
 */

import { allotByDemand, type AllotLoans } from "./allot_loans.ts";

/** The account of one holder at the keeper of a resource. */
export interface LoanAccount {
  /**
   * The maximum number of permits that the holder may hold under the lends that it had applied when
   * it made its last statement.
   */
  statedBound: number;
  /** The sequence number of the newest lend that the holder has applied. */
  acknowledged: number;
  /** The lends that the holder may still apply, oldest first. */
  outstanding: { sequence: number; total: number; limitOffset: number }[];
  /** The permits that the keeper last lent to the holder. */
  total: number;
  /** The permits that the holder could use. */
  demand: number;
  /** The number of the newest statement batch. */
  batch: number;
  /** Whether the holder has lost applied lends, so that the total must be sent again. */
  mustResend: boolean;
  /** When the newest lend was sent. */
  sentAt: number;
}

/** The replaceable decisions of a keeper. */
export interface LoanRules {
  /** Gets an upper bound of the permits that the holder can hold. */
  getBound: (account: LoanAccount) => number;
  /** Gets whether a new keeper may lend, from the number of members without a statement. */
  mayLend: (unstated: number) => boolean;
  /**
   * Gets the permits that former members without a statement may hold, from the highest limit and
   * the total of the permits in all statements.
   */
  getUnknown: (highestLimit: number, statedTotal: number) => number;
  /** Divides the capacity over the members. */
  allot: AllotLoans;
}

/** The rules that are used in production: no lending before all members have stated. */
export const LOAN_RULES: LoanRules = {
  getBound: getAccountBound,
  mayLend: (unstated) => unstated === 0,
  getUnknown: (highestLimit, statedTotal) => Math.max(0, highestLimit - statedTotal),
  allot: allotByDemand,
};

/** Gets the maximum of the stated permits and of the lends that the holder may still apply. */
export function getAccountBound(account: LoanAccount): number {
  let bound = account.statedBound;
  for (const lend of account.outstanding) bound = Math.max(bound, lend.total);
  return bound;
}
