/** Where a task starts: which executors may run it, and which of them is the best. */

import type { Executor } from "../fleet/executor.ts";
import { getCountedDemand } from "../fleet/executor.ts";
import type { JobTask } from "../fleet/job.ts";

/** What decides where tasks may start. */
export interface PlacementRules {
  /** The zones in which nothing is started. */
  evacuatedZones: ReadonlySet<string>;
  /** The time on the steady clock. */
  now: number;
}

/** Ranks executors for a task: the lowest is the best. */
export type RankExecutor = (executor: Executor, task: JobTask) => number;

/** Gets whether a task may start on an executor at all, whatever its room. */
export function isEligible(executor: Executor, task: JobTask, rules: PlacementRules): boolean {
  if (!executor.isOpen(rules.now) || rules.evacuatedZones.has(executor.entry.zone)) return false;
  const { label, mostPerExecutor } = task.step.specification;
  if (label !== undefined && !executor.entry.labels.includes(label)) return false;
  if (mostPerExecutor === 0) return true;
  return (task.step.runsByExecutor.get(executor.id) ?? 0) < mostPerExecutor;
}

/** Options of `chooseExecutor`. */
export interface ChooseExecutorOptions {
  /** The task. */
  task: JobTask;
  /** The executors of its service. */
  pool: Iterable<Executor>;
  /** What decides where tasks may start. */
  rules: PlacementRules;
  /** Ranks the executors that have room. */
  rank: RankExecutor;
}

/** Gets the best executor with room for a task. */
export function chooseExecutor(options: ChooseExecutorOptions): Executor | undefined {
  const { task, rules, rank } = options;
  const demand = getCountedDemand(task);
  let best: Executor | undefined;
  let bestRank = Infinity;
  for (const executor of options.pool) {
    if (!executor.hasRoom(demand) || !isEligible(executor, task, rules)) continue;
    const rankHere = rank(executor, task);
    if (rankHere >= bestRank) continue;
    best = executor;
    bestRank = rankHere;
  }
  return best;
}

/** What an executor that is to be emptied ranks behind, for tasks that would have to move again. */
const DUE_RANK = 2;
/** What an executor off the wanted rack, or one where the task failed, ranks behind. */
const AVOIDED_RANK = 1_000;

/** Ranks the executor with the most free processor time first, on the wanted rack where there is one. */
export function rankLeastLoaded(executor: Executor, task: JobTask): number {
  return executor.getLoad() + getSlowness(executor) + getAvoidance(executor, task);
}

/** Ranks the fullest executor that has room first, so that others become empty. */
export function rankFullest(executor: Executor, task: JobTask): number {
  return 1 - executor.getLoad() + getAvoidance(executor, task);
}

/** Gets what an executor that takes longer than others ranks behind, from the factor where it tells. */
function getSlowness(executor: Executor): number {
  return executor.slowness > SLOW_FACTOR ? executor.slowness : 0;
}

/** How many times as long as expected tasks must take for an executor to count as slow. */
const SLOW_FACTOR = 2.2;

function getAvoidance(executor: Executor, task: JobTask): number {
  const { rack } = task.step.specification;
  const isFar = rack !== undefined && !executor.entry.labels.includes(rack);
  const isDoubtful = executor.failureScore >= 1 || task.lastFailedOn === executor.id;
  const isDue = executor.isDue && task.step.specification.isLasting;
  return (isDue ? DUE_RANK : 0) + (isFar ? AVOIDED_RANK : 0) +
    (isDoubtful ? AVOIDED_RANK * 2 * (1 + executor.failureScore) : 0);
}
