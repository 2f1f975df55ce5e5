/** What is asked of a worker and what it says, apart from any encoding. */

import type { TaskUsage } from "./job_data.ts";
import type { TaskSize } from "./task_size.ts";

/** The states of an attempt at its worker. */
export const AttemptState = {
  /** The worker has not heard of it. */
  Unknown: "unknown",
  Running: "running",
  Completed: "completed",
  Failed: "failed",
  /** It ran, and was stopped on request. */
  Stopped: "stopped",
  /** It ran, and was stopped since its lease was not renewed. */
  Lapsed: "lapsed",
  /** It never ran, and the worker will refuse to start it. */
  Fenced: "fenced",
  /** The worker knows a newer attempt of the task. */
  Superseded: "superseded",
} as const;

/** One of the states of an attempt at its worker. */
export type AttemptState = (typeof AttemptState)[keyof typeof AttemptState];

/** What a worker measured of an attempt, with a lag. */
export interface UsageReport extends TaskUsage {
  /** How long ago it was measured. */
  measuredAgoMilliseconds: number;
}

/** What a worker says of an attempt. */
export interface AttemptReport {
  /** The id of the task. */
  taskId: string;
  /** The number of the attempt. */
  attempt: number;
  /** Its state. */
  state: AttemptState;
  /** What it used. */
  usage?: UsageReport | undefined;
  /** Its newest checkpoint. */
  checkpoint?: string | undefined;
  /** How long it has run since that checkpoint. */
  unsavedMilliseconds?: number | undefined;
}

/** Names an attempt at a worker. */
export interface AttemptId {
  /** The id of the task. */
  taskId: string;
  /** The number of the attempt. */
  attempt: number;
}

/** Asks a worker to start an attempt; asked again, it says how the attempt is doing. */
export interface StartCall extends AttemptId {
  /** The kind of the call. */
  kind: "start";
  /** The identity of the worker's process that may start it. */
  incarnation: string;
  /** For how long it may run without a renewal. */
  leaseMilliseconds: number;
  /** What is reserved for it. */
  reserved: TaskSize;
  /** What it does. */
  payload: string;
  /** The checkpoint from which it goes on. */
  checkpoint?: string | undefined;
}

/** Asks a worker to extend leases. */
export interface RenewCall {
  /** The kind of the call. */
  kind: "renew";
  /** The attempts. */
  attempts: AttemptId[];
  /** For how long each may run from now without a renewal. */
  leaseMilliseconds: number;
}

/** Asks a worker for its process's identity and for all attempts that run. */
export interface StatusCall {
  /** The kind of the call. */
  kind: "status";
}

/** Asks a worker to save the state of an attempt. */
export interface CheckpointCall extends AttemptId {
  /** The kind of the call. */
  kind: "checkpoint";
}

/** Asks a worker to bound the cores of an attempt. */
export interface ThrottleCall extends AttemptId {
  /** The kind of the call. */
  kind: "throttle";
  /** The cores. */
  cores: number;
}

/** Asks a worker to refuse an attempt that has not started; one that has goes on. */
export interface FenceCall extends AttemptId {
  /** The kind of the call. */
  kind: "fence";
}

/** Asks a worker to stop an attempt, or to refuse it if it has not started. */
export interface StopCall extends AttemptId {
  /** The kind of the call. */
  kind: "stop";
  /** Whether its state is saved first. */
  withCheckpoint: boolean;
}

/** What is asked of a worker. */
export type WorkerCall =
  | StartCall
  | RenewCall
  | StatusCall
  | CheckpointCall
  | ThrottleCall
  | FenceCall
  | StopCall;

/** A worker's answer to any call. */
export interface WorkerAnswer {
  /** The identity of the worker's process, new at each start. */
  incarnation: string;
  /** The attempts that the call was about. */
  reports: AttemptReport[];
}

/** What became of a call. */
export type WorkerResult =
  | { outcome: "answered"; answer: WorkerAnswer }
  | { outcome: "failed"; reason: string };

/** Options of a call to a worker. */
export interface WorkerCallOptions {
  /** The IP number and port of the worker. */
  address: string;
  /** The call. */
  call: WorkerCall;
  /** The longest time of the exchange. */
  timeoutMilliseconds: number;
}

/** Calls a worker; the result is whole or an error. */
export type CallWorker = (options: WorkerCallOptions) => Promise<WorkerResult>;
