/** What the owner of a queue knows of an attempt that runs, and what it does next about it. */

import { AttemptResult } from "./job_record_data.ts";
import { type AttemptReport, AttemptState } from "./worker_protocol.ts";

/** Why the owner wants an attempt to end. */
export const StopCause = {
  /** Its job is stopping. */
  Cancel: "cancel",
  /** It is to go on elsewhere, from a checkpoint. */
  Move: "move",
  /** It ran far longer than it may. */
  Overrun: "overrun",
} as const;

/** One of the reasons for which the owner wants an attempt to end. */
export type StopCause = (typeof StopCause)[keyof typeof StopCause];

/** What the owner of a queue knows of an attempt that runs. */
export interface AttemptWatch {
  /** The id of the job. */
  readonly jobId: string;
  /** The place of the task in its job. */
  readonly task: number;
  /** The id of the task at the worker. */
  readonly taskId: string;
  /** The number of the attempt. */
  readonly attempt: number;
  /** The worker. */
  readonly worker: string;
  /** The identity of the worker's process that may run it. */
  readonly incarnation: string;
  /** Whether the task may run more than once. */
  readonly isIdempotent: boolean;
  /** When the watch began, in elapsed milliseconds. */
  readonly watchedSince: number;
  /** When the worker last answered about it, or the watch began, in elapsed milliseconds. */
  answeredAt: number;
  /** Whether a call about it is under way. */
  isCallInFlight: boolean;
  /** When the last call about it failed, in elapsed milliseconds. */
  failedAt: number | undefined;
  /** What the worker last said of it. */
  report: AttemptReport | undefined;
  /** When the worker measured that, in elapsed milliseconds. */
  measuredAt: number;
  /** Why it is to end, if it is. */
  stopCause: StopCause | undefined;
  /** How it ended, once that is known. */
  result: AttemptResult | undefined;
  /** The record that tells of its end, while its verdict is not known. */
  recordId: string | undefined;
  /** When its cores were bounded, in elapsed milliseconds. */
  throttledAt: number | undefined;
}

/** What the owner does about an attempt. */
export const WatchAction = {
  None: "none",
  Start: "start",
  /** The worker is to refuse the attempt if it has not started. */
  Fence: "fence",
  Stop: "stop",
  MarkLost: "give-up",
} as const;

/** One of the things that the owner does about an attempt. */
export type WatchAction = (typeof WatchAction)[keyof typeof WatchAction];

/** Options of `decideWatch`. */
export interface WatchOptions {
  /** The attempt. */
  watch: AttemptWatch;
  /** The elapsed milliseconds. */
  now: number;
  /** Whether this member may start work now. */
  isStartAllowed: boolean;
  /** Whether the worker's host serves in a zone that is in. */
  isWorkerAvailable: boolean;
  /** The wait after a call that failed. */
  retryMilliseconds: number;
  /** How long a worker is silent before its attempts are given up. */
  workerTimeoutMilliseconds: number;
}

/** Decides what the owner does next about an attempt. */
export function decideWatch(options: WatchOptions): WatchAction {
  const { watch, now } = options;
  if (watch.result !== undefined || watch.isCallInFlight) return WatchAction.None;
  if (now - watch.answeredAt > options.workerTimeoutMilliseconds) return WatchAction.MarkLost;
  const isWaiting = watch.failedAt !== undefined &&
    now < watch.failedAt + options.retryMilliseconds;
  if (isWaiting) return WatchAction.None;
  if (watch.stopCause !== undefined) return WatchAction.Stop;
  if (watch.report?.state === AttemptState.Running) return WatchAction.None;
  if (!options.isWorkerAvailable) return WatchAction.Fence;
  return options.isStartAllowed ? WatchAction.Start : WatchAction.None;
}

/** Gets how an attempt ended by its worker's word, or undefined if it has not. */
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

/** A stop that this member did not ask for was asked for by the owner before it. */
function getStoppedResult(watch: AttemptWatch): AttemptResult {
  if (watch.stopCause === StopCause.Cancel) return AttemptResult.Stopped;
  if (watch.stopCause === StopCause.Overrun) return AttemptResult.Overran;
  return watch.isIdempotent ? AttemptResult.Checkpointed : AttemptResult.Overran;
}
