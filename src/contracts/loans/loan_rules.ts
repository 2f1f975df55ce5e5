/** The decisions of a keeper that may be replaced: the proof passes in broken ones, the bench baselines. */

import { allotByDemand, type AllotLoans } from "./allot_loans.ts";

/** What a keeper knows of one holder of one resource. */
export interface LoanAccount {
  /** The most that the holder may hold of what it had followed when it last stated. */
  stated: number;
  /** The sequence number of the newest lend that the holder has followed. */
  acknowledged: number;
  /** The lends that the holder may follow yet, oldest first. */
  outstanding: { sequence: number; total: number; limitOffset: number }[];
  /** The permits that the holder is to hold. */
  total: number;
  /** The permits that it could use. */
  demand: number;
  /** The number of the newest batch that stated it. */
  batch: number;
  /** Whether the holder has lost lends that it followed, so that the total must be sent again. */
  mustResend: boolean;
  /** When the newest lend left. */
  sentAt: number;
}

/** The decisions of a keeper that may be replaced. */
export interface LoanRules {
  /** Gets the most permits that the holder can be holding. */
  getBound: (account: LoanAccount) => number;
  /** Gets whether a new keeper knows enough to lend: all members have stated to it. */
  mayLend: (unstated: number) => boolean;
  /** Gets the permits that former members of unknown holdings may hold. */
  getUnknown: (highestLimit: number, stated: number) => number;
  /** Divides the capacity over the members. */
  allot: AllotLoans;
}

/** The rules of the product. */
export const LOAN_RULES: LoanRules = {
  getBound: getAccountBound,
  mayLend: (unstated) => unstated === 0,
  getUnknown: (highestLimit, stated) => Math.max(0, highestLimit - stated),
  allot: allotByDemand,
};

/** Gets the largest of what the holder stated and of what it may still follow. */
export function getAccountBound(account: LoanAccount): number {
  let bound = account.stated;
  for (const lend of account.outstanding) bound = Math.max(bound, lend.total);
  return bound;
}
