/** The records about jobs: their kinds, the results of attempts and the bodies. */

import type { TaskUsage } from "./job_data.ts";
import type { TaskSize } from "./task_size.ts";

/** The maximum number of tasks of a job. */
export const MAXIMUM_TASKS_PER_JOB = 256;

/** The maximum length of a job's payload, in characters. */
export const MAXIMUM_PAYLOAD_CHARACTERS = 16_384;

/** The maximum number of jobs or ended attempts in one record. */
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

export type JobRecordKind = (typeof JobRecordKind)[keyof typeof JobRecordKind];

/** How an attempt ended. */
export const AttemptResult = {
  Completed: "completed",
  Failed: "failed",
  /** Stopped because its job was cancelled or failed. */
  Stopped: "stopped",
  /** Stopped because it ran far longer than expected. */
  Overran: "overran",
  /** Stopped after a checkpoint, to resume on another worker. */
  Checkpointed: "checkpointed",
  /** Fenced: the worker confirmed that it never ran and will refuse to start it. */
  NotStarted: "not-started",
  /** The worker stopped it because its lease expired. */
  Lapsed: "lapsed",
  /** The worker restarted or did not answer in time, so the result is unknown. */
  Lost: "lost",
} as const;

export type AttemptResult = (typeof AttemptResult)[keyof typeof AttemptResult];

/** A task, as declared by the caller. */
export interface DeclaredTask {
  /** The required resources. */
  size: TaskSize;
  /** The expected run time. */
  runMilliseconds: number;
}

/** The body of the record that accepts a job. */
export interface JobAcceptedBody {
  /** The id of the job. */
  jobId: string;
  /** The name of the queue. */
  queue: string;
  /** The name of the team. */
  team: string;
  /** The id of the key that the caller presented; absent without a key. */
  keyId?: string | undefined;
  /** Whether it takes priority over jobs that are not urgent. */
  isUrgent: boolean;
  /** Whether all its tasks must start together. */
  isGang: boolean;
  /** Whether a task may run more than once. */
  isIdempotent: boolean;
  /** The maximum number of its tasks in one rack; 0 for no limit. */
  mostPerRack: number;
  /** The description of the work, which only the workers interpret. */
  payload: string;
  /** The tasks. */
  tasks: DeclaredTask[];
}

/** The body of the record that cancels jobs. */
export interface JobCancelledBody {
  /** The ids of the jobs. */
  jobIds: string[];
}

/** The start of one attempt. */
export interface AttemptStart {
  /** The index of the task in its job. */
  task: number;
  /** The number of the attempt: one more than that of the previous attempt. */
  attempt: number;
  /** The name of the worker. */
  worker: string;
  /** The incarnation of the worker. */
  incarnation: string;
  /** The resources reserved for it. */
  reserved: TaskSize;
}

/** The body of the record that starts attempts of a job's tasks: all of them or none. */
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
  /** The index of the task in its job. */
  task: number;
  /** The number of the attempt. */
  attempt: number;
  /** How it ended. */
  result: AttemptResult;
  /** The checkpoint from which the next attempt resumes. */
  checkpoint?: string | undefined;
  /** The resource usage, if the worker reported it. */
  used?: TaskUsage | undefined;
}

/** The body of the record that ends attempts. */
export interface AttemptEndedBody {
  /** The ends. */
  ends: AttemptEnd[];
}

/** The body of the records that set a worker aside and return it. */
export interface WorkerRecordBody {
  /** The name of the worker. */
  worker: string;
}
