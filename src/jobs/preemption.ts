/** Which running tasks give way: borrowed capacity first, then the least loss of work. */

import type { TaskToPlace } from "./placement.ts";
import { addSizes, getDominantShare, isWithin, subtractSizes, type TaskSize } from "./task_size.ts";
import type { WorkerCapacity } from "./worker_index.ts";

/** A running task that can be checkpointed and stopped. */
export interface PreemptibleTask {
  /** The id of the task. */
  taskId: string;
  /** The team. */
  team: string;
  /** What is reserved for it. */
  reserved: TaskSize;
  /** Whether it runs on capacity that its team borrowed. */
  isBorrowed: boolean;
  /** The work that is lost if its checkpoint fails, in core milliseconds. */
  lossCoreMilliseconds: number;
}

/** A worker with the tasks on it that can give way. */
export interface PreemptionCandidate {
  /** The room on it. */
  room: WorkerCapacity;
  /** The tasks. */
  preemptible: readonly PreemptibleTask[];
}

/** What gives way on one worker. */
export interface Preemption {
  /** The worker. */
  worker: string;
  /** The tasks that give way; none if there is room already. */
  preempted: readonly PreemptibleTask[];
}

/** Options of `makeRoom`. */
export interface PreemptionOptions {
  /** The tasks. */
  tasks: readonly TaskToPlace[];
  /** The open workers. */
  workers: readonly PreemptionCandidate[];
  /** Whether borrowed capacity alone gives way. */
  isBorrowedOnly: boolean;
  /** Whether room for some of the tasks is better than for none. */
  isPartialAllowed: boolean;
}

/** Chooses what gives way so that the tasks find room; nothing if nothing is enough. */
export function choosePreemptions(options: PreemptionOptions): Preemption[] {
  const choices: Preemption[] = [];
  let workers = options.workers;
  for (const { size } of options.tasks) {
    const choice = chooseWorker(workers, size, options.isBorrowedOnly);
    if (choice === undefined) return options.isPartialAllowed ? choices : [];
    choices.push(choice);
    workers = workers.map((worker) =>
      worker.room.worker === choice.worker ? takeRoom(worker, choice, size) : worker
    );
  }
  return choices;
}

function chooseWorker(
  workers: readonly PreemptionCandidate[],
  size: TaskSize,
  isBorrowedOnly: boolean,
): Preemption | undefined {
  let best: Preemption | undefined;
  let bestCost = [Infinity, Infinity] as const;
  for (const worker of workers) {
    const giving = chooseGiving(worker, size, isBorrowedOnly);
    if (giving === undefined) continue;
    const cost = getCost(giving);
    if (cost[0] > bestCost[0] || (cost[0] === bestCost[0] && cost[1] >= bestCost[1])) continue;
    best = { worker: worker.room.worker, preempted: giving };
    bestCost = cost;
  }
  return best;
}

/** Chooses what gives way on one worker; a task that turns out not to be needed stays. */
function chooseGiving(
  worker: PreemptionCandidate,
  size: TaskSize,
  isBorrowedOnly: boolean,
): PreemptibleTask[] | undefined {
  const chosen: PreemptibleTask[] = [];
  let free = worker.room.free;
  for (const task of [...worker.preemptible].sort(compareGiving)) {
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

function compareGiving(first: PreemptibleTask, second: PreemptibleTask): number {
  return Number(second.isBorrowed) - Number(first.isBorrowed) ||
    first.lossCoreMilliseconds - second.lossCoreMilliseconds;
}

/** Gets the tasks that ran within their team's share, and the work that may be lost. */
function getCost(giving: readonly PreemptibleTask[]): readonly [number, number] {
  const owned = giving.filter((task) => !task.isBorrowed).length;
  return [owned, giving.reduce((sum, task) => sum + task.lossCoreMilliseconds, 0)];
}

function takeRoom(
  worker: PreemptionCandidate,
  choice: Preemption,
  size: TaskSize,
): PreemptionCandidate {
  const freed = choice.preempted.reduce(
    (free, task) => addSizes(free, task.reserved),
    worker.room.free,
  );
  return {
    room: { ...worker.room, free: subtractSizes(freed, size) },
    preemptible: worker.preemptible.filter((task) => !choice.preempted.includes(task)),
  };
}

/** A running task of a team, for `findBorrowed`. */
export interface ReservedTask {
  /** The id of the task. */
  taskId: string;
  /** The team. */
  team: string;
  /** What is reserved for it. */
  reserved: TaskSize;
  /** The offset of the record that started it. */
  startedAt: number;
}

/** Options of `findBorrowed`. */
export interface FindBorrowedOptions {
  /** The running tasks of the queue. */
  running: readonly ReservedTask[];
  /** The share of each team that runs or waits. */
  shares: ReadonlyMap<string, number>;
  /** All that the workers of the queue have. */
  total: TaskSize;
}

/** Finds the tasks on borrowed capacity: the newest of each team that has more than its share. */
export function findBorrowed(options: FindBorrowedOptions): Set<string> {
  const borrowed = new Set<string>();
  const sum = [...options.shares.values()].reduce((total, share) => total + share, 0);
  for (const [team, tasks] of groupByTeam(options.running)) {
    const own = (options.shares.get(team) ?? 0) / sum;
    let reserved = tasks.map((task) => task.reserved).reduce(addSizes);
    for (const task of tasks.sort((first, second) => second.startedAt - first.startedAt)) {
      if (getDominantShare(reserved, options.total) <= own) break;
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
