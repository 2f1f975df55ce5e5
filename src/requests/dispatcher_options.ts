/** The options and the decisions of a `Dispatcher`. */

import type { ExecutorChooser } from "../machines/executor_choice.ts";
import type { Pool } from "../pools/pool.ts";
import type { ArrivalResult, Ending } from "./dispatch_messages.ts";
import type { MayExceedAllotment } from "./dispatch_pool.ts";
import type { ReleaseDecision } from "./dispatch_running.ts";

/** The result of an attempt to run a request on an executor. */
export interface RequestAttemptResult {
  /** The pool of the executor. */
  pool: Pool;
  /** The name of the executor. */
  executor: string;
  ending: Ending;
  /** Whether the executor is at fault: it sent a server error, or no answer. */
  isFault: boolean;
  /** The current time in elapsed milliseconds. */
  now: number;
}

/** Handles the result of an attempt. */
export type HandleAttemptResult = (ended: RequestAttemptResult) => void;

/** Options of a `Dispatcher`. */
export interface DispatcherOptions {
  /** The id of this member. */
  memberId: string;
  /** The availability zone of this entry host. */
  zone: string;
  /** Chooses the executor for a request. */
  chooseExecutor: ExecutorChooser;
  /** Called when the result of an attempt is known. */
  handleAttemptResult?: HandleAttemptResult;
  /** Decides whether the result of an attempt releases the permit and slot. */
  isReleasedBy: ReleaseDecision;
  /** Decides whether a team may start another request under its allotment in a full pool. */
  mayExceedAllotment: MayExceedAllotment;
  /** Gets a random number from 0 up to 1. */
  random: () => number;
}

/** The decision on an arrival. */
export interface DispatchDecision {
  /** The id of the request. */
  requestId: string;
  result: ArrivalResult;
}
