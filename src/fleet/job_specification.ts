/** The specification of a job: steps of identical tasks. */

import type { Resources } from "./resources.ts";

/** A step: identical tasks that start once all tasks of the steps it depends on are completed. */
export interface StepSpecification {
  /** The number of tasks. */
  count: number;
  /** The resources that each task needs. */
  demand: Resources;
  /** The caller's rough estimate of a task's duration, in milliseconds. */
  estimatedMilliseconds: number;
  /** The numbers of the steps that it depends on. */
  after: readonly number[];
  /** Whether the tasks form a gang, which makes progress only while all of them run. */
  isGang: boolean;
  /** Whether the tasks should share a rack because they are slow across racks. */
  wantsSameRack: boolean;
  /** The label that the executor must have. */
  label?: string | undefined;
  /** The rack that holds the input data. */
  rack?: string | undefined;
  /** The maximum number of tasks on one executor, per occurrence; 0 means no limit. */
  mostPerExecutor: number;
  /** Whether copies of a task may run concurrently. */
  isSpeculative: boolean;
  /** Whether the tasks are long-running: they run until the job is cancelled. */
  isLasting: boolean;
  /** The image that the tasks run; tasks with the same image behave alike. */
  image?: string | undefined;
  /** For serving tasks: the limit of the tail latency, in milliseconds; 0 for other tasks. */
  tailMilliseconds: number;
  /** Whether the tasks are best-effort (fillers): they use only CPU time that other tasks leave idle. */
  isFiller: boolean;
  /** The maximum number of long-running tasks that planned actions may keep down; 0 means no limit. */
  mostAway: number;
}

/** A job, as submitted by its caller. */
export interface JobSpecification {
  /** The instructions for the tasks. */
  text: string;
  /** The steps. */
  steps: readonly StepSpecification[];
  /** The number of occurrences; 0 for a job that runs once, immediately. */
  repeats: number;
  /** The time of the first occurrence, in milliseconds since 1970. */
  firstAt: number;
  /** The interval between occurrences, in milliseconds. */
  intervalMilliseconds: number;
}

/** A task name, consisting of job, occurrence, step and index. */
export interface TaskName {
  /** The job's id. */
  jobId: string;
  /** The number of the occurrence, from 0. */
  occurrence: number;
  /** The number of the step, from 0. */
  step: number;
  /** The index in the step, from 0. */
  index: number;
}

/** Formats a task name as text. */
export function formatTaskName(name: TaskName): string {
  return `${name.jobId}.${name.occurrence}.${name.step}.${name.index}`;
}

/** Parses a task name; undefined if the text is not a task name. */
export function parseTaskName(text: string): TaskName | undefined {
  const match = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/.exec(text);
  if (match === null) return undefined;
  return {
    jobId: match[1]!,
    occurrence: Number(match[2]),
    step: Number(match[3]),
    index: Number(match[4]),
  };
}
