/** The calls to workers and their answers, independent of any encoding. */

import type { TaskUsage } from "./job_data.ts";
import type { TaskSize } from "./task_size.ts";

/** The states of an attempt, as its worker reports them. */
export const AttemptState = {
  /** The worker does not know the attempt. */
  Unknown: "unknown",
  Running: "running",
  Completed: "completed",
  Failed: "failed",
  /** It ran, and was stopped on request. */
  Stopped: "stopped",
  /** It ran, and was stopped because its lease expired. */
  Lapsed: "lapsed",
  /** It never ran, and the worker will refuse to start it. */
  Fenced: "fenced",
  /** The worker has received a newer attempt of the task. */
  Superseded: "superseded",
} as const;

export type AttemptState = (typeof AttemptState)[keyof typeof AttemptState];

/** The resource usage of an attempt, measured some time before the report. */
export interface UsageReport extends TaskUsage {
  /** The age of the measurement. */
  measuredAgoMilliseconds: number;
}

/** A worker's report on an attempt. */
export interface AttemptReport {
  /** The id of the task. */
  taskId: string;
  /** The number of the attempt. */
  attempt: number;
  /** The state. */
  state: AttemptState;
  /** The resource usage. */
  usage?: UsageReport | undefined;
  /** The latest checkpoint. */
  checkpoint?: string | undefined;
  /** The run time since that checkpoint, which would be lost if the attempt ended. */
  unsavedMilliseconds?: number | undefined;
}

/** Identifies an attempt. */
export interface AttemptId {
  /** The id of the task. */
  taskId: string;
  /** The number of the attempt. */
  attempt: number;
}

/** Starts an attempt; idempotent: a repeated call only reports the attempt's state. */
export interface StartCall extends AttemptId {
  /** The kind of the call. */
  kind: "start";
  /** The incarnation of the worker that may start it. */
  incarnation: string;
  /** How long it may run without a renewal of its lease. */
  leaseMilliseconds: number;
  /** The resources reserved for it. */
  reserved: TaskSize;
  /** The description of the work. */
  payload: string;
  /** The checkpoint from which it resumes. */
  checkpoint?: string | undefined;
}

/** Renews the leases of attempts. */
export interface RenewCall {
  /** The kind of the call. */
  kind: "renew";
  /** The attempts. */
  attempts: AttemptId[];
  /** How long each attempt may run from now without another renewal. */
  leaseMilliseconds: number;
}

/** Gets the worker's incarnation and all its running attempts. */
export interface StatusCall {
  /** The kind of the call. */
  kind: "status";
}

/** Saves a checkpoint of an attempt. */
export interface CheckpointCall extends AttemptId {
  /** The kind of the call. */
  kind: "checkpoint";
}

/** Limits the cores of an attempt. */
export interface ThrottleCall extends AttemptId {
  /** The kind of the call. */
  kind: "throttle";
  /** The maximum number of cores. */
  cores: number;
}

/** Prevents the start of an attempt; an attempt that has started keeps running. */
export interface FenceCall extends AttemptId {
  /** The kind of the call. */
  kind: "fence";
}

/** Stops an attempt, or prevents its start if it has not started. */
export interface StopCall extends AttemptId {
  /** The kind of the call. */
  kind: "stop";
  /** Whether to save a checkpoint first. */
  withCheckpoint: boolean;
}

/** A call to a worker. */
export type WorkerCall =
  | StartCall
  | RenewCall
  | StatusCall
  | CheckpointCall
  | ThrottleCall
  | FenceCall
  | StopCall;

/** A worker's answer to a call of any kind. */
export interface WorkerAnswer {
  /** The worker's incarnation, which changes at each start of its process. */
  incarnation: string;
  /** The reports on the attempts of the call; on all running attempts for a status call. */
  reports: AttemptReport[];
}

/** The result of a call. */
export type WorkerResult =
  | { outcome: "answered"; answer: WorkerAnswer }
  | { outcome: "failed"; reason: string };

/** Options of a call to a worker. */
export interface WorkerCallOptions {
  /** The IP number and port of the worker. */
  address: string;
  /** The call. */
  call: WorkerCall;
  /** The timeout of the whole call. */
  timeoutMilliseconds: number;
}

/** Calls a worker; the result is a complete answer or a failure. */
export type CallWorker = (options: WorkerCallOptions) => Promise<WorkerResult>;
