/** Accepted jobs with their occurrences, steps and tasks. */

import {
  formatTaskName,
  type JobSpecification,
  type StepSpecification,
} from "./job_specification.ts";
import { OccurrenceSet } from "./occurrence_set.ts";
import type { Run } from "./run.ts";

/** The state of a job as callers see it. */
export const JobState = {
  /** No task has started. */
  Queued: "queued",
  /** A task has started. */
  Running: "running",
  /** All tasks are completed. */
  Completed: "completed",
  /** A task reached its queue's limit of failed runs. */
  Failed: "failed",
  /** The caller cancelled it. */
  Cancelled: "cancelled",
} as const;
export type JobState = typeof JobState[keyof typeof JobState];

/** The scheduling state of a task. */
export const TaskState = {
  /** It waits for its step to be scheduled. */
  Waiting: "waiting",
  /** It is assigned to an executor and has a run. */
  Assigned: "assigned",
  /** An earlier owner may have started it on an executor that this owner has not polled yet. */
  Unknown: "unknown",
  /** It is completed. */
  Done: "done",
} as const;
export type TaskState = typeof TaskState[keyof typeof TaskState];

/** A task of a step. */
export interface JobTask {
  /** The formatted task name. */
  readonly name: string;
  /** The step that it belongs to. */
  readonly step: JobStep;
  /** The index in its step. */
  readonly index: number;
  /** The scheduling state. */
  state: TaskState;
  /** The numbers of the failed runs, so that a run end that is reported repeatedly counts once. */
  readonly failedRuns: Set<number>;
  /** The latest checkpoint, or an empty string. */
  checkpoint: string;
  /** The current run, while the task is assigned. */
  run?: Run | undefined;
  /** For long-running tasks: since when it has not been running, on the monotonic clock. */
  unavailableSince: number;
  /** How often it was stopped because it made no progress. */
  stalls: number;
  /** The id of the executor on which it last failed. */
  lastFailedOn?: string | undefined;
}

/** A step of one occurrence of a job. */
export interface JobStep {
  /** The job. */
  readonly job: Job;
  /** The number of the occurrence. */
  readonly occurrence: number;
  /** The number of the step in the job. */
  readonly number: number;
  /** The specification, as submitted. */
  readonly specification: StepSpecification;
  /** The tasks. */
  readonly tasks: JobTask[];
  /** The number of completed tasks. */
  completedTaskCount: number;
  /** When it became ready to start, on the monotonic clock. */
  readyAt: number;
  /** The number of runs by executor id. */
  readonly runsByExecutor: Map<string, number>;
}

/** Options of a `Job`. */
export interface JobOptions {
  /** The id that the caller chose. */
  id: string;
  /** The name of the queue. */
  queue: string;
  /** The name of the customer; empty on a public queue without a key. */
  customer: string;
  /** The specification, as submitted. */
  specification: JobSpecification;
  /** When it was accepted, in milliseconds since 1970. */
  acceptedAt: number;
}

/** An accepted job. */
export class Job {
  /** The id that the caller chose. */
  readonly id: string;
  /** The name of the queue. */
  readonly queue: string;
  /** The name of the customer; empty on a public queue without a key. */
  readonly customer: string;
  /** The specification, as submitted. */
  readonly specification: JobSpecification;
  /** When it was accepted, in milliseconds since 1970. */
  readonly acceptedAt: number;
  /** The steps of the occurrences that are due but not completed, by occurrence. */
  readonly occurrences = new Map<number, JobStep[]>();
  /** The completed occurrences. */
  readonly doneOccurrences = OccurrenceSet.create();
  /** The outcome, once it is decided; callers do not see it before it is stored. */
  outcome: JobState | undefined;
  /** Whether the outcome is stored. */
  isOutcomeStored = false;
  /** When the outcome was decided, in milliseconds since 1970. */
  endedAt = 0;
  /** When this owner learned the outcome, on the monotonic clock. */
  outcomeKnownSince = 0;
  /** Whether an executor is known to have started a task. */
  hasStarted = false;
  /** When this owner last ordered the start of a task, in milliseconds since 1970; 0 if never. */
  lastStartAt = 0;
  /** Whether its customer exceeded its share at the time of submission. */
  exceedsFairShare = false;

  private constructor(options: JobOptions) {
    this.id = options.id;
    this.queue = options.queue;
    this.customer = options.customer;
    this.specification = options.specification;
    this.acceptedAt = options.acceptedAt;
  }

  /** Creates a job without occurrences. */
  static create(options: JobOptions): Job {
    return new Job(options);
  }

  /** Gets the state that callers see. */
  getVisibleState(): JobState {
    if (this.outcome !== undefined && this.isOutcomeStored) return this.outcome;
    return this.hasStarted ? JobState.Running : JobState.Queued;
  }

  /** Gets the total number of occurrences. */
  getOccurrenceCount(): number {
    return Math.max(1, this.specification.repeats);
  }

  /** Gets when an occurrence is due, in milliseconds since 1970; 0 means immediately. */
  getDueAt(occurrence: number): number {
    if (this.specification.repeats === 0) return 0;
    return this.specification.firstAt + occurrence * this.specification.intervalMilliseconds;
  }

  /** Gets whether any step runs until the job is cancelled. */
  isLasting(): boolean {
    return this.specification.steps.some((step) => step.isLasting);
  }

  /** Adds an occurrence with its tasks in a given state. */
  addOccurrence(occurrence: number, state: TaskState): JobStep[] {
    const steps = this.specification.steps.map((specification, number) => {
      const step: JobStep = {
        job: this,
        occurrence,
        number,
        specification,
        tasks: [],
        completedTaskCount: 0,
        readyAt: 0,
        runsByExecutor: new Map(),
      };
      for (let index = 0; index < specification.count; index += 1) {
        step.tasks.push({
          name: formatTaskName({ jobId: this.id, occurrence, step: number, index }),
          step,
          index,
          state,
          failedRuns: new Set(),
          stalls: 0,
          checkpoint: "",
          unavailableSince: 0,
        });
      }
      return step;
    });
    this.occurrences.set(occurrence, steps);
    return steps;
  }

  /** Gets whether the job has had another occurrence for longer that is not completed. */
  isFurther(occurrence: number): boolean {
    const [first = occurrence] = this.occurrences.keys();
    return occurrence !== first;
  }

  /** Gets whether all steps that a step depends on are completed. */
  isReady(step: JobStep): boolean {
    const steps = this.occurrences.get(step.occurrence) ?? [];
    return step.specification.after.every((number) => {
      const earlier = steps[number];
      return earlier !== undefined && isStepCompleted(earlier);
    });
  }

  /** Gets a task by its occurrence, step and index; undefined if the occurrence is completed. */
  getTask(occurrence: number, step: number, index: number): JobTask | undefined {
    return this.occurrences.get(occurrence)?.[step]?.tasks[index];
  }

  /** Gets all tasks of the occurrences that are not completed. */
  *getTasks(): Generator<JobTask> {
    for (const steps of this.occurrences.values()) {
      for (const step of steps) yield* step.tasks;
    }
  }
}

/** Gets whether all tasks of a step are completed. */
export function isStepCompleted(step: JobStep): boolean {
  return step.completedTaskCount === step.tasks.length;
}
