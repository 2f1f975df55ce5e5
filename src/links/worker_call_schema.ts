/** The JSON schemas of requests to workers and of their responses. */

import { z } from "zod";
import { taskSizeSchema } from "../jobs/task_size.ts";
import { AttemptState, type WorkerAnswer, type WorkerCall } from "../jobs/worker_protocol.ts";

const attemptIdSchema = z.object({ taskId: z.string().min(1), attempt: z.int().min(1) });

/** The schema of requests. */
export const workerCallSchema: z.ZodType<WorkerCall> = z.discriminatedUnion("kind", [
  attemptIdSchema.extend({
    kind: z.literal("start"),
    incarnation: z.string().min(1),
    leaseMilliseconds: z.number().positive(),
    reserved: taskSizeSchema,
    payload: z.string(),
    checkpoint: z.string().optional(),
  }),
  z.object({
    kind: z.literal("renew"),
    attempts: z.array(attemptIdSchema),
    leaseMilliseconds: z.number().positive(),
  }),
  z.object({ kind: z.literal("status") }),
  attemptIdSchema.extend({ kind: z.literal("checkpoint") }),
  attemptIdSchema.extend({ kind: z.literal("throttle"), cores: z.number().min(0) }),
  attemptIdSchema.extend({ kind: z.literal("fence") }),
  attemptIdSchema.extend({ kind: z.literal("stop"), withCheckpoint: z.boolean() }),
]);

const usageSchema = z.object({
  cores: z.number().min(0),
  memoryGigabytes: z.number().min(0),
  runMilliseconds: z.number().min(0),
  measuredAgoMilliseconds: z.number().min(0),
});

/** The schema of responses. */
export const workerAnswerSchema: z.ZodType<WorkerAnswer> = z.object({
  incarnation: z.string().min(1),
  reports: z.array(attemptIdSchema.extend({
    state: z.enum(AttemptState),
    usage: usageSchema.optional(),
    checkpoint: z.string().optional(),
    unsavedMilliseconds: z.number().min(0).optional(),
  })),
});
