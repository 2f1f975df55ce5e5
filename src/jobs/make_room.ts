/** Chooses the running tasks to preempt: borrowed capacity first, then the least loss of work. */

import type { TaskToPlace } from "./placement.ts";
import { addSizes, getDominantPart, isFitting, subtractSizes, type TaskSize } from "./task_size.ts";
import type { WorkerRoom } from "./worker_index.ts";

/** A running task that can be preempted: checkpointed and stopped. */
export interface GivingTask {
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
export interface WorkerWithTasks {
  /** Its free capacity. */
  room: WorkerRoom;
  /** The tasks that can be preempted. */
  giving: readonly GivingTask[];
}

/** The preemption of tasks on one worker. */
export interface RoomChoice {
  /** The name of the worker. */
  worker: string;
  /** The preempted tasks; empty if the free capacity is enough. */
  giving: readonly GivingTask[];
}

/** Options of `choosePreemptions`. */
export interface MakeRoomOptions {
  /** The tasks that need capacity. */
  tasks: readonly TaskToPlace[];
  /** The schedulable workers. */
  workers: readonly WorkerWithTasks[];
  /** Whether only tasks on borrowed capacity are preempted. */
  isBorrowedOnly: boolean;
  /** Whether to preempt even if only some of the tasks can be placed. */
  isPartAllowed: boolean;
}

/** Chooses the tasks to preempt so that the given tasks fit; none if no choice is enough. */
export function makeRoom(options: MakeRoomOptions): RoomChoice[] {
  const preemptions: RoomChoice[] = [];
  let workers = options.workers;
  for (const { size } of options.tasks) {
    const preemption = chooseWorker(workers, size, options.isBorrowedOnly);
    if (preemption === undefined) return options.isPartAllowed ? preemptions : [];
    preemptions.push(preemption);
    workers = workers.map((worker) =>
      worker.room.worker === preemption.worker ? applyPreemption(worker, preemption, size) : worker
    );
  }
  return preemptions;
}

function chooseWorker(
  workers: readonly WorkerWithTasks[],
  size: TaskSize,
  isBorrowedOnly: boolean,
): RoomChoice | undefined {
  let best: RoomChoice | undefined;
  let bestCost = [Infinity, Infinity] as const;
  for (const worker of workers) {
    const chosen = choosePreempted(worker, size, isBorrowedOnly);
    if (chosen === undefined) continue;
    const cost = getCost(chosen);
    if (cost[0] > bestCost[0] || (cost[0] === bestCost[0] && cost[1] >= bestCost[1])) continue;
    best = { worker: worker.room.worker, giving: chosen };
    bestCost = cost;
  }
  return best;
}

/** Chooses the tasks to preempt on one worker, without those that turn out unnecessary. */
function choosePreempted(
  worker: WorkerWithTasks,
  size: TaskSize,
  isBorrowedOnly: boolean,
): GivingTask[] | undefined {
  const chosen: GivingTask[] = [];
  let free = worker.room.free;
  for (const task of [...worker.giving].sort(compareCost)) {
    if (isFitting(size, free)) break;
    if (isBorrowedOnly && !task.isBorrowed) break;
    chosen.push(task);
    free = addSizes(free, task.reserved);
  }
  if (!isFitting(size, free)) return undefined;
  return chosen.filter((task) => {
    const without = subtractSizes(free, task.reserved);
    const isNeeded = !isFitting(size, without);
    if (!isNeeded) free = without;
    return isNeeded;
  });
}

function compareCost(first: GivingTask, second: GivingTask): number {
  return Number(second.isBorrowed) - Number(first.isBorrowed) ||
    first.lossCoreMilliseconds - second.lossCoreMilliseconds;
}

/** Gets the number of tasks within their team's share, and the work that may be lost. */
function getCost(preempted: readonly GivingTask[]): readonly [number, number] {
  const owned = preempted.filter((task) => !task.isBorrowed).length;
  return [owned, preempted.reduce((sum, task) => sum + task.lossCoreMilliseconds, 0)];
}

function applyPreemption(
  worker: WorkerWithTasks,
  preemption: RoomChoice,
  size: TaskSize,
): WorkerWithTasks {
  const freed = preemption.giving.reduce(
    (free, task) => addSizes(free, task.reserved),
    worker.room.free,
  );
  return {
    room: { ...worker.room, free: subtractSizes(freed, size) },
    giving: worker.giving.filter((task) => !preemption.giving.includes(task)),
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
export interface BorrowedOptions {
  /** The running tasks of the queue. */
  running: readonly ReservedTask[];
  /** The share of each team with running or waiting tasks. */
  shares: ReadonlyMap<string, number>;
  /** The total capacity of the workers of the queue. */
  total: TaskSize;
}

/** Finds the tasks on borrowed capacity: the newest tasks of each team above its share. */
export function findBorrowed(options: BorrowedOptions): Set<string> {
  const borrowed = new Set<string>();
  const sum = [...options.shares.values()].reduce((total, weight) => total + weight, 0);
  for (const [team, tasks] of groupByTeam(options.running)) {
    const share = (options.shares.get(team) ?? 0) / sum;
    let reserved = tasks.map((task) => task.reserved).reduce(addSizes);
    for (const task of tasks.sort((first, second) => second.startedAt - first.startedAt)) {
      if (getDominantPart(reserved, options.total) <= share) break;
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
