/** Delays the next claim of a host whose earlier claims were taken over soon. */

/** How long a host must hold a claim so that its end is no failure, in milliseconds. */
const STABLE_MILLISECONDS = 15_000;
/** The delay after the first failure, in milliseconds; it doubles with each further one. */
const INITIAL_DELAY_MILLISECONDS = 500;
/** The maximum delay, in milliseconds. */
const MAXIMUM_DELAY_MILLISECONDS = 8_000;

/**
 * Computes an exponential delay: a host that could not keep the fleet leaves it to others for a
 * while, so that ownership does not pass around faster than a take-over takes.
 */
export class ClaimBackoff {
  #failures = 0;
  #heldSince: number | undefined;
  #failedAt = -Infinity;

  private constructor() {}

  /** Creates a backoff without failures. */
  static create(): ClaimBackoff {
    return new ClaimBackoff();
  }

  /** Records that this host holds the claim. */
  recordHeld(now: number): void {
    this.#heldSince ??= now;
    if (now - this.#heldSince >= STABLE_MILLISECONDS) this.#failures = 0;
  }

  /** Records that another host has taken over. */
  recordTakenOver(now: number): void {
    if (this.#heldSince === undefined) return;
    const isFailure = now - this.#heldSince < STABLE_MILLISECONDS;
    this.#failures = isFailure ? this.#failures + 1 : 0;
    if (isFailure) this.#failedAt = now;
    this.#heldSince = undefined;
  }

  /** Records that this host has released its claim. */
  recordReleased(): void {
    this.#heldSince = undefined;
  }

  /**
   * Gets whether the last failure is so long ago that another owner may hand over to this host: as
   * long as a claim must be held to be no failure, and twice as long after each further failure.
   */
  hasRecovered(now: number): boolean {
    if (this.#failures === 0) return true;
    return now - this.#failedAt >= STABLE_MILLISECONDS * 2 ** (this.#failures - 1);
  }

  /** Gets the delay of the next claim, in milliseconds. */
  getDelay(): number {
    if (this.#failures === 0) return 0;
    const delay = INITIAL_DELAY_MILLISECONDS * 2 ** (this.#failures - 1);
    return Math.min(MAXIMUM_DELAY_MILLISECONDS, delay);
  }
}
