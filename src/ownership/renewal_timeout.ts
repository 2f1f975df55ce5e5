/** How long other hosts wait for the renewal of a claim before they take over. */

/** The timeout of a holder that renews on time, in milliseconds: over three renewal intervals. */
export const MINIMUM_RENEWAL_TIMEOUT_MILLISECONDS = 1_000;
/** The maximum timeout, in milliseconds: a holder that has stopped is replaced after it. */
export const MAXIMUM_RENEWAL_TIMEOUT_MILLISECONDS = 4_000;
/** The number of cores with which a take-over delays no renewal. */
const SUFFICIENT_CORES = 0.5;
/** The timeout as a multiple of the longest recent interval between renewals. */
const INTERVAL_MULTIPLIER = 3;
/** How long an interval counts as recent, in milliseconds. */
const RECENT_MILLISECONDS = 10_000;

/**
 * Computes the timeout that a holder publishes with its claim, from its CPU and from the intervals
 * at which its renewals were confirmed. A slow holder that still renews is not taken over: its
 * successor would have to do the same work and a take-over besides.
 */
export class RenewalTimeout {
  readonly #initialMilliseconds: number;
  #intervals: { at: number; milliseconds: number }[] = [];

  private constructor(cores: number) {
    this.#initialMilliseconds = limit(
      MINIMUM_RENEWAL_TIMEOUT_MILLISECONDS * SUFFICIENT_CORES / cores,
    );
  }

  /** Creates the timeout of a process that may use the given number of cores. */
  static create(cores: number): RenewalTimeout {
    return new RenewalTimeout(cores);
  }

  /** Records the interval from one confirmed renewal to the next, in milliseconds. */
  recordInterval(milliseconds: number, now: number): void {
    this.#intervals = this.#intervals.filter(({ at }) => now - at < RECENT_MILLISECONDS);
    this.#intervals.push({ at: now, milliseconds });
  }

  /** Gets the timeout, in milliseconds. */
  getMilliseconds(): number {
    const longest = Math.max(0, ...this.#intervals.map(({ milliseconds }) => milliseconds));
    return Math.max(this.#initialMilliseconds, limit(longest * INTERVAL_MULTIPLIER));
  }
}

/** Gets the timeout that a claim publishes, within the limits; the minimum if it has no valid one. */
export function getPublishedTimeout(milliseconds: number | undefined): number {
  return Number.isFinite(milliseconds)
    ? limit(milliseconds!)
    : MINIMUM_RENEWAL_TIMEOUT_MILLISECONDS;
}

function limit(milliseconds: number): number {
  return Math.min(
    MAXIMUM_RENEWAL_TIMEOUT_MILLISECONDS,
    Math.max(MINIMUM_RENEWAL_TIMEOUT_MILLISECONDS, Math.round(milliseconds)),
  );
}
