/** An index of workers by the room that is left on them. */

import { addSizes, isWithin, subtractSizes, type TaskSize } from "./task_size.ts";

/** The buckets of the index for one core. */
const BUCKETS_PER_CORE = 4;

/** A worker with the room that is left on it. */
export interface WorkerCapacity {
  /** The name of the worker. */
  worker: string;
  /** The rack, which fails as one. */
  rack: string;
  /** What is free. */
  free: TaskSize;
}

/** Gets whether a worker may be chosen. */
export type IsWorkerAllowed = (room: WorkerCapacity) => boolean;

/** The workers with the same free accelerators and quarters of cores. */
interface Bucket {
  /** By whole gigabytes of free memory. */
  bands: (Map<string, WorkerCapacity> | undefined)[];
  /** The number of workers. */
  count: number;
}

/** Finds workers with room; the work of a search grows with the kinds of rooms, not with the workers. */
export class WorkerIndex {
  readonly #rooms = new Map<string, WorkerCapacity>();
  /** By free accelerators, then by free quarters of cores. */
  readonly #buckets: (Bucket | undefined)[][] = [];

  private constructor() {}

  /** Creates an index of these workers. */
  static create(rooms: Iterable<WorkerCapacity> = []): WorkerIndex {
    const index = new WorkerIndex();
    for (const room of rooms) index.set(room);
    return index;
  }

  /** Gets the number of workers. */
  getSize(): number {
    return this.#rooms.size;
  }

  /** Gets the room on a worker. */
  getWorker(worker: string): WorkerCapacity | undefined {
    return this.#rooms.get(worker);
  }

  /** Gets the rooms, in the order in which workers were first added. */
  getWorkers(): Iterable<WorkerCapacity> {
    return this.#rooms.values();
  }

  /** Adds a worker, or changes the room on it. */
  set(room: WorkerCapacity): void {
    const before = this.#rooms.get(room.worker);
    if (before !== undefined) this.#takeOut(before);
    this.#rooms.set(room.worker, room);
    this.#putIn(room);
  }

  /** Removes a worker. */
  remove(worker: string): void {
    const before = this.#rooms.get(worker);
    if (before === undefined) return;
    this.#rooms.delete(worker);
    this.#takeOut(before);
  }

  /** Takes room on a worker. */
  reserve(worker: string, size: TaskSize): void {
    const room = this.#rooms.get(worker);
    if (room !== undefined) this.set({ ...room, free: subtractSizes(room.free, size) });
  }

  /** Gives room on a worker back. */
  release(worker: string, size: TaskSize): void {
    const room = this.#rooms.get(worker);
    if (room !== undefined) this.set({ ...room, free: addSizes(room.free, size) });
  }

  /** Finds the worker on which the least stays free: accelerators first, then cores, then memory. */
  findBestFit(size: TaskSize, isAllowed: IsWorkerAllowed): WorkerCapacity | undefined {
    for (let free = size.accelerators; free < this.#buckets.length; free += 1) {
      const byCores = this.#buckets[free] ?? [];
      for (let cores = getCoresNumber(size); cores < byCores.length; cores += 1) {
        const found = findInBucket(byCores[cores], size, isAllowed);
        if (found !== undefined) return found;
      }
    }
    return undefined;
  }

  #putIn(room: WorkerCapacity): void {
    const bucket = this.#getBucket(room.free);
    bucket.count += 1;
    (bucket.bands[getMemoryNumber(room.free)] ??= new Map()).set(room.worker, room);
  }

  #takeOut(room: WorkerCapacity): void {
    const bucket = this.#getBucket(room.free);
    bucket.count -= 1;
    bucket.bands[getMemoryNumber(room.free)]?.delete(room.worker);
  }

  #getBucket(free: TaskSize): Bucket {
    const byCores = this.#buckets[Math.max(0, free.accelerators)] ??= [];
    return byCores[getCoresNumber(free)] ??= { bands: [], count: 0 };
  }
}

function findInBucket(
  bucket: Bucket | undefined,
  size: TaskSize,
  isAllowed: IsWorkerAllowed,
): WorkerCapacity | undefined {
  if (bucket === undefined || bucket.count === 0) return undefined;
  const { bands } = bucket;
  for (let number = getMemoryNumber(size); number < bands.length; number += 1) {
    const band = bands[number];
    if (band === undefined || band.size === 0) continue;
    for (const room of band.values()) {
      if (isWithin(size, room.free) && isAllowed(room)) return room;
    }
  }
  return undefined;
}

function getCoresNumber(size: TaskSize): number {
  return Math.max(0, Math.floor(size.cores * BUCKETS_PER_CORE));
}

function getMemoryNumber(size: TaskSize): number {
  return Math.max(0, Math.floor(size.memoryGigabytes));
}
