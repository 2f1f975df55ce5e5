/** The highest limit of a resource under which something may still be held. */

import type { LoanResource } from "./loan_resource.ts";

/** Keeps for how long a higher limit ago something lent under it may be held. */
export class LimitHistory {
  #lowered: { limit: number; until: number }[] = [];
  #limit: number | undefined;

  private constructor() {}

  /** Creates the history of a limit that was not seen yet. */
  static create(): LimitHistory {
    return new LimitHistory();
  }

  /**
   * Notes the limit; a limit that it replaces counts for `windowMilliseconds` more. A limit that was
   * lowered before this process followed the log counts as infinite, since nobody knows when.
   */
  setLimit(resource: LoanResource, windowMilliseconds: number, now: number): void {
    const { limit, highestLimit } = resource;
    const until = now + windowMilliseconds;
    const before = this.#limit ?? (highestLimit > limit ? Infinity : limit);
    if (limit < before) this.#lowered.push({ limit: before, until });
    this.#limit = limit;
  }

  /** Gets the highest limit that counts. */
  getMaximum(now: number): number {
    this.#lowered = this.#lowered.filter((lowered) => now < lowered.until);
    let highest = this.#limit ?? 0;
    for (const lowered of this.#lowered) highest = Math.max(highest, lowered.limit);
    return highest;
  }
}
