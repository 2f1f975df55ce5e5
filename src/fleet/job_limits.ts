/** The limits on the size of a job, which follow from what it has to be stored and sent in. */

import type { JobSpecification } from "./job_specification.ts";

/** The part of a store call or a message that a job may fill. */
const USABLE_FRACTION = 0.9;
/**
 * The bytes that a task may take in the record of its job's progress: its numbers, a few failed runs
 * and a checkpoint.
 */
const TASK_RECORD_BYTES = 64;

/** Options of `JobLimits`. */
export interface JobLimitsOptions {
  /** The maximum size of all records of a call to the store, in bytes. */
  storeCallBytes: number;
  /** The maximum size of a message between entry hosts, in bytes. */
  messageBytes: number;
}

/** Decides whether a job can be stored and passed on, with all progress that it may make. */
export class JobLimits {
  /** The maximum size of a stored value, in bytes. */
  readonly maximumValueBytes: number;
  /** The maximum number of tasks that a job may have at a time. */
  readonly maximumTasks: number;
  readonly #maximumSpecificationBytes: number;

  private constructor({ storeCallBytes, messageBytes }: JobLimitsOptions) {
    this.maximumValueBytes = Math.floor(storeCallBytes * USABLE_FRACTION);
    this.maximumTasks = Math.floor(this.maximumValueBytes / TASK_RECORD_BYTES);
    this.#maximumSpecificationBytes = Math.floor(
      Math.min(storeCallBytes, messageBytes) * USABLE_FRACTION,
    );
  }

  /** Creates the limits that follow from those of the store and of messages. */
  static create(options: JobLimitsOptions): JobLimits {
    return new JobLimits(options);
  }

  /** Gets whether a job may have a number of occurrences at a time; one is always allowed. */
  canHold(specification: JobSpecification, occurrences: number): boolean {
    return occurrences <= 1 || occurrences * getTaskCount(specification) <= this.maximumTasks;
  }

  /** Gets the reason to reject a job as too large, or undefined if it is not. */
  getRefusal(specification: JobSpecification): string | undefined {
    const tasks = getTaskCount(specification);
    if (tasks > this.maximumTasks) {
      return `the job has ${tasks} tasks, more than the limit of ${this.maximumTasks}`;
    }
    const bytes = Buffer.byteLength(JSON.stringify(specification));
    if (bytes <= this.#maximumSpecificationBytes) return undefined;
    return `the job has ${bytes} bytes, more than the limit of ${this.#maximumSpecificationBytes}`;
  }
}

/** Gets the number of tasks of one occurrence of a job. */
export function getTaskCount(specification: JobSpecification): number {
  return specification.steps.reduce((sum, { count }) => sum + count, 0);
}
