/** The rows of jobs, their tasks and the load of workers in the fleet. */

import type { TaskSize } from "./task_size.ts";

/** The states of a task of a job. */
export const JobTaskState = {
  Waiting: "waiting",
  Running: "running",
  Completed: "completed",
  Failed: "failed",
  Cancelled: "cancelled",
  /** It may have run, and must not run again. */
  Unknown: "unknown",
} as const;

export type JobTaskState = (typeof JobTaskState)[keyof typeof JobTaskState];

/** The states of a job. */
export const JobState = {
  Active: "active",
  Completed: "completed",
  Failed: "failed",
  Cancelled: "cancelled",
  /** One of its non-idempotent tasks may have run, and must not run again. */
  Unknown: "unknown",
} as const;

export type JobState = (typeof JobState)[keyof typeof JobState];

/** A task's resource usage, as reported by its worker. */
export interface TaskUsage {
  /** The 95th percentile of the used cores. */
  cores: number;
  /** The peak memory usage, in gigabytes. */
  memoryGigabytes: number;
  /** How long the task has run. */
  runMilliseconds: number;
}

/** The running attempt of a task. */
export interface RunningAttempt {
  /** The name of the worker. */
  worker: string;
  /** The incarnation of the worker; another incarnation refuses the attempt. */
  incarnation: string;
  /** The resources reserved on the worker. */
  reserved: TaskSize;
  /** The offset of the record that started it. */
  startedAt: number;
}

/** A task of a job; a row of data, not a concurrent `Task` of this process. */
export interface JobTaskData {
  /** The resources that the caller declared. */
  size: TaskSize;
  /** The run time that the caller declared. */
  runMilliseconds: number;
  /** The state. */
  state: JobTaskState;
  /** The number of the latest attempt; 0 before the first. */
  attempt: number;
  /** The running attempt, if any. */
  running?: RunningAttempt;
  /** The checkpoint from which the next attempt resumes. */
  checkpoint?: string;
  /** The workers on which attempts failed, one entry for each failure. */
  failedOn: readonly string[];
  /** The number of attempts that ended with the loss of the worker or the expiry of the lease. */
  losses: number;
  /** The usage of the last ended attempt that reported any. */
  used?: TaskUsage;
}

/** The row of a job in the fleet. */
export interface JobData {
  /** The id, made of the team's name and the id that the caller chose. */
  jobId: string;
  /** The queue; the service and the pool of workers have the same name. */
  queue: string;
  /** The team that submitted it. */
  team: string;
  /** Whether it takes priority over jobs that are not urgent. */
  isUrgent: boolean;
  /** Whether all its tasks must start together. */
  isGang: boolean;
  /** Whether a task may run more than once. */
  isIdempotent: boolean;
  /** The maximum number of its tasks on the workers of one rack; 0 for no limit. */
  mostPerRack: number;
  /** The description of the work, which only the workers interpret. */
  payload: string;
  /** The offset of the record that accepted it. */
  acceptedAt: number;
  /** Why no more of its tasks are started; absent unless the job is stopping or was stopped. */
  stopReason?: string;
  /** Whether its team cancelled it. */
  isCancelled: boolean;
  /** The state. */
  state: JobState;
  /** The offset of the record that ended it; 0 while active. */
  endedAt: number;
  /** The tasks. */
  tasks: readonly JobTaskData[];
}

/** The row of a worker's load in the fleet. */
export interface WorkerLoadData {
  /** The name of the worker. */
  worker: string;
  /** The resources reserved for its running tasks. */
  reserved: TaskSize;
  /** The number of its running tasks. */
  taskCount: number;
  /**
   * The jobs that failed on it since its last completed task, except those that failed on
   * `FAILING_WORKER_LIMIT` workers.
   */
  failedJobs: readonly string[];
  /** Whether it is set aside after failures, and gets no tasks. */
  isSetAside: boolean;
}

/** Gets the id of a job from its team's name and the id that the caller chose. */
export function formatJobId(team: string, callerJobId: string): string {
  return `${team}:${callerJobId}`;
}

/** Gets the id of a task in the worker protocol. */
export function formatTaskId(jobId: string, taskIndex: number): string {
  return `${jobId}/${taskIndex}`;
}
