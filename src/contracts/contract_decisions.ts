/** The safety-critical decisions about standing and roster, as functions that can be replaced. */

import { type GetReadTimeLowerBound, getReadTimeLowerBound } from "./freshness.ts";
import { isAppliedByEarlierMajorities, type IsChangeApplied } from "./roster_change_tracker.ts";
import { type DecideStanding, decideStanding } from "./standing.ts";

/** The replaceable decisions of a membership. */
export interface ContractDecisions {
  /** Decides the standing. */
  decideStanding: DecideStanding;
  /** Gets a lower bound of the time at which the read behind a peer's report began. */
  getReadTimeLowerBound: GetReadTimeLowerBound;
  /**
   * Decides whether enough members have applied a change of the roster for it to come into force.
   */
  isChangeApplied: IsChangeApplied;
}

/** The decisions that are used in production. */
export const CONTRACT_DECISIONS: ContractDecisions = {
  decideStanding,
  getReadTimeLowerBound,
  isChangeApplied: isAppliedByEarlierMajorities,
};
