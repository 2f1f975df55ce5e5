/** Tells which jobs a customer hands in beyond its share. */

/** How many seconds of its share a customer may save up. */
const BURST_SECONDS = 1;

interface Allowance {
  left: number;
  at: number;
}

/** A token bucket for each customer, filled by its weight in jobs a second. */
export class ShareMeter {
  readonly #allowances = new Map<string, Allowance>();

  private constructor() {}

  /** Creates a meter on which nobody has used anything. */
  static create(): ShareMeter {
    return new ShareMeter();
  }

  /** Counts a job, and gets whether it is beyond the customer's share. */
  isBeyondShare(customer: string, weight: number, now: number): boolean {
    const most = Math.max(1, weight * BURST_SECONDS);
    const before = this.#allowances.get(customer) ?? { left: most, at: now };
    const left = Math.min(most, before.left + weight * (now - before.at) / 1_000);
    const isBeyond = left < 1;
    this.#allowances.set(customer, { left: isBeyond ? left : left - 1, at: now });
    return isBeyond;
  }
}
