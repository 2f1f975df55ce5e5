/** Placement: on which workers tasks start. */

import { isWithin, type TaskSize } from "./task_size.ts";
import type { IsWorkerAllowed, WorkerCapacity, WorkerIndex } from "./worker_index.ts";

/** Chooses the worker for one task. */
export type ChooseWorker = (
  index: WorkerIndex,
  size: TaskSize,
  isAllowed: IsWorkerAllowed,
) => WorkerCapacity | undefined;

/** Best fit: chooses the worker on which the least stays free. */
export const chooseBestFit: ChooseWorker = (index, size, isAllowed) =>
  index.findBestFit(size, isAllowed);

/** First fit, the baseline: chooses the first worker with room. */
export const chooseFirstFit: ChooseWorker = (index, size, isAllowed) => {
  for (const room of index.getWorkers()) {
    if (isWithin(size, room.free) && isAllowed(room)) return room;
  }
  return undefined;
};

/** A task that is to be placed. */
export interface TaskToPlace {
  /** The place of the task in its job. */
  task: number;
  /** What it is to reserve. */
  size: TaskSize;
}

/** A task with its worker. */
export interface PlacedTask extends TaskToPlace {
  /** The worker. */
  worker: string;
}

/** Options of `placeTogether`. */
export interface PlaceTogetherOptions {
  /** The workers; room for the placed tasks is reserved on them. */
  index: WorkerIndex;
  /** The tasks. */
  tasks: readonly TaskToPlace[];
  /** The most tasks of the job in one rack; 0 for no bound. */
  mostPerRack: number;
  /** The racks of the job's tasks that run. */
  occupiedRacks: readonly string[];
  /** Chooses the worker for one task. */
  chooseWorker: ChooseWorker;
  /** Gets whether a worker may be chosen. */
  isAllowed: IsWorkerAllowed;
}

/** Places all the tasks, the largest first, or none: then nothing is reserved. */
export function placeTogether(options: PlaceTogetherOptions): PlacedTask[] | undefined {
  const { index, chooseWorker, mostPerRack } = options;
  const countByRack = countRacks(options.occupiedRacks);
  const hasSpace: IsWorkerAllowed = (room) =>
    (mostPerRack === 0 || (countByRack.get(room.rack) ?? 0) < mostPerRack) &&
    options.isAllowed(room);
  const placed: PlacedTask[] = [];
  for (const task of [...options.tasks].sort(compareBySize)) {
    const room = chooseWorker(index, task.size, hasSpace);
    if (room === undefined) {
      for (const { worker, size } of placed) index.release(worker, size);
      return undefined;
    }
    index.reserve(room.worker, task.size);
    countByRack.set(room.rack, (countByRack.get(room.rack) ?? 0) + 1);
    placed.push({ ...task, worker: room.worker });
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
