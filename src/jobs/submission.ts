/** Decides whether a submitted job may be accepted, and which jobs a caller may access. */

import { z } from "zod";
import type { Fleet } from "../records/fleet.ts";
import { createNotRunRefusal, type Refusal, RefusalReason } from "../requests/refusal.ts";
import { decideAccess, findTeamOfKey, OPEN_TEAM } from "../teams/access.ts";
import { parsePresentedKey } from "../teams/key_secret.ts";
import type { Job } from "./job.ts";
import { formatJobId, type JobData } from "./job_data.ts";
import type { DeclaredTask, JobAcceptedBody } from "./job_record_data.ts";
import { jobDescriptionSchema } from "./job_records.ts";
import { chooseBestFit, placeTogether, type TaskToPlace } from "./placement.ts";
import { toReservation } from "./task_size.ts";
import { WorkerIndex } from "./worker_index.ts";

/** The schema of a submission: a job description with the id that the caller chose. */
const submissionSchema = jobDescriptionSchema.extend({
  id: z.string().regex(/^[A-Za-z0-9._-]{1,64}$/),
}).strict();

/** A job that a caller submits. */
export interface Submission {
  /** The name of the queue. */
  queue: string;
  /** The key that the caller presented, if any. */
  presentedKey: string | undefined;
  /** The caller's description of the job, not yet validated. */
  description: unknown;
}

/** The decision on a submission; `known` if the same job was submitted before. */
export type SubmissionDecision =
  | { outcome: "acceptable"; body: JobAcceptedBody }
  | { outcome: "known"; jobId: string }
  | { outcome: "refused"; refusal: Refusal };

/** Decides whether a job may be accepted; the fold validates it again at the record's offset. */
export function decideSubmission(fleet: Fleet, submission: Submission): SubmissionDecision {
  const { queue, presentedKey } = submission;
  const access = decideAccess({ fleet, service: queue, presentedKey });
  if (access.outcome === "refused") return access;
  const parsed = submissionSchema.safeParse(submission.description);
  if (!parsed.success) {
    return createRefused(
      RefusalReason.BadRequest,
      z.prettifyError(parsed.error).replaceAll("\n", " "),
    );
  }
  const { id, ...description } = parsed.data;
  const { team } = access.access.rights;
  const keyId = presentedKey === undefined ? undefined : parsePresentedKey(presentedKey)?.keyId;
  const jobId = formatJobId(team, id);
  const body = { ...description, jobId, queue, team, ...(keyId === undefined ? {} : { keyId }) };
  const known = fleet.getJob(jobId);
  if (known !== undefined) return decideRepeated(known.getData(), body);
  const reason = findInfeasibility(fleet, body);
  if (reason !== undefined) return createRefused(RefusalReason.JobCannotRun, reason);
  return { outcome: "acceptable", body };
}

/**
 * Finds a job by id, or gets the refusal of the presented key; undefined if the job is unknown or
 * belongs to a team other than the caller's.
 */
export function findJobForCaller(
  fleet: Fleet,
  jobId: string,
  presentedKey: string | undefined,
): Job | Refusal | undefined {
  const teamOrRefusal = presentedKey === undefined ? OPEN_TEAM : findTeamOfKey(fleet, presentedKey);
  if (typeof teamOrRefusal !== "string") return teamOrRefusal;
  const job = fleet.getJob(jobId);
  return job?.getTeamName() === teamOrRefusal ? job : undefined;
}

/** Tells a repeated submission from a different job with the same id. */
function decideRepeated(known: JobData, body: JobAcceptedBody): SubmissionDecision {
  const isSame =
    JSON.stringify(getComparableFields(known)) === JSON.stringify(getComparableFields(body));
  if (isSame) return { outcome: "known", jobId: known.jobId };
  return createRefused(RefusalReason.JobConflict, `another job has the id ${known.jobId}`);
}

function getComparableFields(job: JobData | JobAcceptedBody): unknown {
  const { queue, isUrgent, isGang, isIdempotent, mostPerRack, payload } = job;
  const tasks = job.tasks.map(({ size: { cores, memoryGigabytes, accelerators }, ...task }) => [
    cores,
    memoryGigabytes,
    accelerators,
    task.runMilliseconds,
  ]);
  return [queue, isUrgent, isGang, isIdempotent, mostPerRack, payload, tasks];
}

/** Gets why a job could not run even if all workers were idle, or undefined if it could. */
function findInfeasibility(fleet: Fleet, body: JobAcceptedBody): string | undefined {
  const taskLimit = fleet.getTeam(body.team)?.getTaskLimit() ?? 0;
  if (taskLimit === 0) return `team ${body.team} may run no tasks`;
  if (body.isGang && body.tasks.length > taskLimit) {
    return `the gang has ${body.tasks.length} tasks, and team ${body.team} may run ${taskLimit}`;
  }
  const index = createIdleWorkerIndex(fleet, body.queue);
  const tasks = body.tasks.map(toTaskToPlace);
  const oversized = tasks.find(({ size }) => chooseBestFit(index, size, () => true) === undefined);
  if (oversized !== undefined) {
    return `no worker of ${body.queue} is large enough for task ${oversized.task}`;
  }
  if (body.isGang && !canPlaceTogether(index, tasks, body.mostPerRack)) {
    return `the tasks of the gang do not fit on the workers of ${body.queue} at the same time`;
  }
  return undefined;
}

function toTaskToPlace(declared: DeclaredTask, task: number): TaskToPlace {
  return { task, size: toReservation(declared.size) };
}

/** Indexes the workers of a queue as if all were idle; includes cordoned workers. */
function createIdleWorkerIndex(fleet: Fleet, queue: string): WorkerIndex {
  const workers = fleet.getHostsOfPool(queue).filter((host) => !host.isExecutor());
  return WorkerIndex.create(workers.map((host) => {
    const { host: worker, rack, cores, memoryGigabytes, accelerators } = host.getData();
    return { worker, rack, free: { cores, memoryGigabytes, accelerators } };
  }));
}

function canPlaceTogether(index: WorkerIndex, tasks: TaskToPlace[], mostPerRack: number): boolean {
  const isAllowed = () => true;
  const occupiedRacks: string[] = [];
  const chooseWorker = chooseBestFit;
  const options = { index, tasks, mostPerRack, occupiedRacks, chooseWorker, isAllowed };
  return placeTogether(options) !== undefined;
}

function createRefused(reason: RefusalReason, detail: string): SubmissionDecision {
  return { outcome: "refused", refusal: createNotRunRefusal(reason, detail) };
}
