/** Selects the executor on which a task starts. */

import type { Executor } from "../fleet/executor.ts";
import { getReservedDemand } from "../fleet/executor.ts";
import type { JobTask } from "../fleet/job.ts";
import {
  addResources,
  getDominantShare,
  NO_RESOURCES,
  type Resources,
} from "../fleet/resources.ts";

/** The constraints on where tasks may start. */
export interface PlacementRules {
  /** The zones in which no tasks are started. */
  evacuatedZones: ReadonlySet<string>;
  /** The time on the monotonic clock. */
  now: number;
}

/** Ranks an executor for a task. The lowest rank is the best. */
export type RankExecutor = (executor: Executor, task: JobTask) => number;

/** Gets whether a task may start on an executor, regardless of its free capacity. */
export function isEligible(executor: Executor, task: JobTask, rules: PlacementRules): boolean {
  if (!executor.canStartTasks(rules.now) || rules.evacuatedZones.has(executor.entry.zone)) {
    return false;
  }
  const { label, mostPerExecutor } = task.step.specification;
  if (label !== undefined && !executor.entry.labels.includes(label)) return false;
  if (mostPerExecutor === 0) return true;
  return (task.step.runsByExecutor.get(executor.id) ?? 0) < mostPerExecutor;
}

export interface ChooseExecutorOptions {
  task: JobTask;
  /** The executors of the task's service. */
  pool: Iterable<Executor>;
  rules: PlacementRules;
  /** Ranks the eligible executors. */
  rank: RankExecutor;
}

/** Gets the eligible executor with the lowest rank and enough free capacity for a task. */
export function chooseExecutor(options: ChooseExecutorOptions): Executor | undefined {
  const { task, rules, rank } = options;
  const demand = getReservedDemand(task);
  let best: Executor | undefined;
  let bestRank = Infinity;
  for (const executor of options.pool) {
    if (!executor.hasCapacityFor(demand) || !isEligible(executor, task, rules)) continue;
    const executorRank = rank(executor, task);
    if (executorRank >= bestRank) continue;
    best = executor;
    bestRank = executorRank;
  }
  return best;
}

/** Gets the largest free amount of each resource on any executor: a larger demand fits on none. */
export function getLargestFreeAmounts(pool: Iterable<Executor>): Resources {
  const largest = { ...NO_RESOURCES };
  for (const executor of pool) {
    const { capacity } = executor.entry;
    const reserved = executor.getReserved();
    largest.cpu = Math.max(largest.cpu, capacity.cpu - reserved.cpu);
    largest.memory = Math.max(largest.memory, capacity.memory - reserved.memory);
    largest.accelerators = Math.max(
      largest.accelerators,
      capacity.accelerators - reserved.accelerators,
    );
  }
  return largest;
}

/** Gets the largest capacity for each resource of any executor. */
export function getLargestCapacity(pool: Iterable<Executor>): Resources {
  const largest = { ...NO_RESOURCES };
  for (const { entry: { capacity } } of pool) {
    largest.cpu = Math.max(largest.cpu, capacity.cpu);
    largest.memory = Math.max(largest.memory, capacity.memory);
    largest.accelerators = Math.max(largest.accelerators, capacity.accelerators);
  }
  return largest;
}

/** The rank penalty of an executor with pending maintenance, for tasks that would have to move. */
const MAINTENANCE_PENALTY = 2;
/**
 * The rank penalty of an executor off the preferred rack. It is at least doubled after failures.
 */
const AVOIDANCE_PENALTY = 1_000;

/** Ranks the executor with the most free CPU first, on the preferred rack if there is one. */
export function rankLeastLoaded(executor: Executor, task: JobTask): number {
  return executor.getReservedCpuFraction() + getSlowdownPenalty(executor) +
    getAvoidancePenalty(executor, task);
}

/** Ranks the executor with the least free CPU first, so that others become empty. */
export function rankFullest(executor: Executor, task: JobTask): number {
  return 1 - executor.getReservedCpuFraction() + getAvoidancePenalty(executor, task);
}

/**
 * Ranks the executor first on which a task leaves the least of the scarcest resource free, so that
 * large tasks find room on the others. Long-running and serving tasks and fillers are spread as by
 * `rankLeastLoaded`: the first to lose few at a time, the others since a filler slows down a serving
 * task beside it.
 */
export function rankBestFit(executor: Executor, task: JobTask): number {
  const { isLasting, isFiller, tailMilliseconds } = task.step.specification;
  if (isLasting || isFiller || tailMilliseconds > 0) return rankLeastLoaded(executor, task);
  const used = { ...executor.getReserved() };
  addResources(used, task.step.specification.demand);
  return 1 - getDominantShare(used, executor.entry.capacity) + getSlowdownPenalty(executor) +
    getAvoidancePenalty(executor, task);
}

/** Gets whether a task's rank on an executor includes a penalty. */
export function isPenalized(executor: Executor, task: JobTask): boolean {
  return getSlowdownPenalty(executor) + getAvoidancePenalty(executor, task) > 0;
}

/**
 * Gets the rank penalty of a slow executor. Below the threshold, the slowdown is not significant.
 */
function getSlowdownPenalty(executor: Executor): number {
  return executor.slowdown > SLOWDOWN_THRESHOLD ? executor.slowdown : 0;
}

/** The ratio of actual to expected task duration above which an executor counts as slow. */
const SLOWDOWN_THRESHOLD = 2.2;

function getAvoidancePenalty(executor: Executor, task: JobTask): number {
  const { rack } = task.step.specification;
  const isOffRack = rack !== undefined && !executor.entry.labels.includes(rack);
  const hasRecentFailures = executor.failureScore >= 1 || task.lastFailedOn === executor.id;
  const isMaintenancePenalized = executor.hasPendingMaintenance &&
    task.step.specification.isLasting;
  return (isMaintenancePenalized ? MAINTENANCE_PENALTY : 0) + (isOffRack ? AVOIDANCE_PENALTY : 0) +
    (hasRecentFailures ? AVOIDANCE_PENALTY * 2 * (1 + executor.failureScore) : 0);
}
