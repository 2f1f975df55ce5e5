/** Folds the records that start attempts; an attempt may run only if its record was accepted. */

import { type HostData, HostKind, HostState } from "../machines/host_data.ts";
import type { FleetDraft } from "../records/fleet_draft.ts";
import type { LogRecord } from "../records/record.ts";
import { ACCEPTED, refuse, type Verdict } from "../records/verdict.ts";
import { type JobData, type JobTaskData, JobTaskState, type WorkerLoadData } from "./job_data.ts";
import type { AttemptStart, AttemptStartedBody } from "./job_record_data.ts";
import { addSizes, isReservation, isWithin, subtractSizes } from "./task_size.ts";
import { getLoad, putLoad } from "./worker_fold.ts";

interface StartFoldContext {
  draft: FleetDraft;
  job: JobData;
  tasks: JobTaskData[];
  loads: Map<string, WorkerLoadData>;
  offset: number;
}

/** Starts all tasks that the record lists, or none of them. */
export function startAttempts(
  draft: FleetDraft,
  body: AttemptStartedBody,
  record: LogRecord,
): Verdict {
  const job = draft.get("jobs", body.jobId);
  if (job === undefined) return refuse(`job ${body.jobId} is not active`);
  const running = (draft.get("teamTasks", job.team) ?? 0) + body.starts.length;
  const taskLimit = draft.get("teams", job.team)?.taskLimit ?? 0;
  if (running > taskLimit) return refuse(`team ${job.team} may run ${taskLimit} tasks at once`);
  const { offset } = record;
  const context = { draft, job, tasks: [...job.tasks], loads: new Map(), offset };
  for (const start of body.starts) {
    const reason = addStart(context, start);
    if (reason !== undefined) return refuse(reason);
  }
  const reason = findJobRefusalText(context);
  if (reason !== undefined) return refuse(reason);
  for (const load of context.loads.values()) putLoad(draft, load);
  draft.set("teamTasks", job.team, running);
  draft.set("jobs", job.jobId, { ...job, tasks: context.tasks });
  return ACCEPTED;
}

/** Adds one start to the context, or gets the reason to refuse it. */
function addStart(context: StartFoldContext, start: AttemptStart): string | undefined {
  const task = context.tasks[start.task];
  if (task?.state !== JobTaskState.Waiting) return `task ${start.task} is not waiting`;
  if (start.attempt !== task.attempt + 1) {
    return `the next attempt of task ${start.task} is ${task.attempt + 1}`;
  }
  const host = context.draft.get("hosts", start.worker);
  const load = context.loads.get(start.worker) ?? getLoad(context.draft, start.worker);
  const reason = findWorkerRefusalText(context, start, host) ??
    findCapacityRefusalText(start, host, load);
  if (reason !== undefined) return reason;
  context.loads.set(start.worker, {
    ...load,
    taskCount: load.taskCount + 1,
    reserved: addSizes(load.reserved, start.reserved),
  });
  const { worker, incarnation, reserved } = start;
  context.tasks[start.task] = {
    ...task,
    state: JobTaskState.Running,
    attempt: start.attempt,
    running: { worker, incarnation, reserved, startedAt: context.offset },
  };
  return undefined;
}

function findWorkerRefusalText(
  { draft, job }: StartFoldContext,
  start: AttemptStart,
  host: HostData | undefined,
): string | undefined {
  if (host?.kind !== HostKind.Worker) return `no worker named ${start.worker}`;
  if (host.pool !== job.queue) return `worker ${start.worker} is in pool ${host.pool}`;
  if (host.state !== HostState.Serving) return `worker ${start.worker} is ${host.state}`;
  if (draft.get("zones", host.zone)?.isOut !== false) return `zone ${host.zone} is out of service`;
  return undefined;
}

function findCapacityRefusalText(
  start: AttemptStart,
  host: HostData | undefined,
  load: WorkerLoadData,
): string | undefined {
  if (load.isSetAside) return `worker ${start.worker} is set aside`;
  if (!isReservation(start.reserved)) {
    return "the reservation is not a multiple of the reservation increment";
  }
  if (host === undefined || !isWithin(start.reserved, subtractSizes(host, load.reserved))) {
    return `worker ${start.worker} has too little free capacity`;
  }
  return undefined;
}

function findJobRefusalText({ draft, job, tasks }: StartFoldContext): string | undefined {
  if (job.isGang && tasks.some((task) => task.state === JobTaskState.Waiting)) {
    return "the tasks of a gang start together";
  }
  if (job.mostPerRack === 0) return undefined;
  const countByRack = new Map<string, number>();
  for (const { running } of tasks) {
    const rack = running && draft.get("hosts", running.worker)?.rack;
    if (rack === undefined) continue;
    const count = (countByRack.get(rack) ?? 0) + 1;
    if (count > job.mostPerRack) return `rack ${rack} would hold ${count} tasks of the job`;
    countByRack.set(rack, count);
  }
  return undefined;
}
