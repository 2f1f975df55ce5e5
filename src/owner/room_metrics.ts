/** Counts reservations, the room that they hold empty, and how long tasks wait by size. */

/** The counts and waiting times of a size of tasks. */
interface WaitTotal {
  starts: number;
  milliseconds: number;
}

/** The metrics of reservations, since the owner has started. */
export class RoomMetrics {
  #made = 0;
  #used = 0;
  #givenUp = 0;
  /** The CPU held empty, integrated over time, in milliseconds of a core. */
  #emptyCoreMilliseconds = 0;
  #emptyCpu = 0;
  #recordedAt: number | undefined;
  readonly #small: WaitTotal = { starts: 0, milliseconds: 0 };
  readonly #large: WaitTotal = { starts: 0, milliseconds: 0 };

  private constructor() {}

  /** Creates metrics without observations. */
  static create(): RoomMetrics {
    return new RoomMetrics();
  }

  /** Records a reservation that was made. */
  recordMade(): void {
    this.#made += 1;
  }

  /** Records a reservation on which all tasks have started. */
  recordUsed(): void {
    this.#used += 1;
  }

  /** Records a reservation that was given up. */
  recordGivenUp(): void {
    this.#givenUp += 1;
  }

  /** Records the CPU held empty from now on, in thousandths of a core. */
  recordEmptyCpu(now: number, emptyCpu: number): void {
    const elapsed = now - (this.#recordedAt ?? now);
    this.#emptyCoreMilliseconds += elapsed * this.#emptyCpu / 1_000;
    this.#recordedAt = now;
    this.#emptyCpu = emptyCpu;
  }

  /** Records the start of a task, and how long its step had been ready, in milliseconds. */
  recordStart(isLarge: boolean, waitedMilliseconds: number): void {
    const total = isLarge ? this.#large : this.#small;
    total.starts += 1;
    total.milliseconds += waitedMilliseconds;
  }

  /** Gets the figures, with the number of reservations and the CPU held empty now. */
  getSummary(reservations: number, emptyCpu: number): Readonly<Record<string, number>> {
    return {
      reservations,
      reservationsMade: this.#made,
      reservationsUsed: this.#used,
      reservationsGivenUp: this.#givenUp,
      heldEmptyCpu: emptyCpu,
      heldEmptyCoreMilliseconds: Math.round(this.#emptyCoreMilliseconds),
      smallTaskStarts: this.#small.starts,
      smallTaskWaitMilliseconds: Math.round(this.#small.milliseconds),
      largeTaskStarts: this.#large.starts,
      largeTaskWaitMilliseconds: Math.round(this.#large.milliseconds),
    };
  }
}
