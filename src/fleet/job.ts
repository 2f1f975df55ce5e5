/** A job that was accepted, with the tasks of its occurrences. */

import {
  formatTaskName,
  type JobSpecification,
  type StepSpecification,
} from "./job_specification.ts";
import type { Run } from "./run.ts";

/** What callers are told of a job. */
export const JobState = {
  /** No task has started. */
  Queued: "queued",
  /** A task has started. */
  Running: "running",
  /** All tasks are done. */
  Completed: "completed",
  /** A task has failed as often as its queue allows. */
  Failed: "failed",
  /** Its caller cancelled it. */
  Cancelled: "cancelled",
} as const;
export type JobState = typeof JobState[keyof typeof JobState];

/** What becomes of a task next. */
export const TaskState = {
  /** It may start as soon as its step's turn has come. */
  Waiting: "waiting",
  /** It has a run. */
  Assigned: "assigned",
  /** An earlier owner may have started it where this one has not looked yet. */
  Unknown: "unknown",
  /** It is done. */
  Done: "done",
} as const;
export type TaskState = typeof TaskState[keyof typeof TaskState];

/** One task. */
export interface JobTask {
  /** The name, as text. */
  readonly name: string;
  /** The step that it belongs to. */
  readonly step: JobStep;
  /** The index in its step. */
  readonly index: number;
  /** What becomes of it next. */
  state: TaskState;
  /** The numbers of the runs that failed, so that an end that is listed again counts once. */
  readonly failedRuns: Set<number>;
  /** The newest checkpoint, or empty. */
  checkpoint: string;
  /** The run, while the task is assigned. */
  run?: Run | undefined;
  /** When it last stopped being at work, on the steady clock; for lasting tasks. */
  awaySince: number;
  /** How often it was stopped because it stood still. */
  stalls: number;
  /** The executor on which it last failed. */
  lastFailedOn?: string | undefined;
}

/** One step of one occurrence. */
export interface JobStep {
  /** The job. */
  readonly job: Job;
  /** The occurrence. */
  readonly occurrence: number;
  /** The step's number. */
  readonly number: number;
  /** What the caller asked for. */
  readonly specification: StepSpecification;
  /** The tasks. */
  readonly tasks: JobTask[];
  /** The tasks that are done. */
  doneCount: number;
  /** When it became ready to start, on the steady clock. */
  readyAt: number;
  /** Runs by executor. */
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
  /** What the caller asked for. */
  specification: JobSpecification;
  /** When it was accepted, in milliseconds since 1970. */
  acceptedAt: number;
}

/** A job that was accepted. */
export class Job {
  /** The id that the caller chose. */
  readonly id: string;
  /** The name of the queue. */
  readonly queue: string;
  /** The name of the customer. */
  readonly customer: string;
  /** What the caller asked for. */
  readonly specification: JobSpecification;
  /** When it was accepted, in milliseconds since 1970. */
  readonly acceptedAt: number;
  /** The steps of the occurrences that are due and not done, by occurrence. */
  readonly occurrences = new Map<number, JobStep[]>();
  /** The occurrences of which every task is done. */
  readonly doneOccurrences = new Set<number>();
  /** The outcome, once there is one; it is shown when it is stored. */
  outcome: JobState | undefined;
  /** Whether the outcome is stored. */
  isOutcomeStored = false;
  /** When the outcome was reached, in milliseconds since 1970. */
  endedAt = 0;
  /** Since when this owner knows the outcome, on the steady clock. */
  overSince = 0;
  /** Whether an executor is known to have begun a task. */
  hasStarted = false;
  /** Whether its customer handed it in beyond its share. */
  isBeyondShare = false;

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

  /** Gets what callers are told. */
  getShownState(): JobState {
    if (this.outcome !== undefined && this.isOutcomeStored) return this.outcome;
    return this.hasStarted ? JobState.Running : JobState.Queued;
  }

  /** Gets the number of occurrences that the job has in all. */
  getOccurrenceCount(): number {
    return Math.max(1, this.specification.repeats);
  }

  /** Gets when an occurrence is due, in milliseconds since 1970; 0 means at once. */
  getDueAt(occurrence: number): number {
    if (this.specification.repeats === 0) return 0;
    return this.specification.firstAt + occurrence * this.specification.intervalMilliseconds;
  }

  /** Gets whether a step runs until the job is cancelled. */
  isLasting(): boolean {
    return this.specification.steps.some((step) => step.isLasting);
  }

  /** Adds the tasks of an occurrence, all in one state. */
  addOccurrence(occurrence: number, state: TaskState): JobStep[] {
    const steps = this.specification.steps.map((specification, number) => {
      const step: JobStep = {
        job: this,
        occurrence,
        number,
        specification,
        tasks: [],
        doneCount: 0,
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
          awaySince: 0,
        });
      }
      return step;
    });
    this.occurrences.set(occurrence, steps);
    return steps;
  }

  /** Gets whether all steps that a step comes after are done. */
  isReady(step: JobStep): boolean {
    const steps = this.occurrences.get(step.occurrence) ?? [];
    return step.specification.after.every((number) => {
      const earlier = steps[number];
      return earlier !== undefined && isStepDone(earlier);
    });
  }

  /** Gets the task of a place, if the occurrence is not done. */
  getTask(occurrence: number, step: number, index: number): JobTask | undefined {
    return this.occurrences.get(occurrence)?.[step]?.tasks[index];
  }

  /** Gets every task of the occurrences that are not done. */
  *getTasks(): Generator<JobTask> {
    for (const steps of this.occurrences.values()) {
      for (const step of steps) yield* step.tasks;
    }
  }
}

/** Gets whether every task of a step is done. */
export function isStepDone(step: JobStep): boolean {
  return step.doneCount === step.tasks.length;
}
