/** How the fold judges the record that ends attempts, and whether a task may run again. */

import type { FleetDraft } from "../records/fleet_draft.ts";
import type { LogRecord } from "../records/record.ts";
import { ACCEPTED, refuse, type Verdict } from "../records/verdict.ts";
import { type JobData, type JobTaskData, JobTaskState } from "./job_data.ts";
import { putJob, stopJob } from "./job_fold.ts";
import { type AttemptEnd, type AttemptEndedBody, AttemptResult } from "./job_record_data.ts";
import { addFailure, clearFailures, releaseLoad, removeFailures } from "./worker_fold.ts";

/** On how many different workers a task fails before its job is stopped. */
export const FAILING_WORKER_LIMIT = 3;

/** How often a task fails, on whichever workers, before its job is stopped. */
export const TASK_FAILURE_LIMIT = 5;

/** How often an attempt of a task is lost before its job is stopped. */
export const LOST_ATTEMPT_LIMIT = 10;

/** Ends those of the attempts that run; the others ended before, and change nothing. */
export function endAttempts(
  draft: FleetDraft,
  body: AttemptEndedBody,
  record: LogRecord,
): Verdict {
  let count = 0;
  for (const end of body.ends) {
    if (endAttempt(draft, end, record.offset)) count += 1;
  }
  return count > 0 ? ACCEPTED : refuse("none of the attempts runs");
}

function endAttempt(draft: FleetDraft, end: AttemptEnd, offset: number): boolean {
  const job = draft.get("jobs", end.jobId);
  const task = job?.tasks[end.task];
  if (job === undefined || task?.running === undefined || task.attempt !== end.attempt) {
    return false;
  }
  const { worker, reserved } = task.running;
  releaseLoad(draft, worker, reserved);
  releaseTeam(draft, job.team);
  const ended = createEndedTask(job, task, end, worker);
  const tasks = job.tasks.map((other, index) => index === end.task ? ended : other);
  const stopReason = findStopReason(ended);
  const changed = { ...job, tasks };
  const next = stopReason === undefined ? changed : stopJob(changed, stopReason);
  noteResult(draft, next, end.result, worker);
  putJob(draft, next, offset);
  return true;
}

function releaseTeam(draft: FleetDraft, team: string): void {
  const count = (draft.get("teamTasks", team) ?? 0) - 1;
  if (count > 0) draft.set("teamTasks", team, count);
  else draft.remove("teamTasks", team);
}

function createEndedTask(
  job: JobData,
  task: JobTaskData,
  end: AttemptEnd,
  worker: string,
): JobTaskData {
  const { running: _running, ...rest } = task;
  const isFailure = end.result === AttemptResult.Failed;
  const isLoss = end.result === AttemptResult.Lapsed || end.result === AttemptResult.Lost;
  const ended: JobTaskData = {
    ...rest,
    state: getNextState(job, end.result),
    failedOn: isFailure ? [...rest.failedOn, worker] : rest.failedOn,
    losses: rest.losses + (isLoss ? 1 : 0),
    ...(end.checkpoint === undefined ? {} : { checkpoint: end.checkpoint }),
    ...(end.used === undefined ? {} : { used: end.used }),
  };
  return isHopeless(ended) ? { ...ended, state: JobTaskState.Failed } : ended;
}

/** Gets the state of a task after an attempt; a non-idempotent one waits again only if it never ran. */
function getNextState(job: JobData, result: AttemptResult): JobTaskState {
  const again = job.stopReason === undefined ? JobTaskState.Waiting : JobTaskState.Cancelled;
  switch (result) {
    case AttemptResult.Completed:
      return JobTaskState.Completed;
    case AttemptResult.NotStarted:
      return again;
    case AttemptResult.Overran:
      return JobTaskState.Failed;
    case AttemptResult.Stopped:
      return job.stopReason === undefined ? JobTaskState.Failed : JobTaskState.Cancelled;
    case AttemptResult.Failed:
    case AttemptResult.Checkpointed:
      return job.isIdempotent ? again : JobTaskState.Failed;
    case AttemptResult.Lapsed:
    case AttemptResult.Lost:
      return job.isIdempotent ? again : JobTaskState.Unknown;
  }
}

function isHopeless(task: JobTaskData): boolean {
  if (task.state !== JobTaskState.Waiting) return false;
  return new Set(task.failedOn).size >= FAILING_WORKER_LIMIT ||
    task.failedOn.length >= TASK_FAILURE_LIMIT || task.losses >= LOST_ATTEMPT_LIMIT;
}

function findStopReason(task: JobTaskData): string | undefined {
  if (task.state !== JobTaskState.Failed) return undefined;
  if (task.losses >= LOST_ATTEMPT_LIMIT) return `an attempt was lost ${task.losses} times`;
  const workers = new Set(task.failedOn).size;
  return workers === 0 ? "a task was stopped" : `a task failed on ${workers} workers`;
}

function noteResult(
  draft: FleetDraft,
  job: JobData,
  result: AttemptResult,
  worker: string,
): void {
  if (result === AttemptResult.Completed) clearFailures(draft, worker);
  if (result !== AttemptResult.Failed) return;
  addFailure(draft, worker, job.jobId);
  const isAtFault = job.tasks.some((task) => new Set(task.failedOn).size >= FAILING_WORKER_LIMIT);
  if (isAtFault) removeFailures(draft, job);
}
