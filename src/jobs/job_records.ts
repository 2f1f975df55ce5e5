/** The records by which jobs are accepted, cancelled, started and ended, and workers are set aside. */

import { z } from "zod";
import { createRecordRule, type RecordRule } from "../records/record_rule.ts";
import { endAttempts } from "./attempt_end_fold.ts";
import { startAttempts } from "./attempt_start_fold.ts";
import { acceptJob, cancelJobs } from "./job_fold.ts";
import type { TaskUsage } from "./job_data.ts";
import {
  type AttemptEnd,
  type AttemptEndedBody,
  AttemptResult,
  type AttemptStart,
  type AttemptStartedBody,
  type DeclaredTask,
  type JobAcceptedBody,
  type JobCancelledBody,
  JobRecordKind,
  MAXIMUM_ENTRIES_PER_RECORD,
  MAXIMUM_PAYLOAD_CHARACTERS,
  MAXIMUM_TASKS_PER_JOB,
  type WorkerRecordBody,
} from "./job_record_data.ts";
import { taskSizeSchema } from "./task_size.ts";
import { returnWorker, setWorkerAside } from "./worker_fold.ts";

/** The longest run time that a task can declare: 30 days. */
const LONGEST_DECLARED_RUN_MILLISECONDS = 30 * 24 * 3_600_000;

const nameSchema = z.string().min(1).max(256);

const declaredTaskSchema: z.ZodType<DeclaredTask> = z.object({
  size: taskSizeSchema,
  runMilliseconds: z.int().min(1).max(LONGEST_DECLARED_RUN_MILLISECONDS),
});

/** The shape of what a caller says of a job. */
export const jobDescriptionSchema = z.object({
  isUrgent: z.boolean().default(false),
  isGang: z.boolean().default(false),
  isIdempotent: z.boolean().default(false),
  mostPerRack: z.int().min(0).max(MAXIMUM_TASKS_PER_JOB).default(0),
  payload: z.string().max(MAXIMUM_PAYLOAD_CHARACTERS).default(""),
  tasks: z.array(declaredTaskSchema).min(1).max(MAXIMUM_TASKS_PER_JOB),
});

const jobAcceptedSchema = jobDescriptionSchema.extend({
  jobId: nameSchema,
  queue: nameSchema,
  team: nameSchema,
  keyId: nameSchema.optional(),
});

const attemptStartSchema: z.ZodType<AttemptStart> = z.object({
  task: z.int().min(0),
  attempt: z.int().min(1),
  worker: nameSchema,
  incarnation: nameSchema,
  reserved: taskSizeSchema,
});

const usageSchema: z.ZodType<TaskUsage> = z.object({
  cores: z.number().min(0),
  memoryGigabytes: z.number().min(0),
  runMilliseconds: z.number().min(0),
});

const attemptEndSchema: z.ZodType<AttemptEnd> = z.object({
  jobId: nameSchema,
  task: z.int().min(0),
  attempt: z.int().min(1),
  result: z.enum(AttemptResult),
  checkpoint: z.string().max(1_024).optional(),
  used: usageSchema.optional(),
});

const workerSchema: z.ZodType<WorkerRecordBody> = z.object({ worker: nameSchema });

/** The rules of the records about jobs. */
export const JOB_RECORD_RULES: readonly RecordRule[] = [
  createRecordRule<JobAcceptedBody>({
    kind: JobRecordKind.Accepted,
    version: 1,
    schema: jobAcceptedSchema,
    apply: acceptJob,
  }),
  createRecordRule<JobCancelledBody>({
    kind: JobRecordKind.Cancelled,
    version: 1,
    schema: z.object({ jobIds: z.array(nameSchema).min(1).max(MAXIMUM_ENTRIES_PER_RECORD) }),
    isRestriction: true,
    apply: cancelJobs,
  }),
  createRecordRule<AttemptStartedBody>({
    kind: JobRecordKind.AttemptStarted,
    version: 1,
    schema: z.object({
      jobId: nameSchema,
      starts: z.array(attemptStartSchema).min(1).max(MAXIMUM_TASKS_PER_JOB),
    }),
    apply: startAttempts,
  }),
  createRecordRule<AttemptEndedBody>({
    kind: JobRecordKind.AttemptEnded,
    version: 1,
    schema: z.object({ ends: z.array(attemptEndSchema).min(1).max(MAXIMUM_ENTRIES_PER_RECORD) }),
    apply: endAttempts,
  }),
  createRecordRule<WorkerRecordBody>({
    kind: JobRecordKind.WorkerSetAside,
    version: 1,
    schema: workerSchema,
    isRestriction: true,
    apply: setWorkerAside,
  }),
  createRecordRule<WorkerRecordBody>({
    kind: JobRecordKind.WorkerReturned,
    version: 1,
    schema: workerSchema,
    apply: returnWorker,
  }),
];
