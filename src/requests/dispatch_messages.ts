/** The messages between a request and the dispatch that starts it. */

import type { LoanLend, LoanStatementRequest } from "../contracts/loans/loan_messages.ts";
import type { RosterChanged } from "../contracts/roster_messages.ts";
import type { StandingChanged } from "../contracts/standing.ts";
import type { RecordEvent } from "../records/record_messages.ts";
import type { Reply } from "../tasks/mod.ts";
import type { ShareAllotment } from "../teams/share_messages.ts";
import type { Refusal } from "./refusal.ts";

/** A request that asks to be started. */
export interface Arrival {
  /** The id of the request. */
  requestId: string;
  /** The name of the service. */
  service: string;
  /** The text of the key, if one came. */
  presentedKey: string | undefined;
  /** When the caller stops waiting, in elapsed milliseconds; the profile decides when undefined. */
  deadline: number | undefined;
  /** The executors that earlier attempts were sent to. */
  triedExecutors: readonly string[];
}

/** How a started request ended at its executor. */
export const Ending = {
  /** The executor gave a whole answer. */
  Completed: "completed",
  /** The executor answered with an error of its own. */
  Failed: "failed",
  /** No byte of the request left. */
  NotReached: "not-reached",
  /** The caller has its outcome, but the executor may still be at work. */
  MayBeRunning: "may-be-running",
} as const;

/** One of the ways in which a started request ends. */
export type Ending = (typeof Ending)[keyof typeof Ending];

/** The leave to start a request on an executor. */
export interface StartGrant {
  /** The name of the executor. */
  executor: string;
  /** The IP number and port of the executor. */
  address: string;
  /** When the caller stops waiting, in elapsed milliseconds. */
  deadline: number;
  /** The longest time that the request may run. */
  longestRunMilliseconds: number;
}

/** What became of an arrival. */
export type ArrivalResult =
  | { outcome: "started"; start: StartGrant }
  | { outcome: "refused"; refusal: Refusal };

/** The executors on which this entry host has requests running. */
export interface BusyHosts {
  /** The offset of the newest record that the dispatch obeys. */
  offset: number;
  /** How many run, by name of the executor. */
  running: ReadonlyMap<string, number>;
}

/** The messages that the dispatch task takes. */
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
  /** `isFault` says whether the executor is to blame for an ending without an answer of its own. */
  | { kind: "ended"; requestId: string; ending: Ending; isFault?: boolean };
