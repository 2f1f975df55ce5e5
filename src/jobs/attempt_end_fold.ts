/** Folds the records that end attempts, and decides whether a task may run again. */

import type { FleetDraft } from "../records/fleet_draft.ts";
import type { LogRecord } from "../records/record.ts";
import { ACCEPTED, refuse, type Verdict } from "../records/verdict.ts";
import { type JobData, type JobTaskData, JobTaskState } from "./job_data.ts";
import { putJob, stopJob } from "./job_fold.ts";
import { type AttemptEnd, type AttemptEndedBody, AttemptResult } from "./job_record_data.ts";
import { addFailure, clearFailures, releaseLoad, removeFailures } from "./worker_fold.ts";

/** The number of different workers on which a task fails before its job is stopped. */
export const FAILING_WORKER_LIMIT = 3;

/** The number of failed attempts of a task, on any workers, before its job is stopped. */
export const TASK_FAILURE_LIMIT = 5;

/** The number of lost attempts of a task before its job is stopped. */
export const LOST_ATTEMPT_LIMIT = 10;

/** Ends the attempts that are running; attempts that have already ended are ignored. */
export function endAttempts(
  draft: FleetDraft,
  body: AttemptEndedBody,
  record: LogRecord,
): Verdict {
  let count = 0;
  for (const end of body.ends) {
    if (endAttempt(draft, end, record.offset)) count += 1;
  }
  return count > 0 ? ACCEPTED : refuse("none of the attempts is running");
}

function endAttempt(draft: FleetDraft, end: AttemptEnd, offset: number): boolean {
  const job = draft.get("jobs", end.jobId);
  const task = job?.tasks[end.task];
  if (job === undefined || task?.running === undefined || task.attempt !== end.attempt) {
    return false;
  }
  const { worker, reserved } = task.running;
  releaseLoad(draft, worker, reserved);
  decrementTeamTasks(draft, job.team);
  const ended = createEndedTask(job, task, end, worker);
  const tasks = job.tasks.map((other, index) => index === end.task ? ended : other);
  const stopReason = findStopReason(ended);
  const changed = { ...job, tasks };
  const next = stopReason === undefined ? changed : stopJob(changed, stopReason);
  updateWorkerFailures(draft, next, end.result, worker);
  putJob(draft, next, offset);
  return true;
}

function decrementTeamTasks(draft: FleetDraft, team: string): void {
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
  return hasExhaustedAttempts(ended) ? { ...ended, state: JobTaskState.Failed } : ended;
}

/** Gets the next state of a task; a non-idempotent task is retried only if it never started. */
function getNextState(job: JobData, result: AttemptResult): JobTaskState {
  const retryState = job.stopReason === undefined ? JobTaskState.Waiting : JobTaskState.Cancelled;
  switch (result) {
    case AttemptResult.Completed:
      return JobTaskState.Completed;
    case AttemptResult.NotStarted:
      return retryState;
    case AttemptResult.Overran:
      return JobTaskState.Failed;
    case AttemptResult.Stopped:
      return job.stopReason === undefined ? JobTaskState.Failed : JobTaskState.Cancelled;
    case AttemptResult.Failed:
    case AttemptResult.Checkpointed:
      return job.isIdempotent ? retryState : JobTaskState.Failed;
    case AttemptResult.Lapsed:
    case AttemptResult.Lost:
      return job.isIdempotent ? retryState : JobTaskState.Unknown;
  }
}

function hasExhaustedAttempts(task: JobTaskData): boolean {
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

function updateWorkerFailures(
  draft: FleetDraft,
  job: JobData,
  result: AttemptResult,
  worker: string,
): void {
  if (result === AttemptResult.Completed) clearFailures(draft, worker);
  if (result !== AttemptResult.Failed) return;
  addFailure(draft, worker, job.jobId);
  const hasReachedFailingWorkerLimit = job.tasks.some((task) =>
    new Set(task.failedOn).size >= FAILING_WORKER_LIMIT
  );
  if (hasReachedFailingWorkerLimit) removeFailures(draft, job);
}
