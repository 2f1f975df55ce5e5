/** A set of the numbers of occurrences. */

/** Consecutive numbers. */
interface NumberRange {
  first: number;
  /** The number after the last one. */
  end: number;
}

/**
 * A set of numbers that is kept as ranges: its memory grows with its gaps, not with its size. Only
 * occurrences that a job still has at a time leave gaps between its completed ones.
 */
export class OccurrenceSet {
  /** The ranges, in ascending order; numbers that follow each other are in one range. */
  readonly #ranges: NumberRange[] = [];
  #size = 0;

  private constructor() {}

  /** Creates an empty set. */
  static create(): OccurrenceSet {
    return new OccurrenceSet();
  }

  /** Gets the number of elements. */
  get size(): number {
    return this.#size;
  }

  /** Gets whether a number is in the set. */
  has(number: number): boolean {
    return this.findMissing(number) !== number;
  }

  /** Finds the lowest number from a given one on that is not in the set. */
  findMissing(from: number): number {
    const range = this.#ranges[this.#findIndex(from)];
    return range !== undefined && range.first <= from ? range.end : from;
  }

  /** Adds a number. */
  add(number: number): void {
    this.addRange(number, 1);
  }

  /** Adds a count of consecutive numbers. */
  addRange(first: number, count: number): void {
    if (count <= 0) return;
    const range = { first, end: first + count };
    const start = this.#findIndex(first - 1);
    let stop = start;
    while (stop < this.#ranges.length && this.#ranges[stop]!.first <= range.end) {
      const joined = this.#ranges[stop]!;
      range.first = Math.min(range.first, joined.first);
      range.end = Math.max(range.end, joined.end);
      this.#size -= joined.end - joined.first;
      stop += 1;
    }
    this.#size += range.end - range.first;
    this.#ranges.splice(start, stop - start, range);
  }

  /** Gets the ranges in ascending order, each as its first number and the count of its numbers. */
  *getRanges(): Generator<[first: number, count: number]> {
    for (const { first, end } of this.#ranges) yield [first, end - first];
  }

  /** Finds the index of the first range that ends after a number. */
  #findIndex(number: number): number {
    let low = 0;
    let high = this.#ranges.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#ranges[middle]!.end > number) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}
