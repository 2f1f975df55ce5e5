/** Whether this entry host may start anything now. */

import type { RosterView } from "../contracts/roster_messages.ts";
import { getStandingAt, Standing, type StandingGrant } from "../contracts/standing.ts";
import type { Fleet } from "../records/fleet.ts";
import { RefusalReason } from "./refusal.ts";

/** Why nothing may start. */
export interface ClosedReason {
  /** The reason of the refusal. */
  reason: RefusalReason;
  /** One sentence for the caller. */
  detail: string;
}

/** Options of a `DispatchGate`. */
export interface DispatchGateOptions {
  /** The identity of this member. */
  memberId: string;
}

/** Closed until this process is a member with a fleet, and whenever it is isolated. */
export class DispatchGate {
  /** The fleet, once it is known. */
  fleet: Fleet | undefined;
  /** The roster, once it is known. */
  roster: RosterView | undefined;
  /** The standing and its end. */
  grant: StandingGrant | undefined;
  readonly #memberId: string;

  private constructor(options: DispatchGateOptions) {
    this.#memberId = options.memberId;
  }

  /** Creates a gate that is closed. */
  static create(options: DispatchGateOptions): DispatchGate {
    return new DispatchGate(options);
  }

  /** Gets why nothing may start, or undefined if the gate is open. */
  findClosedReason(now: number): ClosedReason | undefined {
    const isMember = this.roster?.members.includes(this.#memberId) ?? false;
    if (this.fleet === undefined || !isMember) {
      return { reason: RefusalReason.NotReady, detail: "this entry host has not joined yet" };
    }
    if (getStandingAt(this.grant, now) !== Standing.Isolated) return undefined;
    return { reason: RefusalReason.Isolated, detail: "this entry host may have missed a change" };
  }
}
