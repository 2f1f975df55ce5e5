/** Decides whether this entry host may start requests. */

import type { RosterView } from "../contracts/roster_messages.ts";
import { getStandingAt, Standing, type StandingGrant } from "../contracts/standing.ts";
import type { Fleet } from "../records/fleet.ts";
import { RefusalReason } from "./refusal.ts";

/** Why a request is refused on arrival: this entry host may not start requests. */
export interface ClosedReason {
  /** The reason of the refusals. */
  reason: RefusalReason;
  /** One sentence for the caller. */
  detail: string;
}

/** Options of a `DispatchGate`. */
export interface DispatchGateOptions {
  /** The id of this member. */
  memberId: string;
}

/** A gate that is closed until this process is a member and has a fleet, and whenever it is isolated. */
export class DispatchGate {
  fleet: Fleet | undefined;
  roster: RosterView | undefined;
  /** The newest standing of this member with its end. */
  grant: StandingGrant | undefined;
  readonly #memberId: string;

  private constructor(options: DispatchGateOptions) {
    this.#memberId = options.memberId;
  }

  /** Creates a closed gate. */
  static create(options: DispatchGateOptions): DispatchGate {
    return new DispatchGate(options);
  }

  /** Gets the reason why no request may start, or undefined if the gate is open. */
  findClosedReason(now: number): ClosedReason | undefined {
    const isMember = this.roster?.members.includes(this.#memberId) ?? false;
    if (this.fleet === undefined || !isMember) {
      return {
        reason: RefusalReason.NotReady,
        detail: "this entry host is not a member of the roster",
      };
    }
    if (getStandingAt(this.grant, now) !== Standing.Isolated) return undefined;
    return { reason: RefusalReason.Isolated, detail: "this entry host may have missed a change" };
  }
}
