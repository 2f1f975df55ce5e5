/** The order of a queue: weighted max-min over teams, urgent jobs first, within every team's limit. */

import { type JobData, type JobTaskData, JobTaskState } from "./job_data.ts";
import {
  type ChooseWorker,
  type PlacedTask,
  placeTogether,
  type TaskToPlace,
} from "./placement.ts";
import { addSizes, getDominantShare, type TaskSize } from "./task_size.ts";
import type { WorkerIndex } from "./worker_index.ts";

/** How many jobs of a team that found no room are passed over for a later one that may. */
const BACKFILL_DEPTH = 16;

/** What a team has and may have. */
export interface TeamUsage {
  /** The weight of the team when all is full. */
  share: number;
  /** The most tasks of the team at once, over the whole fleet. */
  taskLimit: number;
  /** The tasks of the team that run or are about to, over the whole fleet. */
  taskCount: number;
  /** What is reserved for the team on the workers of the queue. */
  reserved: TaskSize;
}

/** Gets the number by which teams are ordered: the lowest goes first. */
export type RankTeam = (use: TeamUsage, total: TaskSize) => number;

/** Weighted max-min: the team with the smallest dominant part for its share goes first. */
export const rankByShare: RankTeam = (use, total) =>
  getDominantShare(use.reserved, total) / use.share;

/** Options of `planStarts`. */
export interface PlanOptions {
  /** The active jobs of the queue. */
  jobs: readonly JobData[];
  /** What each team has; it grows with the plan. */
  teams: Map<string, TeamUsage>;
  /** All that the workers of the queue have. */
  total: TaskSize;
  /** The open workers; room for the planned tasks is reserved on them. */
  index: WorkerIndex;
  /** Gets what a task is to reserve. */
  getReservation: (job: JobData, task: JobTaskData) => TaskSize;
  /** Gets the rack of a worker. */
  getRack: (worker: string) => string | undefined;
  /** Gets the job for which a worker is held, if one is. */
  getHolder: (worker: string) => string | undefined;
  /** Gets whether a task is about to start already. */
  isPending: (jobId: string, task: number) => boolean;
  /** Chooses the worker for one task. */
  chooseWorker: ChooseWorker;
  /** Orders the teams. */
  rankTeam: RankTeam;
  /** The most starts of the plan. */
  maximumStarts: number;
}

/** Tasks of one job that start by one record. */
export interface PlannedStart {
  /** The job. */
  job: JobData;
  /** Its tasks with their workers. */
  placed: PlacedTask[];
}

/** Tasks of a job that found no room. */
export interface BlockedJob {
  /** The job. */
  job: JobData;
  /** The tasks that its team's limit lets start. */
  tasks: TaskToPlace[];
}

/** What a queue is to start. */
export interface QueuePlan {
  /** What starts, in order. */
  starts: PlannedStart[];
  /** What found no room, though its team is within its limit. */
  blocked: BlockedJob[];
}

interface TeamQueue {
  use: TeamUsage;
  jobs: JobData[];
  units: TaskToPlace[][];
  failures: number;
}

/** Plans what starts next: all urgent jobs that find room, then the others. */
export function planStarts(options: PlanOptions): QueuePlan {
  const plan: QueuePlan = { starts: [], blocked: [] };
  planPass(options, options.jobs.filter((job) => job.isUrgent), plan);
  planPass(options, options.jobs.filter((job) => !job.isUrgent), plan);
  return plan;
}

function planPass(options: PlanOptions, jobs: readonly JobData[], plan: QueuePlan): void {
  const queues = createTeamQueues(options, jobs);
  while (plan.starts.length < options.maximumStarts) {
    const queue = chooseTeam(options, queues);
    if (queue === undefined) return;
    planNext(options, queue, plan);
  }
}

function createTeamQueues(options: PlanOptions, jobs: readonly JobData[]): TeamQueue[] {
  const queues = new Map<string, TeamQueue>();
  for (const job of [...jobs].sort((first, second) => first.acceptedAt - second.acceptedAt)) {
    const use = options.teams.get(job.team);
    if (use === undefined || job.stopReason !== undefined) continue;
    const queue = queues.get(job.team) ?? { use, jobs: [], units: [], failures: 0 };
    queue.jobs.push(job);
    queues.set(job.team, queue);
  }
  return [...queues.values()];
}

/** Chooses the team that goes next, among those with something that their limit lets start. */
function chooseTeam(options: PlanOptions, queues: TeamQueue[]): TeamQueue | undefined {
  let best: TeamQueue | undefined;
  let bestRank = Infinity;
  for (const queue of queues) {
    if (!hasNext(options, queue)) continue;
    const rank = options.rankTeam(queue.use, options.total);
    if (rank >= bestRank) continue;
    best = queue;
    bestRank = rank;
  }
  return best;
}

/** Gets whether the team has a next unit; units over the team's limit are passed over. */
function hasNext(options: PlanOptions, queue: TeamQueue): boolean {
  while (queue.failures < BACKFILL_DEPTH && queue.jobs.length > 0) {
    if (queue.units.length === 0) queue.units = getUnits(options, queue.jobs[0]!);
    const unit = queue.units[0];
    const { taskCount, taskLimit } = queue.use;
    if (unit !== undefined && taskCount + unit.length <= taskLimit) return true;
    queue.units = [];
    queue.jobs.shift();
  }
  return false;
}

/** Gets the waiting tasks of a job in the groups that must start together. */
function getUnits(options: PlanOptions, job: JobData): TaskToPlace[][] {
  const waiting: TaskToPlace[] = [];
  for (const [task, data] of job.tasks.entries()) {
    if (data.state !== JobTaskState.Waiting || options.isPending(job.jobId, task)) continue;
    waiting.push({ task, size: options.getReservation(job, data) });
  }
  if (waiting.length === 0) return [];
  const isPartPending = job.tasks.some((_, task) => options.isPending(job.jobId, task));
  if (job.isGang && isPartPending) return [];
  return job.isGang ? [waiting] : waiting.map((task) => [task]);
}

function planNext(options: PlanOptions, queue: TeamQueue, plan: QueuePlan): void {
  const job = queue.jobs[0]!;
  const tasks = queue.units[0]!;
  const placed = placeTogether({
    index: options.index,
    tasks,
    mostPerRack: job.mostPerRack,
    occupiedRacks: getOccupiedRacks(options, job, plan),
    chooseWorker: options.chooseWorker,
    isAllowed: (room) => (options.getHolder(room.worker) ?? job.jobId) === job.jobId,
  });
  if (placed === undefined) {
    const permitted = queue.use.taskLimit - queue.use.taskCount;
    plan.blocked.push({ job, tasks: queue.units.flat().slice(0, permitted) });
    queue.failures += 1;
    queue.units = [];
    queue.jobs.shift();
    return;
  }
  plan.starts.push({ job, placed });
  queue.units.shift();
  if (queue.units.length === 0) queue.jobs.shift();
  addUse(queue.use, placed);
}

function getOccupiedRacks(options: PlanOptions, job: JobData, plan: QueuePlan): string[] {
  if (job.mostPerRack === 0) return [];
  const running = job.tasks.flatMap((task) => task.running?.worker ?? []);
  const planned = plan.starts.filter((start) => start.job === job)
    .flatMap((start) => start.placed.map((task) => task.worker));
  return [...running, ...planned].flatMap((worker) => options.getRack(worker) ?? []);
}

function addUse(use: TeamUsage, placed: readonly PlacedTask[]): void {
  for (const { size } of placed) {
    use.taskCount += 1;
    use.reserved = addSizes(use.reserved, size);
  }
}
