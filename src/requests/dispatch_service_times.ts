/** The run times of the requests of a service, measured from those that ended. */

import { build, type Histogram } from "hdr-histogram-js";

/** The interval at which the histograms rotate and the older one is discarded. */
const WINDOW_MILLISECONDS = 15_000;

/** The minimum number of runs for a median. */
const MINIMUM_RUNS = 20;

/** How long a computed median is cached. */
const MEDIAN_CACHE_MILLISECONDS = 250;

/** The maximum run time in the histograms; longer ones are recorded as this. */
const MAXIMUM_RUN_MILLISECONDS = 3_600_000;

/** The run times of a service, in two histograms that rotate. */
export class ServiceTimes {
  #newer: Histogram = createHistogram();
  #older: Histogram = createHistogram();
  #rotatedAt = 0;
  #median = 0;
  #medianAt = -Infinity;

  private constructor() {}

  /** Creates empty run times. */
  static create(): ServiceTimes {
    return new ServiceTimes();
  }

  /** Adds the run time of an ended request. */
  add(milliseconds: number, now: number): void {
    if (now - this.#rotatedAt >= WINDOW_MILLISECONDS) this.#rotate(now);
    const rounded = Math.min(MAXIMUM_RUN_MILLISECONDS, Math.max(1, Math.round(milliseconds)));
    this.#newer.recordValue(rounded);
  }

  /** Gets the median run time in milliseconds, or 0 while there are too few runs. */
  getMedian(now: number): number {
    if (now - this.#medianAt < MEDIAN_CACHE_MILLISECONDS) return this.#median;
    this.#medianAt = now;
    const count = this.#newer.totalCount + this.#older.totalCount;
    if (count < MINIMUM_RUNS) return this.#median = 0;
    const source = this.#newer.totalCount >= MINIMUM_RUNS ? this.#newer : this.#older;
    return this.#median = source.getValueAtPercentile(50);
  }

  #rotate(now: number): void {
    const oldest = this.#older;
    oldest.reset();
    this.#older = this.#newer;
    this.#newer = oldest;
    this.#rotatedAt = now;
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_RUN_MILLISECONDS,
    numberOfSignificantValueDigits: 2,
  });
}
