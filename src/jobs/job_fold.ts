/** Folds the records that accept and cancel jobs, and decides when a job has ended. */

import type { FleetDraft } from "../records/fleet_draft.ts";
import type { LogRecord } from "../records/record.ts";
import { ACCEPTED, refuse, type Verdict } from "../records/verdict.ts";
import { OPEN_TEAM } from "../teams/access.ts";
import { type JobData, JobState, type JobTaskData, JobTaskState } from "./job_data.ts";
import type { DeclaredTask, JobAcceptedBody, JobCancelledBody } from "./job_record_data.ts";

/** The retention of an ended job, in log offsets; its id cannot be reused in this time. */
export const ENDED_JOB_RETENTION_OFFSETS = 20_000;

/** The maximum number of active jobs. */
export const MAXIMUM_ACTIVE_JOBS = 50_000;

/** Accepts a job if its id is new and its team may use the queue at this offset of the log. */
export function acceptJob(draft: FleetDraft, body: JobAcceptedBody, record: LogRecord): Verdict {
  removeExpiredJobs(draft, record.offset);
  const reason = findRefusalText(draft, body);
  if (reason !== undefined) return refuse(reason);
  const { keyId: _keyId, tasks, ...rest } = body;
  draft.set("jobs", body.jobId, {
    ...rest,
    acceptedAt: record.offset,
    isCancelled: false,
    state: JobState.Active,
    endedAt: 0,
    tasks: tasks.map(createTask),
  });
  return ACCEPTED;
}

/** Cancels the active ones of the jobs; their waiting tasks never start. */
export function cancelJobs(draft: FleetDraft, body: JobCancelledBody, record: LogRecord): Verdict {
  let count = 0;
  for (const jobId of body.jobIds) {
    const job = draft.get("jobs", jobId);
    if (job === undefined || job.isCancelled) continue;
    const cancelled = { ...stopJob(job, "cancelled by its team"), isCancelled: true };
    putJob(draft, cancelled, record.offset);
    count += 1;
  }
  return count > 0 ? ACCEPTED : refuse("none of the jobs is active");
}

/** Gets the job with its waiting tasks cancelled; the queue's owner stops the running ones. */
export function stopJob(job: JobData, reason: string): JobData {
  const tasks = job.tasks.map((task) =>
    task.state === JobTaskState.Waiting ? { ...task, state: JobTaskState.Cancelled } : task
  );
  return { ...job, stopReason: job.stopReason ?? reason, tasks };
}

/** Stores a changed job, and ends it if none of its tasks is waiting or running. */
export function putJob(draft: FleetDraft, job: JobData, offset: number): void {
  const isActive = job.tasks.some((task) =>
    task.state === JobTaskState.Waiting || task.state === JobTaskState.Running
  );
  if (isActive) {
    draft.set("jobs", job.jobId, job);
    return;
  }
  draft.remove("jobs", job.jobId);
  draft.set("endedJobs", job.jobId, { ...job, state: getEndState(job), endedAt: offset });
}

function getEndState(job: JobData): JobState {
  const has = (state: JobTaskState) => job.tasks.some((task) => task.state === state);
  if (has(JobTaskState.Unknown)) return JobState.Unknown;
  if (has(JobTaskState.Failed)) return JobState.Failed;
  return has(JobTaskState.Cancelled) ? JobState.Cancelled : JobState.Completed;
}

function findRefusalText(draft: FleetDraft, body: JobAcceptedBody): string | undefined {
  if (draft.get("jobs", body.jobId) ?? draft.get("endedJobs", body.jobId)) {
    return `job ${body.jobId} exists`;
  }
  const service = draft.get("services", body.queue);
  const profile = service && draft.get("profiles", service.profile);
  if (profile === undefined) return `no queue named ${body.queue}`;
  if (!isAuthorized(draft, body, profile.isOpenQueue)) return `no valid key of team ${body.team}`;
  if (!profile.teams.some((rights) => rights.team === body.team)) {
    return `team ${body.team} has no rights on ${body.queue}`;
  }
  const taskLimit = draft.get("teams", body.team)?.taskLimit ?? 0;
  const firstStartCount = body.isGang ? body.tasks.length : 1;
  if (firstStartCount > taskLimit) return `team ${body.team} may run ${taskLimit} tasks at once`;
  if (draft.getRows("jobs").size >= MAXIMUM_ACTIVE_JOBS) return "too many jobs are active";
  return undefined;
}

function isAuthorized(draft: FleetDraft, body: JobAcceptedBody, isOpenQueue: boolean): boolean {
  if (body.keyId === undefined) return isOpenQueue && body.team === OPEN_TEAM;
  const key = draft.get("keys", body.keyId);
  return key !== undefined && !key.isWithdrawn && key.team === body.team;
}

function createTask(declared: DeclaredTask): JobTaskData {
  return { ...declared, state: JobTaskState.Waiting, attempt: 0, failedOn: [], losses: 0 };
}

function removeExpiredJobs(draft: FleetDraft, offset: number): void {
  const oldestRetained = offset - ENDED_JOB_RETENTION_OFFSETS;
  for (const [jobId, job] of draft.getRows("endedJobs")) {
    if (job.endedAt >= oldestRetained) return;
    draft.remove("endedJobs", jobId);
  }
}
