/** A buffer that grows with the body of a request. */

/** The initial capacity of a body's buffer, in bytes. */
const INITIAL_CAPACITY_BYTES = 1_024;

/** Counts the memory of bodies. */
export interface BodyMemory {
  /** Reserves memory; returns false if there is not enough. */
  reserve(bytes: number): boolean;
  /** Releases reserved memory. */
  release(bytes: number): void;
}

/** Collects the bytes of one body in a buffer that grows, so that small chunks cost their size. */
export class BodyBuffer {
  readonly #budget: BodyMemory;
  readonly #largestBytes: number;
  #buffer: Buffer = Buffer.alloc(0);
  /** The number of bytes in the buffer. */
  length = 0;

  private constructor(budget: BodyMemory, largestBytes: number) {
    this.#budget = budget;
    this.#largestBytes = largestBytes;
  }

  static create(budget: BodyMemory, largestBytes: number): BodyBuffer {
    return new BodyBuffer(budget, largestBytes);
  }

  /** Gets the reserved memory, in bytes. */
  getCapacity(): number {
    return this.#buffer.length;
  }

  /** Adds bytes; returns false if there is no memory for them. */
  add(bytes: Buffer): boolean {
    const needed = this.length + bytes.length;
    const capacity = this.#buffer.length;
    if (needed > capacity) {
      const wanted = Math.min(Math.max(2 * capacity, INITIAL_CAPACITY_BYTES), this.#largestBytes);
      const grown = Math.max(needed, wanted);
      if (!this.#budget.reserve(grown - capacity)) return false;
      const buffer = Buffer.allocUnsafeSlow(grown);
      this.#buffer.copy(buffer, 0, 0, this.length);
      this.#buffer = buffer;
    }
    bytes.copy(this.#buffer, this.length);
    this.length = needed;
    return true;
  }

  /** Gets the collected bytes. */
  getBytes(): Buffer {
    return this.#buffer.subarray(0, this.length);
  }

  /** Drops all bytes and releases their memory. */
  clear(): void {
    this.#budget.release(this.#buffer.length);
    this.#buffer = Buffer.alloc(0);
    this.length = 0;
  }
}
