/** Logs that limits were reached: at most a few lines a second for each kind, with counts. */

import type { EventFields, EventLog } from "../events/mod.ts";

/** The interval in which lines are counted, in milliseconds. */
const INTERVAL_MILLISECONDS = 1_000;
/** The maximum number of kinds that are counted; others share one count. */
const MAXIMUM_KINDS = 100;
/** The kind of those above the maximum. */
const OTHER_KINDS = "other";

/** Options of a `LimitLog`. */
export interface LimitLogOptions {
  /** The name of the events. */
  event: string;
  /** The maximum number of lines of a kind in a second. */
  linesPerSecond: number;
  log: EventLog;
}

/** What was logged of a kind in the current interval. */
interface Interval {
  startedAt: number;
  lines: number;
  /** The events since the last line, which had no line of their own. */
  unlogged: number;
}

/** Counts the events of each kind, and logs those within the rate. */
export class LimitLog {
  readonly #options: LimitLogOptions;
  readonly #intervals = new Map<string, Interval>();

  private constructor(options: LimitLogOptions) {
    this.#options = options;
  }

  static create(options: LimitLogOptions): LimitLog {
    return new LimitLog(options);
  }

  /** Logs an event, or counts it if its kind has had its lines; the next line has the count. */
  add(kind: string, now: number, fields: EventFields): void {
    const interval = this.#getInterval(kind, now);
    if (interval.lines >= this.#options.linesPerSecond) {
      interval.unlogged += 1;
      return;
    }
    interval.lines += 1;
    const count = interval.unlogged === 0 ? undefined : interval.unlogged + 1;
    this.#options.log(this.#options.event, { ...fields, count });
    interval.unlogged = 0;
  }

  /** Logs the counts of kinds whose events have ended. */
  flush(now: number): void {
    for (const [kind, interval] of this.#intervals) {
      if (now - interval.startedAt < INTERVAL_MILLISECONDS) continue;
      this.#intervals.delete(kind);
      if (interval.unlogged === 0) continue;
      this.#options.log(this.#options.event, { kind, count: interval.unlogged });
    }
  }

  #getInterval(kind: string, now: number): Interval {
    const isKnown = this.#intervals.has(kind) || this.#intervals.size < MAXIMUM_KINDS;
    const name = isKnown ? kind : OTHER_KINDS;
    let interval = this.#intervals.get(name);
    if (interval === undefined) {
      interval = { startedAt: now, lines: 0, unlogged: 0 };
      this.#intervals.set(name, interval);
    } else if (now - interval.startedAt >= INTERVAL_MILLISECONDS) {
      interval.startedAt = now;
      interval.lines = 0;
    }
    return interval;
  }
}
