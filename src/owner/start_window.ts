/** Limits how many start orders are unanswered at once, so that a slow link or host is not flooded. */

/** The limit of an owner that has sent no order yet. */
const INITIAL_LIMIT = 64;
/** The minimum limit, with which a slow link still makes progress. */
const MINIMUM_LIMIT = 8;
/** The maximum limit: more than any fleet answers within the target latency. */
const MAXIMUM_LIMIT = 512;
/** The latency above which orders are queued somewhere, in milliseconds: many times that of a healthy fleet. */
const TARGET_LATENCY_MILLISECONDS = 150;
/** The factor by which the limit shrinks. */
const DECREASE_FACTOR = 0.7;
/**
 * How long an unanswered order counts, in milliseconds: an executor that never answers must not hold
 * up the starts of others.
 */
const MAXIMUM_PENDING_MILLISECONDS = 600;

/**
 * A congestion window with additive increase and multiplicative decrease. It answers a load of more
 * starts than the owner's link or processor carries: without it, orders and the renewals of leases
 * wait behind each other until both time out.
 */
export class StartWindow {
  #limit = INITIAL_LIMIT;
  #reducedAt = -Infinity;
  /** When each unanswered order was sent, in the order of sending. */
  readonly #pending = new Map<number, number>();
  #orderCount = 0;

  private constructor() {}

  /** Creates a window without unanswered orders. */
  static create(): StartWindow {
    return new StartWindow();
  }

  /** Gets the maximum number of unanswered orders. */
  getLimit(): number {
    return Math.floor(this.#limit);
  }

  /** Gets whether another order may be sent. */
  hasRoom(now: number): boolean {
    for (const [order, sentAt] of this.#pending) {
      if (now - sentAt < MAXIMUM_PENDING_MILLISECONDS) break;
      this.#pending.delete(order);
    }
    return this.#pending.size < this.getLimit();
  }

  /** Records an order, and returns its number for `recordAnswer`. */
  recordSent(now: number): number {
    this.#orderCount += 1;
    this.#pending.set(this.#orderCount, now);
    return this.#orderCount;
  }

  /** Records that an order was answered or has timed out, `milliseconds` after it was sent. */
  recordAnswer(order: number, milliseconds: number, now: number): void {
    this.#pending.delete(order);
    if (milliseconds <= TARGET_LATENCY_MILLISECONDS) {
      this.#limit = Math.min(MAXIMUM_LIMIT, this.#limit + 1 / this.#limit);
      return;
    }
    // Orders that were sent before the last reduction say nothing about the reduced limit.
    if (now - milliseconds < this.#reducedAt) return;
    this.#reducedAt = now;
    this.#limit = Math.max(MINIMUM_LIMIT, this.#limit * DECREASE_FACTOR);
  }
}
