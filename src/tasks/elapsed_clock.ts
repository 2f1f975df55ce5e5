/** A clock of elapsed time that includes the time a machine was suspended. */

/** Options of an `ElapsedClock`. */
export interface ElapsedClockOptions {
  /** Gets the monotonic time, in milliseconds. */
  getMonotonicTime: () => number;
  /** Gets the wall-clock time, in milliseconds. */
  getWallClockTime: () => number;
}

/**
 * Measures elapsed time by whichever of the monotonic and the wall clock has advanced further.
 *
 * The monotonic clock may stop while the machine is suspended, and the wall clock may be set back;
 * a wall clock that is set back adds nothing.
 */
export class ElapsedClock {
  readonly #options: ElapsedClockOptions;
  #monotonic: number;
  #wall: number;
  #elapsed = 0;

  private constructor(options: ElapsedClockOptions) {
    this.#options = options;
    this.#monotonic = options.getMonotonicTime();
    this.#wall = options.getWallClockTime();
  }

  /** Creates a clock that starts at zero. It uses the runtime's clocks unless others are given. */
  static create(options?: ElapsedClockOptions): ElapsedClock {
    return new ElapsedClock(
      options ?? { getMonotonicTime: () => performance.now(), getWallClockTime: () => Date.now() },
    );
  }

  /**
   * Creates a monotonic clock, which ignores the wall clock: setting the wall clock forward would end
   * waits early.
   */
  static createMonotonic(): ElapsedClock {
    return new ElapsedClock({
      getMonotonicTime: () => performance.now(),
      getWallClockTime: () => 0,
    });
  }

  /** Gets the elapsed time, in milliseconds. */
  getElapsed(): number {
    const monotonic = this.#options.getMonotonicTime();
    const wall = this.#options.getWallClockTime();
    this.#elapsed += Math.max(monotonic - this.#monotonic, wall - this.#wall, 0);
    this.#monotonic = monotonic;
    this.#wall = wall;
    return this.#elapsed;
  }
}
