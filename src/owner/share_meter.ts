/** Determines which jobs a customer submits beyond its share. */

/** The burst size: how many seconds of its share a customer can accumulate. */
const BURST_SECONDS = 1;

interface Bucket {
  tokens: number;
  /** When the tokens were last counted, on the monotonic clock. */
  at: number;
}

/** A token bucket for each customer, refilled with its weight in jobs per second. */
export class ShareMeter {
  readonly #buckets = new Map<string, Bucket>();

  private constructor() {}

  /** Creates a meter with full buckets. */
  static create(): ShareMeter {
    return new ShareMeter();
  }

  /** Counts a job, and gets whether it is beyond the customer's share. */
  exceedsFairShare(customer: string, weight: number, now: number): boolean {
    const size = Math.max(1, weight * BURST_SECONDS);
    const bucket = this.#buckets.get(customer) ?? { tokens: size, at: now };
    const tokens = Math.min(size, bucket.tokens + weight * (now - bucket.at) / 1_000);
    const isBeyond = tokens < 1;
    this.#buckets.set(customer, { tokens: isBeyond ? tokens : tokens - 1, at: now });
    return isBeyond;
  }
}
