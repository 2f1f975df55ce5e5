/** Chooses the running tasks to preempt: borrowed capacity first, then the least loss of work. */

import type { TaskToPlace } from "./placement.ts";
import { addSizes, getDominantShare, isWithin, subtractSizes, type TaskSize } from "./task_size.ts";
import type { WorkerCapacity } from "./worker_index.ts";

/** A running task that can be preempted: checkpointed and stopped. */
export interface PreemptibleTask {
  taskId: string;
  team: string;
  /** The resources reserved for it. */
  reserved: TaskSize;
  /** Whether it runs on capacity above its team's share. */
  isBorrowed: boolean;
  /** The work lost if its checkpoint fails, in core milliseconds. */
  lossCoreMilliseconds: number;
}

/** A worker with the tasks on it that can be preempted. */
export interface PreemptionCandidate {
  /** Its free capacity. */
  room: WorkerCapacity;
  /** The tasks that can be preempted. */
  preemptible: readonly PreemptibleTask[];
}

/** The preemption of tasks on one worker. */
export interface Preemption {
  /** The name of the worker. */
  worker: string;
  /** The preempted tasks; empty if the free capacity is enough. */
  preempted: readonly PreemptibleTask[];
}

/** Options of `choosePreemptions`. */
export interface PreemptionOptions {
  /** The tasks that need capacity. */
  tasks: readonly TaskToPlace[];
  /** The schedulable workers. */
  workers: readonly PreemptionCandidate[];
  /** Whether only tasks on borrowed capacity are preempted. */
  isBorrowedOnly: boolean;
  /** Whether to preempt even if only some of the tasks can be placed. */
  isPartialAllowed: boolean;
}

/** Chooses the tasks to preempt so that the given tasks fit; none if no choice is enough. */
export function choosePreemptions(options: PreemptionOptions): Preemption[] {
  const preemptions: Preemption[] = [];
  let workers = options.workers;
  for (const { size } of options.tasks) {
    const preemption = chooseWorker(workers, size, options.isBorrowedOnly);
    if (preemption === undefined) return options.isPartialAllowed ? preemptions : [];
    preemptions.push(preemption);
    workers = workers.map((worker) =>
      worker.room.worker === preemption.worker ? applyPreemption(worker, preemption, size) : worker
    );
  }
  return preemptions;
}

function chooseWorker(
  workers: readonly PreemptionCandidate[],
  size: TaskSize,
  isBorrowedOnly: boolean,
): Preemption | undefined {
  let best: Preemption | undefined;
  let bestCost = [Infinity, Infinity] as const;
  for (const worker of workers) {
    const chosen = choosePreempted(worker, size, isBorrowedOnly);
    if (chosen === undefined) continue;
    const cost = getCost(chosen);
    if (cost[0] > bestCost[0] || (cost[0] === bestCost[0] && cost[1] >= bestCost[1])) continue;
    best = { worker: worker.room.worker, preempted: chosen };
    bestCost = cost;
  }
  return best;
}

/** Chooses the tasks to preempt on one worker, without those that turn out unnecessary. */
function choosePreempted(
  worker: PreemptionCandidate,
  size: TaskSize,
  isBorrowedOnly: boolean,
): PreemptibleTask[] | undefined {
  const chosen: PreemptibleTask[] = [];
  let free = worker.room.free;
  for (const task of [...worker.preemptible].sort(compareCost)) {
    if (isWithin(size, free)) break;
    if (isBorrowedOnly && !task.isBorrowed) break;
    chosen.push(task);
    free = addSizes(free, task.reserved);
  }
  if (!isWithin(size, free)) return undefined;
  return chosen.filter((task) => {
    const without = subtractSizes(free, task.reserved);
    const isNeeded = !isWithin(size, without);
    if (!isNeeded) free = without;
    return isNeeded;
  });
}

function compareCost(first: PreemptibleTask, second: PreemptibleTask): number {
  return Number(second.isBorrowed) - Number(first.isBorrowed) ||
    first.lossCoreMilliseconds - second.lossCoreMilliseconds;
}

/** Gets the number of tasks within their team's share, and the work that may be lost. */
function getCost(preempted: readonly PreemptibleTask[]): readonly [number, number] {
  const owned = preempted.filter((task) => !task.isBorrowed).length;
  return [owned, preempted.reduce((sum, task) => sum + task.lossCoreMilliseconds, 0)];
}

function applyPreemption(
  worker: PreemptionCandidate,
  preemption: Preemption,
  size: TaskSize,
): PreemptionCandidate {
  const freed = preemption.preempted.reduce(
    (free, task) => addSizes(free, task.reserved),
    worker.room.free,
  );
  return {
    room: { ...worker.room, free: subtractSizes(freed, size) },
    preemptible: worker.preemptible.filter((task) => !preemption.preempted.includes(task)),
  };
}

/** A running task of a team, for `findBorrowed`. */
export interface ReservedTask {
  taskId: string;
  team: string;
  /** The resources reserved for it. */
  reserved: TaskSize;
  /** The offset of the record that started it. */
  startedAt: number;
}

/** Options of `findBorrowed`. */
export interface FindBorrowedOptions {
  /** The running tasks of the queue. */
  running: readonly ReservedTask[];
  /** The share of each team with running or waiting tasks. */
  weights: ReadonlyMap<string, number>;
  /** The total capacity of the workers of the queue. */
  total: TaskSize;
}

/** Finds the tasks on borrowed capacity: the newest tasks of each team above its share. */
export function findBorrowed(options: FindBorrowedOptions): Set<string> {
  const borrowed = new Set<string>();
  const sum = [...options.weights.values()].reduce((total, weight) => total + weight, 0);
  for (const [team, tasks] of groupByTeam(options.running)) {
    const share = (options.weights.get(team) ?? 0) / sum;
    let reserved = tasks.map((task) => task.reserved).reduce(addSizes);
    for (const task of tasks.sort((first, second) => second.startedAt - first.startedAt)) {
      if (getDominantShare(reserved, options.total) <= share) break;
      borrowed.add(task.taskId);
      reserved = subtractSizes(reserved, task.reserved);
    }
  }
  return borrowed;
}

function groupByTeam(running: readonly ReservedTask[]): Map<string, ReservedTask[]> {
  const byTeam = new Map<string, ReservedTask[]>();
  for (const task of running) {
    const tasks = byTeam.get(task.team);
    if (tasks === undefined) byTeam.set(task.team, [task]);
    else tasks.push(task);
  }
  return byTeam;
}
