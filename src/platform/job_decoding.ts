/** Decodes job submissions from the JSON of the platform's jobs API. */

import { z } from "zod";
import type { JobSpecification } from "../fleet/job_specification.ts";
import { jobSpecificationSchema } from "../fleet/job_specification_schema.ts";

/** The maximum size of a job's `taskSpec`, in bytes. */
const MAXIMUM_TASK_SPEC_BYTES = 4_000;

const stepSchema = z.object({
  count: z.number().int().min(1),
  cpu: z.number().min(0).default(0),
  memMb: z.number().min(0).default(0),
  gpu: z.number().min(0).default(0),
  estRuntimeMs: z.number().min(0).default(0),
  after: z.array(z.number().int().min(0)).default([]),
  gang: z.boolean().default(false),
  sameRack: z.boolean().default(false),
  // A single label that the executor must have, despite the plural.
  constraints: z.union([z.string(), z.array(z.string())]).optional(),
  affinity: z.string().optional(),
  antiAffinity: z.number().default(0),
  speculative: z.boolean().default(false),
  longRunning: z.boolean().default(false),
  image: z.string().optional(),
  targetMs: z.number().default(0),
  fills: z.boolean().default(false),
  mayMiss: z.number().default(0),
});

const jobSchema = z.object({
  taskSpec: z.string().refine((text) => Buffer.byteLength(text) <= MAXIMUM_TASK_SPEC_BYTES),
  steps: z.array(stepSchema).min(1),
  repeats: z.number().int().min(0).default(0),
  firstRunMs: z.number().default(0),
  intervalMs: z.number().default(0),
  longRunning: z.boolean().default(false),
}).refine(
  ({ steps }) => steps.every((step, index) => step.after.every((earlier) => earlier < index)),
  {
    message: "`after` may contain only the numbers of earlier steps",
  },
);

/** Decodes a job, or gets the reason why it is invalid. */
export function decodeJob(value: unknown): JobSpecification | string {
  const parsed = jobSchema.safeParse(value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return `${issue?.path.join(".")}: ${issue?.message}`;
  }
  const specification = createSpecification(parsed.data);
  const checked = jobSpecificationSchema.safeParse(specification);
  if (checked.success) return specification;
  const issue = checked.error.issues[0];
  return `${issue?.path.join(".")}: ${issue?.message}`;
}

function createSpecification(data: z.output<typeof jobSchema>): JobSpecification {
  return {
    text: data.taskSpec,
    repeats: data.repeats,
    firstAt: data.firstRunMs,
    intervalMilliseconds: data.intervalMs,
    steps: data.steps.map((step) => ({
      count: step.count,
      demand: { cpu: step.cpu, memory: step.memMb, accelerators: step.gpu },
      estimatedMilliseconds: step.estRuntimeMs,
      after: step.after,
      isGang: step.gang,
      wantsSameRack: step.sameRack,
      label: Array.isArray(step.constraints) ? step.constraints[0] : step.constraints || undefined,
      rack: step.affinity || undefined,
      mostPerExecutor: step.antiAffinity,
      isSpeculative: step.speculative,
      isLasting: step.longRunning || data.longRunning,
      image: step.image,
      tailMilliseconds: step.targetMs,
      isFiller: step.fills,
      mostAway: step.mayMiss,
    })),
  };
}
