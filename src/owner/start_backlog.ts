/** Estimates when the starts of a new job can be sent, if the owner is short of link or processor. */

/** The time constant of the measured fraction of blocked dispatches, in milliseconds. */
const SMOOTHING_MILLISECONDS = 1_250;
/** The fraction of blocked dispatches above which the owner itself is what starts wait for. */
const CONGESTED_FRACTION = 0.5;
/** The window over which answered starts are counted, in milliseconds. */
const RATE_WINDOW_MILLISECONDS = 2_000;
/** How long the tasks of an accepted job may wait for the owner, in milliseconds. */
const MAXIMUM_DELAY_MILLISECONDS = 4_000;
/** The range over which the returns of refused callers are spread, in seconds. */
const RETRY_SPREAD_SECONDS = 3;
/** The maximum time after which a refused caller should return, in seconds. */
const MAXIMUM_RETRY_SECONDS = 20;

/**
 * Measures whether starts wait for the owner (its start window is full) rather than for capacity,
 * and how many it completes per second. It answers a load of more starts than the owner can send:
 * a job whose starts would come too late is refused at once, and the accepted ones are kept.
 */
export class StartBacklog {
  #blockedFraction = 0;
  #dispatchedAt: number | undefined;
  /** When the starts within the rate window were answered. */
  #answeredAt: number[] = [];

  private constructor() {}

  /** Creates a backlog of an owner that has started nothing. */
  static create(): StartBacklog {
    return new StartBacklog();
  }

  /** Records a dispatch, and whether the start window kept it from starting all that has room. */
  recordDispatch(isBlocked: boolean, now: number): void {
    const elapsed = now - (this.#dispatchedAt ?? now);
    this.#dispatchedAt = now;
    const weight = 1 - Math.exp(-elapsed / SMOOTHING_MILLISECONDS);
    this.#blockedFraction += (Number(isBlocked) - this.#blockedFraction) * weight;
  }

  /** Records that a start was answered. */
  recordAnswer(now: number): void {
    this.#answeredAt.push(now);
    if (this.#answeredAt[0]! < now - RATE_WINDOW_MILLISECONDS) {
      this.#answeredAt = this.#answeredAt.filter((at) => at >= now - RATE_WINDOW_MILLISECONDS);
    }
  }

  /** Gets whether starts wait for the owner rather than for capacity. */
  isCongested(): boolean {
    return this.#blockedFraction > CONGESTED_FRACTION;
  }

  /**
   * Gets after how many seconds a caller should submit its job again, or undefined if the job can
   * be accepted now. `spread`, from 0 to 1, differs between callers.
   */
  getRetryAfterSeconds(waitingTasks: number, spread: number, now: number): number | undefined {
    if (!this.isCongested()) return undefined;
    const answered = this.#answeredAt.filter((at) => at >= now - RATE_WINDOW_MILLISECONDS).length;
    const perMillisecond = Math.max(1, answered) / RATE_WINDOW_MILLISECONDS;
    const excess = waitingTasks / perMillisecond - MAXIMUM_DELAY_MILLISECONDS;
    if (excess <= 0) return undefined;
    const seconds = Math.ceil(excess / 1_000) + Math.floor(spread * RETRY_SPREAD_SECONDS);
    return Math.min(MAXIMUM_RETRY_SECONDS, seconds);
  }
}
