/** Estimates the memory that parts of a job take on the heap. */

import { getTaskCount } from "../fleet/job_limits.ts";
import type { JobSpecification, StepSpecification } from "../fleet/job_specification.ts";

/** A job without its text, steps and occurrences, in bytes. */
const JOB_BYTES = 1_000;
/** A step as specified, without its texts and lists, in bytes. */
const STEP_SPECIFICATION_BYTES = 350;
/** A text without its characters, in bytes. */
const TEXT_BYTES = 24;
/** An element of a list of numbers, with the capacity that a list has in reserve, in bytes. */
const NUMBER_BYTES = 16;
/** An occurrence without its steps, in bytes. */
const OCCURRENCE_BYTES = 150;
/** A step of an occurrence without its tasks, in bytes. */
const STEP_BYTES = 700;
/** A task with its run, in bytes: all tasks run at once if they need little. */
const TASK_BYTES = 850;

/** Estimates a job without its occurrences, in bytes. */
export function estimateSpecificationBytes({ text, steps }: JobSpecification): number {
  let bytes = JOB_BYTES + estimateTextBytes(text);
  for (const step of steps) bytes += estimateStepSpecificationBytes(step);
  return bytes;
}

/** Estimates an occurrence of a job whose tasks all run, in bytes. */
export function estimateOccurrenceBytes(specification: JobSpecification): number {
  return OCCURRENCE_BYTES + specification.steps.length * STEP_BYTES +
    getTaskCount(specification) * TASK_BYTES;
}

function estimateStepSpecificationBytes({ after, label, rack, image }: StepSpecification): number {
  return STEP_SPECIFICATION_BYTES + after.length * NUMBER_BYTES + estimateTextBytes(label) +
    estimateTextBytes(rack) + estimateTextBytes(image);
}

/** Estimates a text: its characters take two bytes each if one of them needs more than one. */
function estimateTextBytes(text: string | undefined): number {
  if (text === undefined) return 0;
  const isNarrow = Buffer.byteLength(text) === text.length;
  return TEXT_BYTES + text.length * (isNarrow ? 1 : 2);
}
