/** The messages between a request and the dispatcher that starts it. */

import type { LoanLend, LoanStatementRequest } from "../contracts/loans/loan_messages.ts";
import type { RosterChanged } from "../contracts/roster_messages.ts";
import type { StandingChanged } from "../contracts/standing.ts";
import type { RecordEvent } from "../records/record_messages.ts";
import type { Reply } from "../tasks/mod.ts";
import type { ShareAllotment } from "../teams/share_messages.ts";
import type { Refusal } from "./refusal.ts";

/** A request that arrives at the dispatcher. */
export interface Arrival {
  /** The id of the request. */
  requestId: string;
  /** The name of the service. */
  service: string;
  /** The API key as the caller sent it, if any. */
  presentedKey: string | undefined;
  /** The caller's deadline in elapsed milliseconds; if undefined, the profile sets it. */
  deadline: number | undefined;
  /** The executors of earlier attempts. */
  triedExecutors: readonly string[];
}

/** The result of an attempt to run a request on an executor. */
export const Ending = {
  /** The executor sent a complete answer. */
  Completed: "completed",
  /** The executor answered with a server error. */
  Failed: "failed",
  /** No byte of the request was sent. */
  NotReached: "not-reached",
  /**
   * The call failed, timed out or was cancelled after a byte may have been sent, so the executor
   * may still be running the request.
   */
  MayBeRunning: "may-be-running",
} as const;

/** One of the results of an attempt. */
export type Ending = (typeof Ending)[keyof typeof Ending];

/** Permission to start a request on an executor. */
export interface StartGrant {
  /** The name of the executor. */
  executor: string;
  /** The IP address and port of the executor. */
  address: string;
  /** The caller's deadline in elapsed milliseconds. */
  deadline: number;
  /** The maximum run time of the request. */
  longestRunMilliseconds: number;
}

/** The result of an arrival. */
export type ArrivalResult =
  | { outcome: "started"; start: StartGrant }
  | { outcome: "refused"; refusal: Refusal };

/** The executors on which requests of this entry host are running. */
export interface BusyHosts {
  /** The offset of the newest record that the dispatcher has applied. */
  offset: number;
  /** The number of running requests by executor name. */
  running: ReadonlyMap<string, number>;
}

/** The messages that `DispatchTask` handles. */
export type DispatchMessage =
  | RecordEvent
  | StandingChanged
  | RosterChanged
  | { kind: "loan"; from: string; message: LoanLend | LoanStatementRequest | ShareAllotment }
  | { kind: "leaving"; reply: Reply<void> }
  | { kind: "flush" }
  | { kind: "tick" }
  | { kind: "arrived"; arrival: Arrival; reply: Reply<ArrivalResult> }
  | { kind: "get-busy-hosts"; reply: Reply<BusyHosts> }
  | { kind: "cancelled"; requestId: string }
  /** `isFault` is whether the executor is at fault: it sent a server error, or no answer. */
  | { kind: "ended"; requestId: string; ending: Ending; isFault?: boolean };
