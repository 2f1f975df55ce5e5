/** What a dispatcher is made with, and what it gives back. */

import type { ExecutorChooser } from "../machines/executor_choice.ts";
import type { Pool } from "../pools/pool.ts";
import type { ArrivalResult, Ending } from "./dispatch_messages.ts";
import type { BorrowRule } from "./dispatch_pool.ts";
import type { ReleaseDecision } from "./dispatch_running.ts";

/** How a request ended at its executor. */
export interface EndedRequest {
  /** The pool of the executor. */
  pool: Pool;
  /** The name of the executor. */
  executor: string;
  /** How it ended. */
  ending: Ending;
  /** Whether the executor is to blame for an ending without an answer of its own. */
  isFault: boolean;
  /** The time, in elapsed milliseconds. */
  now: number;
}

/** Notes the end of a request. */
export type HandleEnding = (ended: EndedRequest) => void;

/** Options of a `Dispatcher`. */
export interface DispatcherOptions {
  /** The identity of this member. */
  memberId: string;
  /** The availability zone of this entry host. */
  zone: string;
  /** Chooses the executor of a start. */
  chooseExecutor: ExecutorChooser;
  /** Notes how a request ended at its executor. */
  handleEnding?: HandleEnding;
  /** Decides whether an ending frees permit and slot. */
  isReleasedBy: ReleaseDecision;
  /** Decides whether a team may start beyond its part of a full pool. */
  mayBorrow: BorrowRule;
  /** Gets a random number from 0 up to 1. */
  random: () => number;
}

/** What became of an arrival. */
export interface DispatchDecision {
  /** The id of the request. */
  requestId: string;
  /** The result. */
  result: ArrivalResult;
}
