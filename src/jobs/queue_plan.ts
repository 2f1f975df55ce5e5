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

/** The weight and limit of a team, and the resources allocated to it. */
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
export type RankTeam = (allocation: TeamAllocation, total: TaskSize) => number;

/** Weighted max-min: ranks a team by its dominant share, divided by its weight. */
export const rankByShare: RankTeam = (allocation, total) =>
  getDominantShare(allocation.reserved, total) / allocation.share;

/** Options of `planStarts`. */
export interface PlanOptions {
  /** The active jobs of the queue. */
  jobs: readonly JobData[];
  /** The allocation of each team; the planned starts are added to it. */
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

/** The jobs of one team that a planning pass has not handled yet. */
interface TeamBacklog {
  usage: TeamAllocation;
  jobs: JobData[];
  /** The waiting tasks of the first job, grouped into units that must start together. */
  units: TaskToPlace[][];
  /** The number of blocked jobs in this pass. */
  blockedCount: number;
}

/** Plans the next starts: all urgent jobs that can be placed, then the others. */
export function planStarts(options: PlanOptions): QueuePlan {
  const plan: QueuePlan = { starts: [], blocked: [] };
  planPass(options, options.jobs.filter((job) => job.isUrgent), plan);
  planPass(options, options.jobs.filter((job) => !job.isUrgent), plan);
  return plan;
}

function planPass(options: PlanOptions, jobs: readonly JobData[], plan: QueuePlan): void {
  const backlogs = createTeamBacklogs(options, jobs);
  while (plan.starts.length < options.maximumStarts) {
    const backlog = chooseTeam(options, backlogs);
    if (backlog === undefined) return;
    planNext(options, backlog, plan);
  }
}

function createTeamBacklogs(options: PlanOptions, jobs: readonly JobData[]): TeamBacklog[] {
  const backlogs = new Map<string, TeamBacklog>();
  for (const job of [...jobs].sort((first, second) => first.acceptedAt - second.acceptedAt)) {
    const allocation = options.teams.get(job.team);
    if (allocation === undefined || job.stopReason !== undefined) continue;
    const backlog = backlogs.get(job.team) ??
      { usage: allocation, jobs: [], units: [], blockedCount: 0 };
    backlog.jobs.push(job);
    backlogs.set(job.team, backlog);
  }
  return [...backlogs.values()];
}

/** Chooses the team with the lowest rank among those whose limit allows another start. */
function chooseTeam(options: PlanOptions, backlogs: TeamBacklog[]): TeamBacklog | undefined {
  let best: TeamBacklog | undefined;
  let bestRank = Infinity;
  for (const backlog of backlogs) {
    if (!hasNext(options, backlog)) continue;
    const rank = options.rankTeam(backlog.usage, options.total);
    if (rank >= bestRank) continue;
    best = backlog;
    bestRank = rank;
  }
  return best;
}

/** Gets whether the team has a next unit; jobs whose next unit exceeds the limit are skipped. */
function hasNext(options: PlanOptions, backlog: TeamBacklog): boolean {
  while (backlog.blockedCount < BACKFILL_DEPTH && backlog.jobs.length > 0) {
    if (backlog.units.length === 0) backlog.units = getUnits(options, backlog.jobs[0]!);
    const unit = backlog.units[0];
    const { taskCount, taskLimit } = backlog.usage;
    if (unit !== undefined && taskCount + unit.length <= taskLimit) return true;
    backlog.units = [];
    backlog.jobs.shift();
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

function planNext(options: PlanOptions, backlog: TeamBacklog, plan: QueuePlan): void {
  const job = backlog.jobs[0]!;
  const tasks = backlog.units[0]!;
  const placed = placeTogether({
    index: options.index,
    tasks,
    mostPerRack: job.mostPerRack,
    occupiedRacks: getOccupiedRacks(options, job, plan),
    chooseWorker: options.chooseWorker,
    isAllowed: (candidate) => (options.getHolder(candidate.worker) ?? job.jobId) === job.jobId,
  });
  if (placed === undefined) {
    const permitted = backlog.usage.taskLimit - backlog.usage.taskCount;
    plan.blocked.push({ job, tasks: backlog.units.flat().slice(0, permitted) });
    backlog.blockedCount += 1;
    backlog.units = [];
    backlog.jobs.shift();
    return;
  }
  plan.starts.push({ job, placed });
  backlog.units.shift();
  if (backlog.units.length === 0) backlog.jobs.shift();
  addPlaced(backlog.usage, placed);
}

function getOccupiedRacks(options: PlanOptions, job: JobData, plan: QueuePlan): string[] {
  if (job.mostPerRack === 0) return [];
  const running = job.tasks.flatMap((task) => task.running?.worker ?? []);
  const planned = plan.starts.filter((start) => start.job === job)
    .flatMap((start) => start.placed.map((task) => task.worker));
  return [...running, ...planned].flatMap((worker) => options.getRack(worker) ?? []);
}

function addPlaced(allocation: TeamAllocation, placed: readonly PlacedTask[]): void {
  for (const { size } of placed) {
    allocation.taskCount += 1;
    allocation.reserved = addSizes(allocation.reserved, size);
  }
}
