/**
 * Decides the order of a queue's starts and places the tasks: urgent jobs first, then weighted
 * max-min over teams, within the limit of each team.
 */

import { type JobData, type JobTaskData, JobTaskState } from "./job_data.ts";
import {
  type ChooseWorker,
  type PlacedTask,
  placeTogether,
  type TaskToPlace,
} from "./placement.ts";
import { addSizes, getDominantShare, type TaskSize } from "./task_size.ts";
import type { WorkerIndex } from "./worker_index.ts";

/** How many blocked jobs of a team are skipped to try later ones that may fit. */
const BACKFILL_DEPTH = 16;

/** The resource usage and limits of a team. */
export interface TeamAllocation {
  /** The weight of the team in the division of scarce capacity. */
  share: number;
  /** The maximum number of running tasks of the team in the whole fleet. */
  taskLimit: number;
  /** The number of running and pending tasks of the team in the whole fleet. */
  taskCount: number;
  /** The resources reserved for the team on the workers of the queue. */
  reserved: TaskSize;
}

/** Gets the rank of a team; the team with the lowest rank goes first. */
export type RankTeam = (usage: TeamAllocation, total: TaskSize) => number;

/** Weighted max-min: ranks a team by its dominant share over its weight. */
export const rankByShare: RankTeam = (usage, total) =>
  getDominantShare(usage.reserved, total) / usage.share;

/** Options of `planStarts`. */
export interface PlanOptions {
  /** The active jobs of the queue. */
  jobs: readonly JobData[];
  /** The usage of each team; the planned starts are added to it. */
  teams: Map<string, TeamAllocation>;
  /** The total capacity of the workers of the queue. */
  total: TaskSize;
  /** The schedulable workers; the planned tasks are reserved on them. */
  index: WorkerIndex;
  /** Gets the resources to reserve for a task. */
  getReservation: (job: JobData, task: JobTaskData) => TaskSize;
  getRack: (worker: string) => string | undefined;
  /** Gets the job for which a worker is held, if any. */
  getHolder: (worker: string) => string | undefined;
  /** Gets whether the start of a task is pending already. */
  isPending: (jobId: string, task: number) => boolean;
  /** Chooses the worker for one task. */
  chooseWorker: ChooseWorker;
  /** Orders the teams. */
  rankTeam: RankTeam;
  /** The maximum number of starts in the plan. */
  maximumStarts: number;
}

/** Tasks of one job that are started by one record. */
export interface PlannedStart {
  job: JobData;
  /** Its tasks with their workers. */
  placed: PlacedTask[];
}

/** A job with tasks that fit on no worker. */
export interface BlockedJob {
  job: JobData;
  /** The tasks that the team's limit allows to start. */
  tasks: TaskToPlace[];
}

/** The planned starts of a queue. */
export interface QueuePlan {
  /** The starts, in order. */
  starts: PlannedStart[];
  /** The jobs that lack capacity although their team is within its limit. */
  blocked: BlockedJob[];
}

interface TeamQueue {
  usage: TeamAllocation;
  jobs: JobData[];
  units: TaskToPlace[][];
  failures: number;
}

/** Plans the next starts: all urgent jobs that can be placed, then the others. */
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
    const usage = options.teams.get(job.team);
    if (usage === undefined || job.stopReason !== undefined) continue;
    const queue = queues.get(job.team) ?? { usage, jobs: [], units: [], failures: 0 };
    queue.jobs.push(job);
    queues.set(job.team, queue);
  }
  return [...queues.values()];
}

/** Chooses the team with the lowest rank among those whose limit allows another start. */
function chooseTeam(options: PlanOptions, queues: TeamQueue[]): TeamQueue | undefined {
  let best: TeamQueue | undefined;
  let bestRank = Infinity;
  for (const queue of queues) {
    if (!hasNext(options, queue)) continue;
    const rank = options.rankTeam(queue.usage, options.total);
    if (rank >= bestRank) continue;
    best = queue;
    bestRank = rank;
  }
  return best;
}

/** Gets whether the team has a next unit; jobs whose next unit exceeds the limit are skipped. */
function hasNext(options: PlanOptions, queue: TeamQueue): boolean {
  while (queue.failures < BACKFILL_DEPTH && queue.jobs.length > 0) {
    if (queue.units.length === 0) queue.units = getUnits(options, queue.jobs[0]!);
    const unit = queue.units[0];
    const { taskCount, taskLimit } = queue.usage;
    if (unit !== undefined && taskCount + unit.length <= taskLimit) return true;
    queue.units = [];
    queue.jobs.shift();
  }
  return false;
}

/** Gets the waiting tasks of a job, grouped into units that must start together. */
function getUnits(options: PlanOptions, job: JobData): TaskToPlace[][] {
  const waiting: TaskToPlace[] = [];
  for (const [task, data] of job.tasks.entries()) {
    if (data.state !== JobTaskState.Waiting || options.isPending(job.jobId, task)) continue;
    waiting.push({ task, size: options.getReservation(job, data) });
  }
  if (waiting.length === 0) return [];
  const isPartlyPending = job.tasks.some((_, task) => options.isPending(job.jobId, task));
  if (job.isGang && isPartlyPending) return [];
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
    isAllowed: (candidate) => (options.getHolder(candidate.worker) ?? job.jobId) === job.jobId,
  });
  if (placed === undefined) {
    const permitted = queue.usage.taskLimit - queue.usage.taskCount;
    plan.blocked.push({ job, tasks: queue.units.flat().slice(0, permitted) });
    queue.failures += 1;
    queue.units = [];
    queue.jobs.shift();
    return;
  }
  plan.starts.push({ job, placed });
  queue.units.shift();
  if (queue.units.length === 0) queue.jobs.shift();
  addPlaced(queue.usage, placed);
}

function getOccupiedRacks(options: PlanOptions, job: JobData, plan: QueuePlan): string[] {
  if (job.mostPerRack === 0) return [];
  const running = job.tasks.flatMap((task) => task.running?.worker ?? []);
  const planned = plan.starts.filter((start) => start.job === job)
    .flatMap((start) => start.placed.map((task) => task.worker));
  return [...running, ...planned].flatMap((worker) => options.getRack(worker) ?? []);
}

function addPlaced(usage: TeamAllocation, placed: readonly PlacedTask[]): void {
  for (const { size } of placed) {
    usage.taskCount += 1;
    usage.reserved = addSizes(usage.reserved, size);
  }
}
