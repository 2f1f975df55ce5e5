/** An index of workers by their free capacity. */

import { addSizes, isWithin, subtractSizes, type TaskSize } from "./task_size.ts";

/** The number of index buckets per core. */
const BUCKETS_PER_CORE = 4;

/** A worker with its free capacity. */
export interface WorkerCapacity {
  /** The name of the worker. */
  worker: string;
  /** The rack, a failure domain. */
  rack: string;
  /** The free resources. */
  free: TaskSize;
}

/** Gets whether a worker may be chosen. */
export type IsWorkerAllowed = (candidate: WorkerCapacity) => boolean;

/** The workers with the same numbers of free accelerators and of free quarters of a core. */
interface Bucket {
  /** The workers by whole gigabytes of free memory. */
  bands: (Map<string, WorkerCapacity> | undefined)[];
  /** The number of workers. */
  count: number;
}

/**
 * Finds workers by free capacity. The search time grows with the number of distinct capacities, not
 * with the number of workers.
 */
export class WorkerIndex {
  readonly #workers = new Map<string, WorkerCapacity>();
  /** The buckets by free accelerators, then by free quarters of a core. */
  readonly #buckets: (Bucket | undefined)[][] = [];

  private constructor() {}

  static create(workers: Iterable<WorkerCapacity> = []): WorkerIndex {
    const index = new WorkerIndex();
    for (const worker of workers) index.set(worker);
    return index;
  }

  getSize(): number {
    return this.#workers.size;
  }

  /** Gets a worker with its free capacity. */
  getWorker(worker: string): WorkerCapacity | undefined {
    return this.#workers.get(worker);
  }

  /** Gets the workers, in the order in which they were first added. */
  getWorkers(): Iterable<WorkerCapacity> {
    return this.#workers.values();
  }

  /** Adds a worker, or replaces its free capacity. */
  set(capacity: WorkerCapacity): void {
    const before = this.#workers.get(capacity.worker);
    if (before !== undefined) this.#removeFromBucket(before);
    this.#workers.set(capacity.worker, capacity);
    this.#addToBucket(capacity);
  }

  remove(worker: string): void {
    const before = this.#workers.get(worker);
    if (before === undefined) return;
    this.#workers.delete(worker);
    this.#removeFromBucket(before);
  }

  /** Reserves resources on a worker. */
  reserve(worker: string, size: TaskSize): void {
    const before = this.#workers.get(worker);
    if (before !== undefined) this.set({ ...before, free: subtractSizes(before.free, size) });
  }

  /** Releases reserved resources on a worker. */
  release(worker: string, size: TaskSize): void {
    const before = this.#workers.get(worker);
    if (before !== undefined) this.set({ ...before, free: addSizes(before.free, size) });
  }

  /** Finds the worker left with the least free accelerators, then cores, then memory. */
  findBestFit(size: TaskSize, isAllowed: IsWorkerAllowed): WorkerCapacity | undefined {
    for (let free = size.accelerators; free < this.#buckets.length; free += 1) {
      const byCores = this.#buckets[free] ?? [];
      for (let cores = getCoresBucket(size); cores < byCores.length; cores += 1) {
        const found = findInBucket(byCores[cores], size, isAllowed);
        if (found !== undefined) return found;
      }
    }
    return undefined;
  }

  #addToBucket(capacity: WorkerCapacity): void {
    const bucket = this.#getBucket(capacity.free);
    bucket.count += 1;
    (bucket.bands[getMemoryBand(capacity.free)] ??= new Map()).set(capacity.worker, capacity);
  }

  #removeFromBucket(capacity: WorkerCapacity): void {
    const bucket = this.#getBucket(capacity.free);
    bucket.count -= 1;
    bucket.bands[getMemoryBand(capacity.free)]?.delete(capacity.worker);
  }

  #getBucket(free: TaskSize): Bucket {
    const byCores = this.#buckets[Math.max(0, free.accelerators)] ??= [];
    return byCores[getCoresBucket(free)] ??= { bands: [], count: 0 };
  }
}

function findInBucket(
  bucket: Bucket | undefined,
  size: TaskSize,
  isAllowed: IsWorkerAllowed,
): WorkerCapacity | undefined {
  if (bucket === undefined || bucket.count === 0) return undefined;
  const { bands } = bucket;
  for (let index = getMemoryBand(size); index < bands.length; index += 1) {
    const band = bands[index];
    if (band === undefined || band.size === 0) continue;
    for (const candidate of band.values()) {
      if (isWithin(size, candidate.free) && isAllowed(candidate)) return candidate;
    }
  }
  return undefined;
}

function getCoresBucket(size: TaskSize): number {
  return Math.max(0, Math.floor(size.cores * BUCKETS_PER_CORE));
}

function getMemoryBand(size: TaskSize): number {
  return Math.max(0, Math.floor(size.memoryGigabytes));
}
