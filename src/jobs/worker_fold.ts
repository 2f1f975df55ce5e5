/** Keeps the load of each worker in the fold, and folds the records that set workers aside. */

import { HostKind } from "../machines/host_data.ts";
import type { FleetDraft } from "../records/fleet_draft.ts";
import { ACCEPTED, refuse, type Verdict } from "../records/verdict.ts";
import type { JobData, WorkerLoadData } from "./job_data.ts";
import type { WorkerRecordBody } from "./job_record_data.ts";
import { NO_SIZE, subtractSizes, type TaskSize } from "./task_size.ts";

/** The number of failed jobs since a worker's last completed task before it is set aside. */
export const FAILED_JOB_LIMIT = 3;

/** The maximum fraction of a pool's workers that are set aside at once; one always may be. */
export const MAXIMUM_SET_ASIDE_FRACTION = 0.25;

/** Sets aside a worker on which several jobs failed, unless too many of its pool are set aside. */
export function setWorkerAside(draft: FleetDraft, body: WorkerRecordBody): Verdict {
  const load = getLoad(draft, body.worker);
  const host = draft.get("hosts", body.worker);
  if (host?.kind !== HostKind.Worker) return refuse(`no worker named ${body.worker}`);
  if (load.isSetAside) return refuse(`worker ${body.worker} is already set aside`);
  if (load.failedJobs.length < FAILED_JOB_LIMIT) {
    return refuse(`${load.failedJobs.length} jobs failed on worker ${body.worker}`);
  }
  const { workers, setAside } = countWorkers(draft, host.pool);
  if (setAside + 1 > Math.max(1, workers * MAXIMUM_SET_ASIDE_FRACTION)) {
    return refuse(`${setAside} of ${workers} workers of pool ${host.pool} are set aside`);
  }
  putLoad(draft, { ...load, isSetAside: true });
  return ACCEPTED;
}

/** Returns a worker to its pool, and clears its failures. */
export function returnWorker(draft: FleetDraft, body: WorkerRecordBody): Verdict {
  const load = getLoad(draft, body.worker);
  if (!load.isSetAside) return refuse(`worker ${body.worker} is not set aside`);
  putLoad(draft, { ...load, isSetAside: false, failedJobs: [] });
  return ACCEPTED;
}

/** Gets the load of a worker; zero if it has no row. */
export function getLoad(draft: FleetDraft, worker: string): WorkerLoadData {
  return draft.get("workerLoads", worker) ??
    { worker, reserved: NO_SIZE, taskCount: 0, failedJobs: [], isSetAside: false };
}

/** Stores the load of a worker; the row of a worker without load or failures is removed. */
export function putLoad(draft: FleetDraft, load: WorkerLoadData): void {
  if (load.taskCount === 0 && load.failedJobs.length === 0 && !load.isSetAside) {
    draft.remove("workerLoads", load.worker);
  } else {
    draft.set("workerLoads", load.worker, load);
  }
}

/** Releases the resources that a task reserved on a worker. */
export function releaseLoad(draft: FleetDraft, worker: string, reserved: TaskSize): void {
  const load = getLoad(draft, worker);
  const taskCount = load.taskCount - 1;
  putLoad(draft, { ...load, taskCount, reserved: subtractSizes(load.reserved, reserved) });
}

/** Adds a job to those that failed on a worker. */
export function addFailure(draft: FleetDraft, worker: string, jobId: string): void {
  const load = getLoad(draft, worker);
  if (load.failedJobs.includes(jobId) || load.failedJobs.length >= FAILED_JOB_LIMIT) return;
  putLoad(draft, { ...load, failedJobs: [...load.failedJobs, jobId] });
}

/** Clears the failures of a worker that completed a task. */
export function clearFailures(draft: FleetDraft, worker: string): void {
  const load = getLoad(draft, worker);
  if (load.failedJobs.length > 0) putLoad(draft, { ...load, failedJobs: [] });
}

/** Removes a job at fault from the workers' failures, and returns workers set aside for it. */
export function removeFailures(draft: FleetDraft, job: JobData): void {
  for (const worker of new Set(job.tasks.flatMap((task) => task.failedOn))) {
    const load = getLoad(draft, worker);
    const failedJobs = load.failedJobs.filter((jobId) => jobId !== job.jobId);
    if (failedJobs.length === load.failedJobs.length) continue;
    const isSetAside = load.isSetAside && failedJobs.length >= FAILED_JOB_LIMIT;
    putLoad(draft, { ...load, failedJobs, isSetAside });
  }
}

function countWorkers(draft: FleetDraft, pool: string): { workers: number; setAside: number } {
  let workers = 0;
  let setAside = 0;
  for (const host of draft.getRows("hosts").values()) {
    if (host.pool !== pool || host.kind !== HostKind.Worker) continue;
    workers += 1;
    if (draft.get("workerLoads", host.host)?.isSetAside === true) setAside += 1;
  }
  return { workers, setAside };
}
