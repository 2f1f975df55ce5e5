/** The queue owner's view of a running attempt, and the decision on its next action for it. */

import { AttemptResult } from "./job_record_data.ts";
import { type AttemptReport, AttemptState } from "./worker_protocol.ts";

/** Why the owner stops an attempt. */
export const StopCause = {
  /** Its job was cancelled or failed. */
  Cancel: "cancel",
  /** Its task is to resume on another worker, from a checkpoint. */
  Move: "move",
  /** It ran far longer than expected. */
  Overrun: "overrun",
} as const;

export type StopCause = (typeof StopCause)[keyof typeof StopCause];

/** The queue owner's view of a running attempt; times are in milliseconds of the monotonic clock. */
export interface AttemptWatch {
  /** The id of the job. */
  readonly jobId: string;
  /** The index of the task in its job. */
  readonly task: number;
  /** The task's id in the worker protocol. */
  readonly taskId: string;
  /** The number of the attempt. */
  readonly attempt: number;
  /** The name of the worker. */
  readonly worker: string;
  /** The incarnation of the worker that may run it. */
  readonly incarnation: string;
  /** Whether the task may run more than once. */
  readonly isIdempotent: boolean;
  /** When the owner first saw the attempt in the state of the fleet. */
  readonly watchedSince: number;
  /** When the worker last answered a call about it, or the watch began. */
  answeredAt: number;
  /** Whether a call about this attempt alone is in flight. */
  isCallInFlight: boolean;
  /** When the last call about it failed; undefined after an answer. */
  failedAt: number | undefined;
  /** The worker's last report on it. */
  report: AttemptReport | undefined;
  /** When the worker measured the usage in that report. */
  measuredAt: number;
  /** Why the owner stops it, if it does. */
  stopCause: StopCause | undefined;
  /** How it ended, once known. */
  result: AttemptResult | undefined;
  /** The id of the record that reports its end, once one was published. */
  recordId: string | undefined;
  /** When its cores were limited. */
  throttledAt: number | undefined;
}

/** The owner's next action for an attempt. */
export const WatchAction = {
  None: "none",
  Start: "start",
  /** Makes the worker refuse the attempt if it has not started. */
  Fence: "fence",
  Stop: "stop",
  MarkLost: "mark-lost",
} as const;

export type WatchAction = (typeof WatchAction)[keyof typeof WatchAction];

/** Options of `decideWatch`. */
export interface WatchOptions {
  watch: AttemptWatch;
  /** The current time, in milliseconds of the monotonic clock. */
  now: number;
  /** Whether this member may start new work. */
  isStartAllowed: boolean;
  /** Whether the worker's host is serving and its zone is in service. */
  isWorkerAvailable: boolean;
  /** The delay before a failed call is retried. */
  retryMilliseconds: number;
  /** How long a worker may fail to answer before its attempts are considered lost. */
  workerTimeoutMilliseconds: number;
}

/** Decides the owner's next action for an attempt. */
export function decideWatch(options: WatchOptions): WatchAction {
  const { watch, now } = options;
  if (watch.result !== undefined || watch.isCallInFlight) return WatchAction.None;
  if (now - watch.answeredAt > options.workerTimeoutMilliseconds) return WatchAction.MarkLost;
  const isRetryDelayed = watch.failedAt !== undefined &&
    now < watch.failedAt + options.retryMilliseconds;
  if (isRetryDelayed) return WatchAction.None;
  if (watch.stopCause !== undefined) return WatchAction.Stop;
  if (watch.report?.state === AttemptState.Running) return WatchAction.None;
  if (!options.isWorkerAvailable) return WatchAction.Fence;
  return options.isStartAllowed ? WatchAction.Start : WatchAction.None;
}

/** Gets how an attempt ended according to its worker's report; undefined if it has not ended. */
export function getResult(watch: AttemptWatch, report: AttemptReport): AttemptResult | undefined {
  switch (report.state) {
    case AttemptState.Completed:
      return AttemptResult.Completed;
    case AttemptState.Failed:
      return AttemptResult.Failed;
    case AttemptState.Lapsed:
      return AttemptResult.Lapsed;
    case AttemptState.Fenced:
      return AttemptResult.NotStarted;
    case AttemptState.Stopped:
      return getStoppedResult(watch);
    case AttemptState.Unknown:
    case AttemptState.Running:
    case AttemptState.Superseded:
      return undefined;
  }
}

/** A stop that this member did not request was requested by the previous owner of the queue. */
function getStoppedResult(watch: AttemptWatch): AttemptResult {
  if (watch.stopCause === StopCause.Cancel) return AttemptResult.Stopped;
  if (watch.stopCause === StopCause.Overrun) return AttemptResult.Overran;
  return watch.isIdempotent ? AttemptResult.Checkpointed : AttemptResult.Overran;
}
