/** Lets the garbage collector of a process run more often while its memory is nearly used up. */

import type { EventLog } from "../events/mod.ts";

/** The interval at which the memory is measured, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 100;
/** The part of the memory from which on the heap is kept small. */
const SAVING_FRACTION = 0.6;
/** The part of the memory below which the heap may grow again. */
const NORMAL_FRACTION = 0.5;
/** The part of the memory from which on garbage is collected at once. */
const COLLECTION_FRACTION = 0.8;
/** The time between two such collections, in milliseconds; doubled while they do not help. */
const COLLECTION_INTERVAL_MILLISECONDS = 500;
/** The maximum time between two such collections, in milliseconds. */
const MAXIMUM_COLLECTION_INTERVAL_MILLISECONDS = 16_000;
/** The flags that keep new objects in the space that they have, and let the old ones grow slowly. */
const SAVING_FLAGS = ["--semi-space-growth-factor=1", "--optimize-for-size"];
/** The defaults of these flags. */
const NORMAL_FLAGS = ["--semi-space-growth-factor=2", "--no-optimize-for-size"];
const BYTES_PER_MEGABYTE = 1_048_576;

/** Options of a `HeapSaver`. */
export interface HeapSaverOptions {
  /** The memory of the machine, in megabytes. */
  memoryMegabytes: number;
  /** Gets the resident memory of this process, in bytes. */
  getResidentBytes: () => number;
  /** Sets a flag of the runtime's heap. */
  setFlag: (flag: string) => void;
  /** Collects all garbage. */
  collectGarbage: () => void;
  /** Gets the monotonic time, in milliseconds. */
  getTime: () => number;
  log: EventLog;
}

/** Measures the memory, and switches between a heap that grows freely and one that is kept small. */
export class HeapSaver {
  readonly #options: HeapSaverOptions;
  #isSaving = false;
  #collectAt = -Infinity;
  #collectionInterval = COLLECTION_INTERVAL_MILLISECONDS;

  private constructor(options: HeapSaverOptions) {
    this.#options = options;
  }

  static create(options: HeapSaverOptions): HeapSaver {
    return new HeapSaver(options);
  }

  /** Measures regularly from now on; does not keep the process running. */
  start(): void {
    setInterval(() => this.check(), CHECK_INTERVAL_MILLISECONDS).unref();
  }

  /** Measures the memory once. */
  check(): void {
    const { getResidentBytes, log, memoryMegabytes, setFlag } = this.#options;
    const megabytes = getResidentBytes() / BYTES_PER_MEGABYTE;
    this.#collect(megabytes);
    const fraction = this.#isSaving ? NORMAL_FRACTION : SAVING_FRACTION;
    const isSaving = megabytes >= memoryMegabytes * fraction;
    if (isSaving === this.#isSaving) return;
    this.#isSaving = isSaving;
    for (const flag of isSaving ? SAVING_FLAGS : NORMAL_FLAGS) setFlag(flag);
    log(isSaving ? "heap-saving-started" : "heap-saving-ended", {
      megabytes: Math.round(megabytes),
      memory: memoryMegabytes,
    });
  }

  /** Collects garbage if the memory is nearly used up, and less often if that does not help. */
  #collect(megabytes: number): void {
    const { collectGarbage, getTime, memoryMegabytes } = this.#options;
    if (megabytes < memoryMegabytes * COLLECTION_FRACTION) {
      this.#collectionInterval = COLLECTION_INTERVAL_MILLISECONDS;
      return;
    }
    const now = getTime();
    if (now < this.#collectAt) return;
    this.#collectAt = now + this.#collectionInterval;
    this.#collectionInterval = Math.min(
      2 * this.#collectionInterval,
      MAXIMUM_COLLECTION_INTERVAL_MILLISECONDS,
    );
    collectGarbage();
  }
}
