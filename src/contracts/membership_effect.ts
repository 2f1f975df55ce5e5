/** The actions that a membership returns for its task to perform. */

import type { Heartbeat } from "./heartbeat.ts";
import type { RosterView } from "./roster_messages.ts";
import type { StandingGrant } from "./standing.ts";

/** A record that a member proposes to publish. */
export interface Proposal {
  /** The id, equal for equal proposals of different members, so that a repetition has no effect. */
  id: string;
  /** The kind of the record. */
  recordKind: string;
  /** The body of the record. */
  body: unknown;
}

/** An action for the member task to perform. */
export type MembershipEffect =
  | { kind: "send-heartbeat"; to: string; heartbeat: Heartbeat }
  | { kind: "grant"; grant: StandingGrant }
  | { kind: "report-peer-ahead"; from: string; offset: number }
  | { kind: "propose"; proposal: Proposal }
  | { kind: "report-roster"; roster: RosterView }
  | { kind: "report-removal" };
