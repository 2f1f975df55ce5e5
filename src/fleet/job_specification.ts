/** What a caller submits: a job of steps, each of equal tasks. */

import type { Resources } from "./resources.ts";

/** One step: tasks that start when all tasks of earlier steps are done. */
export interface StepSpecification {
  /** The number of tasks. */
  count: number;
  /** What each task takes. */
  demand: Resources;
  /** The caller's rough estimate of a task's duration, in milliseconds. */
  estimatedMilliseconds: number;
  /** The numbers of the steps that must be done first. */
  after: readonly number[];
  /** Whether the tasks work only all together. */
  isGang: boolean;
  /** Whether the tasks are slow on more than one rack. */
  wantsSameRack: boolean;
  /** A label that the executor must have. */
  label?: string | undefined;
  /** The rack where the data is. */
  rack?: string | undefined;
  /** The most tasks of an occurrence of the step on one executor; 0 means no limit. */
  mostPerExecutor: number;
  /** Whether copies of a task may run at the same time. */
  isSpeculative: boolean;
  /** Whether the tasks run until the job is cancelled. */
  isLasting: boolean;
  /** What the tasks run; tasks of one image behave alike. */
  image?: string | undefined;
  /** The bound of the tail of a serving task's response times, in milliseconds; 0 means none. */
  tailMilliseconds: number;
  /** Whether the tasks only take the processor time that others leave. */
  isFiller: boolean;
  /** The most lasting tasks that planned actions may have away at once; 0 means no limit. */
  mostAway: number;
}

/** A job as its caller submitted it. */
export interface JobSpecification {
  /** What the tasks are told to do. */
  text: string;
  /** The steps. */
  steps: readonly StepSpecification[];
  /** The number of occurrences; 0 for a job that runs once, at once. */
  repeats: number;
  /** The time of the first occurrence, in milliseconds since 1970. */
  firstAt: number;
  /** The time between occurrences, in milliseconds. */
  intervalMilliseconds: number;
}

/** The name of a task: its job, occurrence, step and index. */
export interface TaskName {
  /** The job's id. */
  jobId: string;
  /** The occurrence, from 0. */
  occurrence: number;
  /** The step, from 0. */
  step: number;
  /** The index in the step, from 0. */
  index: number;
}

/** Gets the text of a task's name. */
export function formatTaskName(name: TaskName): string {
  return `${name.jobId}.${name.occurrence}.${name.step}.${name.index}`;
}

/** Gets the parts of a task's name, or undefined if the text is none. */
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
