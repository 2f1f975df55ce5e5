/** Delays the next hand-over of an owner whose hand-overs have failed. */

/** The pause after the first failure, in milliseconds; it doubles with each further one. */
const INITIAL_PAUSE_MILLISECONDS = 15_000;

/** Computes the pause between hand-overs of one process. */
export class HandOverBackoff {
  #failures = 0;
  #notBefore = -Infinity;

  private constructor() {}

  /** Creates a backoff without failures. */
  static create(): HandOverBackoff {
    return new HandOverBackoff();
  }

  /** Records a failed hand-over, and gets the pause that follows, in milliseconds. */
  recordFailure(now: number): number {
    const pause = INITIAL_PAUSE_MILLISECONDS * 2 ** this.#failures;
    this.#failures += 1;
    this.#notBefore = now + pause;
    return pause;
  }

  /** Records that the named successor has claimed the fleet. */
  recordSuccess(): void {
    this.#failures = 0;
  }

  /** Gets the time before which this process hands over to nobody. */
  getEarliestTime(): number {
    return this.#notBefore;
  }
}
