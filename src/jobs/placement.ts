/** Places tasks on workers. */

import { isWithin, type TaskSize } from "./task_size.ts";
import type { IsWorkerAllowed, WorkerCapacity, WorkerIndex } from "./worker_index.ts";

/** Chooses the worker for one task. */
export type ChooseWorker = (
  index: WorkerIndex,
  size: TaskSize,
  isAllowed: IsWorkerAllowed,
) => WorkerCapacity | undefined;

/** Best fit: chooses the worker that is left with the least free capacity. */
export const chooseBestFit: ChooseWorker = (index, size, isAllowed) =>
  index.findBestFit(size, isAllowed);

/** First fit, the baseline: chooses the first worker with enough free capacity. */
export const chooseFirstFit: ChooseWorker = (index, size, isAllowed) => {
  for (const candidate of index.getWorkers()) {
    if (isWithin(size, candidate.free) && isAllowed(candidate)) return candidate;
  }
  return undefined;
};

/** A task to place. */
export interface TaskToPlace {
  /** The index of the task in its job. */
  task: number;
  /** The resources to reserve for it. */
  size: TaskSize;
}

/** A task with its worker. */
export interface PlacedTask extends TaskToPlace {
  /** The name of the worker. */
  worker: string;
}

/** Options of `placeTogether`. */
export interface PlaceTogetherOptions {
  /** The workers; the placed tasks are reserved on them. */
  index: WorkerIndex;
  tasks: readonly TaskToPlace[];
  /** The maximum number of tasks of the job in one rack; 0 for no limit. */
  mostPerRack: number;
  /** The rack of each running task of the job. */
  occupiedRacks: readonly string[];
  /** Chooses the worker for one task. */
  chooseWorker: ChooseWorker;
  /** Gets whether a worker may be chosen. */
  isAllowed: IsWorkerAllowed;
}

/** Places all tasks, the largest first; if one fits nowhere, places and reserves none. */
export function placeTogether(options: PlaceTogetherOptions): PlacedTask[] | undefined {
  const { index, chooseWorker, mostPerRack } = options;
  const countByRack = countRacks(options.occupiedRacks);
  const isAllowed: IsWorkerAllowed = (candidate) =>
    (mostPerRack === 0 || (countByRack.get(candidate.rack) ?? 0) < mostPerRack) &&
    options.isAllowed(candidate);
  const placed: PlacedTask[] = [];
  for (const task of [...options.tasks].sort(compareBySize)) {
    const chosen = chooseWorker(index, task.size, isAllowed);
    if (chosen === undefined) {
      for (const { worker, size } of placed) index.release(worker, size);
      return undefined;
    }
    index.reserve(chosen.worker, task.size);
    countByRack.set(chosen.rack, (countByRack.get(chosen.rack) ?? 0) + 1);
    placed.push({ ...task, worker: chosen.worker });
  }
  return placed;
}

function countRacks(racks: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const rack of racks) counts.set(rack, (counts.get(rack) ?? 0) + 1);
  return counts;
}

function compareBySize(first: TaskToPlace, second: TaskToPlace): number {
  return second.size.accelerators - first.size.accelerators ||
    second.size.cores - first.size.cores ||
    second.size.memoryGigabytes - first.size.memoryGigabytes ||
    first.task - second.task;
}
