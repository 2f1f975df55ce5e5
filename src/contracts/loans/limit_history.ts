/** The limits of a resource under which permits may still be held. */

import type { LoanResource } from "./loan_resource.ts";

/** Keeps the higher limits of a resource for as long as permits lent under them may be held. */
export class LimitHistory {
  #lowered: { limit: number; until: number }[] = [];
  #limit: number | undefined;

  private constructor() {}

  /** Creates a history without a limit. */
  static create(): LimitHistory {
    return new LimitHistory();
  }

  /**
   * Sets the limit; a higher one that it replaces is retained for `retentionMilliseconds`. If the
   * limit was lowered before this process followed the log, the earlier one counts as infinite,
   * because the time of that change is not known.
   */
  setLimit(resource: LoanResource, retentionMilliseconds: number, now: number): void {
    const { limit, highestLimit } = resource;
    const until = now + retentionMilliseconds;
    const previous = this.#limit ?? (highestLimit > limit ? Infinity : limit);
    if (limit < previous) this.#lowered.push({ limit: previous, until });
    this.#limit = limit;
  }

  /** Gets the highest limit under which permits may be held. */
  getMaximum(now: number): number {
    this.#lowered = this.#lowered.filter((lowered) => now < lowered.until);
    let highest = this.#limit ?? 0;
    for (const lowered of this.#lowered) highest = Math.max(highest, lowered.limit);
    return highest;
  }
}
