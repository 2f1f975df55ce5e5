/** An amount of memory that several holders share. */

/** The part of the memory from which on those who hold most of it get no more. */
const SHARED_FRACTION = 0.75;
/** The part of the memory that one holder has if it holds most of it. */
const MOST_FRACTION = 0.5;

/** An amount of memory with its parts by holder, in bytes. */
export class SharedBytes {
  readonly #bytesByHolder = new Map<string, number>();
  #bytes = 0;

  private constructor() {}

  /** Creates an amount of nothing. */
  static create(): SharedBytes {
    return new SharedBytes();
  }

  /** Gets the whole amount. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Gets what a holder has. */
  getBytesOf(holder: string): number {
    return this.#bytesByHolder.get(holder) ?? 0;
  }

  /** Adds to what a holder has; a negative number removes. */
  add(holder: string, bytes: number): void {
    if (bytes === 0) return;
    this.#bytes += bytes;
    const held = this.getBytesOf(holder) + bytes;
    if (held === 0) this.#bytesByHolder.delete(holder);
    else this.#bytesByHolder.set(holder, held);
  }

  /**
   * Gets whether a holder may have more. The last quarter of a maximum is for those who don't hold
   * most of it.
   */
  isOpenTo(holder: string, maximumBytes: number): boolean {
    if (this.#bytes >= maximumBytes) return false;
    if (this.#bytes < maximumBytes * SHARED_FRACTION) return true;
    return this.getBytesOf(holder) <= this.#bytes * MOST_FRACTION;
  }
}
