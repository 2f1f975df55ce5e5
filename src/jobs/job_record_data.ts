/** The records about jobs as data: their kinds, the ends of attempts and the bodies. */

import type { TaskUsage } from "./job_data.ts";
import type { TaskSize } from "./task_size.ts";

/** The most tasks of one job. */
export const MAXIMUM_TASKS_PER_JOB = 256;

/** The most characters of a job's payload. */
export const MAXIMUM_PAYLOAD_CHARACTERS = 16_384;

/** The most jobs or attempts that one record names. */
export const MAXIMUM_ENTRIES_PER_RECORD = 500;

/** The kinds of records about jobs. */
export const JobRecordKind = {
  Accepted: "job-accepted",
  Cancelled: "job-cancelled",
  AttemptStarted: "attempt-started",
  AttemptEnded: "attempt-ended",
  WorkerSetAside: "worker-set-aside",
  WorkerReturned: "worker-returned",
} as const;

/** One of the kinds of records about jobs. */
export type JobRecordKind = (typeof JobRecordKind)[keyof typeof JobRecordKind];

/** How an attempt ended. */
export const AttemptResult = {
  Completed: "completed",
  Failed: "failed",
  /** Stopped because its job is stopping. */
  Stopped: "stopped",
  /** Stopped because it ran far longer than it may. */
  Overran: "overran",
  /** Stopped after a checkpoint, to go on elsewhere. */
  Checkpointed: "checkpointed",
  /** Proved by the worker: it never ran, and never will. */
  NotStarted: "not-started",
  /** The worker stopped it, since its lease was not renewed. */
  Lapsed: "lapsed",
  /** The worker is gone, and what the attempt did is not known. */
  Lost: "lost",
} as const;

/** One of the ways in which an attempt ends. */
export type AttemptResult = (typeof AttemptResult)[keyof typeof AttemptResult];

/** A task as its caller declares it. */
export interface DeclaredTask {
  /** The size. */
  size: TaskSize;
  /** The run time. */
  runMilliseconds: number;
}

/** The body of the record that accepts a job. */
export interface JobAcceptedBody {
  /** The id of the job. */
  jobId: string;
  /** The queue. */
  queue: string;
  /** The team. */
  team: string;
  /** The key that came with the job; absent on a queue that is open to all. */
  keyId?: string | undefined;
  /** Whether it goes before others. */
  isUrgent: boolean;
  /** Whether its tasks start together or not at all. */
  isGang: boolean;
  /** Whether a task may run more than once. */
  isIdempotent: boolean;
  /** The most tasks of the job in one rack; 0 for no bound. */
  mostPerRack: number;
  /** What its tasks do. */
  payload: string;
  /** Its tasks. */
  tasks: DeclaredTask[];
}

/** The body of the record that cancels jobs. */
export interface JobCancelledBody {
  /** The ids of the jobs. */
  jobIds: string[];
}

/** The start of one task. */
export interface AttemptStart {
  /** The place of the task in its job. */
  task: number;
  /** The number of the attempt: one more than the newest before it. */
  attempt: number;
  /** The worker. */
  worker: string;
  /** The identity of the worker's process. */
  incarnation: string;
  /** What is reserved for it. */
  reserved: TaskSize;
}

/** The body of the record that starts tasks of a job: all that it names, or none. */
export interface AttemptStartedBody {
  /** The id of the job. */
  jobId: string;
  /** The starts. */
  starts: AttemptStart[];
}

/** The end of one attempt. */
export interface AttemptEnd {
  /** The id of the job. */
  jobId: string;
  /** The place of the task in its job. */
  task: number;
  /** The number of the attempt. */
  attempt: number;
  /** How it ended. */
  result: AttemptResult;
  /** The checkpoint from which the next attempt goes on. */
  checkpoint?: string | undefined;
  /** What it used. */
  used?: TaskUsage | undefined;
}

/** The body of the record that ends attempts. */
export interface AttemptEndedBody {
  /** The ends. */
  ends: AttemptEnd[];
}

/** The body of a record about a worker. */
export interface WorkerRecordBody {
  /** The name of the worker. */
  worker: string;
}
