/** The safety-critical decisions about standing and roster, as functions that can be replaced. */

import { type GetRelayedTime, getRelayedTime } from "./freshness.ts";
import { type IsChangeApplied, isChangeAppliedByEach } from "./removal.ts";
import { type DecideStanding, decideStanding } from "./standing.ts";

/** The replaceable decisions of a membership. */
export interface ContractDecisions {
  /** Decides the standing. */
  decideStanding: DecideStanding;
  /** Gets a lower bound of the time at which the read behind a peer's report began. */
  getRelayedTime: GetRelayedTime;
  /**
   * Decides whether enough members have applied a change of the roster for it to come into force.
   */
  isChangeApplied: IsChangeApplied;
}

/** The decisions that are used in production. */
export const CONTRACT_DECISIONS: ContractDecisions = {
  decideStanding,
  getRelayedTime,
  isChangeApplied: isChangeAppliedByEach,
};
