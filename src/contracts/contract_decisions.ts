/** The decisions on which the safety of standing and roster rests, as functions to pass in. */

import { type GetReadTimeLowerBound, getReadTimeLowerBound } from "./freshness.ts";
import { isAppliedByEarlierMajorities, type IsChangeApplied } from "./roster_change_tracker.ts";
import { type DecideStanding, decideStanding } from "./standing.ts";

/** The decisions of a membership. */
export interface ContractDecisions {
  /** Decides the standing. */
  decideStanding: DecideStanding;
  /** Gets the time of the read behind a peer's statement. */
  getReadTimeLowerBound: GetReadTimeLowerBound;
  /** Decides whether enough members have applied a change of the roster. */
  isChangeApplied: IsChangeApplied;
}

/** The decisions that every entry host uses. */
export const CONTRACT_DECISIONS: ContractDecisions = {
  decideStanding,
  getReadTimeLowerBound: getReadTimeLowerBound,
  isChangeApplied: isAppliedByEarlierMajorities,
};
