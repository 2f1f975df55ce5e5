/** Detects bursts in the arrivals of one service, and measures their rate, height and duration. */

import { addResources, NO_RESOURCES, type Resources } from "../fleet/resources.ts";

/** The windows in which a burst may show, in milliseconds; short ones show a high rate sooner. */
const WINDOWS_MILLISECONDS = [250, 500, 1_000, 2_000];
/** How long arrivals are kept, in milliseconds: the longest window. */
const RETENTION_MILLISECONDS = 2_000;
/** The standard deviations of a count by which its confidence bounds differ from it. */
const CONFIDENCE_DEVIATIONS = 1.5;
/** The minimum number of jobs in a window for a burst to begin. */
const MINIMUM_ONSET_JOBS = 4;
/** The rate of a burst as a multiple of the rate before it, at least. */
const ONSET_FACTOR = 2;
/** The minimum number of jobs in a window for the onset of a burst to be set later. */
const MINIMUM_RISE_JOBS = 6;
/** The minimum time before a rise over which the rate before it is measured, in milliseconds. */
const MINIMUM_RISE_BASE_MILLISECONDS = 500;
/** The time over which the rate between bursts is averaged, in milliseconds. */
const QUIET_MILLISECONDS = 20_000;
/** The jobs and the time in milliseconds that the rate between bursts starts from. */
const QUIET_START_JOBS = 1;
const QUIET_START_MILLISECONDS = 1_000;
/** The number of jobs that a burst's rate lets expect in the window that shows its end. */
const END_WINDOW_JOBS = 8;
/** The fraction of the expected jobs at or below which a burst has ended. */
const END_FRACTION = 0.25;
/** The bounds of the window that shows a burst's end, in milliseconds. */
const MINIMUM_END_WINDOW_MILLISECONDS = 300;
const MAXIMUM_END_WINDOW_MILLISECONDS = 2_000;
/** How long after its end a burst may resume, in milliseconds. */
const RESUMPTION_MILLISECONDS = 1_000;
/** The duration from which on a burst counts as the service's usual load, in milliseconds. */
const MAXIMUM_DURATION_MILLISECONDS = 20_000;
/** The minimum number of jobs and duration of a burst from which anything is learned. */
const MINIMUM_BURST_JOBS = 8;
const MINIMUM_BURST_MILLISECONDS = 500;

/** The arrival of a job. */
export interface DemandArrival {
  /** When the job arrived, on the monotonic clock. */
  at: number;
  /** What the tasks of the job use, times their durations in milliseconds. */
  resourceMilliseconds: Readonly<Resources>;
}

/** A burst of arrivals, under way or ended. */
export interface Burst {
  /** When the first job arrived, on the monotonic clock. */
  onset: number;
  /** When the burst was detected, on the monotonic clock. */
  detectedAt: number;
  /** The number of jobs. */
  jobs: number;
  /** What their tasks use, times their durations in milliseconds. */
  resourceMilliseconds: Resources;
  /** When the last job arrived, on the monotonic clock; undefined while the burst is under way. */
  end: number | undefined;
}

/** A step in the course of a burst. */
export type BurstChange =
  | { kind: "began"; burst: Burst }
  /** The burst has ended and can no longer resume. */
  | { kind: "ended"; burst: Burst };

/** The bounds between which a rate lies, in jobs per millisecond. */
export interface RateBounds {
  lower: number;
  upper: number;
}

/** Watches the arrivals of one service. */
export class BurstDetector {
  #arrivals: DemandArrival[] = [];
  #burst: Burst | undefined;
  #quietJobs = QUIET_START_JOBS;
  #quietMilliseconds = QUIET_START_MILLISECONDS;
  #advancedTo: number;

  private constructor(now: number) {
    this.#advancedTo = now;
  }

  /** Creates a detector that has seen no arrivals before a time. */
  static create(now: number): BurstDetector {
    return new BurstDetector(now);
  }

  /** Adds the arrival of a job. */
  add(arrival: DemandArrival): void {
    this.#arrivals.push(arrival);
    const burst = this.#burst;
    if (burst === undefined || burst.end !== undefined) return;
    burst.jobs += 1;
    addResources(burst.resourceMilliseconds, arrival.resourceMilliseconds);
  }

  /**
   * Detects whether a burst began or ended by a time. Its rate must be above a minimum, in jobs per
   * millisecond.
   */
  advance(now: number, minimumRate: number): BurstChange | undefined {
    this.#forgetArrivals(now);
    this.#advancedTo = now;
    const burst = this.#burst;
    if (burst === undefined) return this.#detectOnset(now, minimumRate);
    if (burst.end !== undefined) {
      if (this.#findOnset(now, minimumRate) !== undefined) {
        this.#resume(burst);
        return undefined;
      }
      if (now - burst.end < RESUMPTION_MILLISECONDS) return undefined;
      this.#burst = undefined;
      return { kind: "ended", burst };
    }
    const rise = this.#findRise(burst, now);
    if (rise !== undefined) {
      this.#burst = this.#createBurst(rise, now);
      return { kind: "began", burst: this.#burst };
    }
    this.#detectEnd(burst, now);
    return undefined;
  }

  /** Gets the burst that is under way. */
  getBurst(): Burst | undefined {
    return this.#burst?.end === undefined ? this.#burst : undefined;
  }

  /** Gets when the last burst ended that may still resume. */
  getRecentEnd(): number | undefined {
    return this.#burst?.end;
  }

  /** Gets the bounds of the rate since a time, which is at most the longest window ago. */
  getRateBounds(since: number, now: number): RateBounds {
    const duration = Math.max(1, now - since);
    const count = this.#countSince(since);
    const deviation = CONFIDENCE_DEVIATIONS * Math.sqrt(Math.max(1, count));
    return {
      lower: Math.max(0, count - deviation) / duration,
      upper: (count + deviation) / duration,
    };
  }

  /**
   * Gets the resources that the arriving jobs are heading for: the lower bound of their rate times
   * what a job uses over its duration.
   */
  getSupportedDemand(now: number): Resources {
    const demand = { ...NO_RESOURCES };
    const windows = WINDOWS_MILLISECONDS.map((window) => {
      const since = now - window;
      const jobs = this.#arrivals.filter(({ at }) => at > since);
      const { lower } = this.getRateBounds(since, now);
      return { jobs, perJob: jobs.length === 0 ? 0 : lower / jobs.length, lower };
    });
    const [best] = windows.sort((first, second) => second.lower - first.lower);
    for (const { resourceMilliseconds } of best!.jobs) {
      addResources(demand, resourceMilliseconds, best!.perJob);
    }
    return demand;
  }

  #countSince(since: number): number {
    let count = 0;
    for (const { at } of this.#arrivals) if (at > since) count += 1;
    return count;
  }

  /** Drops the arrivals of before the longest window; those outside bursts tell the quiet rate. */
  #forgetArrivals(now: number): void {
    const before = this.#advancedTo - RETENTION_MILLISECONDS;
    const boundary = now - RETENTION_MILLISECONDS;
    const burst = this.#burst;
    const isQuiet = burst === undefined || boundary < burst.onset ||
      (burst.end !== undefined && boundary > burst.end);
    const kept = this.#arrivals.filter(({ at }) => at > boundary);
    if (isQuiet) {
      const elapsed = Math.max(0, boundary - before);
      const remaining = Math.exp(-elapsed / QUIET_MILLISECONDS);
      this.#quietJobs = this.#quietJobs * remaining + this.#arrivals.length - kept.length;
      this.#quietMilliseconds = this.#quietMilliseconds * remaining + elapsed;
    }
    this.#arrivals = kept;
  }

  #detectOnset(now: number, minimumRate: number): BurstChange | undefined {
    const onset = this.#findOnset(now, minimumRate);
    if (onset === undefined) return undefined;
    this.#burst = this.#createBurst(onset, now);
    return { kind: "began", burst: this.#burst };
  }

  #createBurst(onset: number, now: number): Burst {
    const burst: Burst = {
      onset,
      detectedAt: now,
      jobs: 0,
      resourceMilliseconds: { ...NO_RESOURCES },
      end: undefined,
    };
    for (const { at, resourceMilliseconds } of this.#arrivals) {
      if (at < onset) continue;
      burst.jobs += 1;
      addResources(burst.resourceMilliseconds, resourceMilliseconds);
    }
    return burst;
  }

  /** Finds the first arrival of the shortest window whose rate is above that between bursts. */
  #findOnset(now: number, minimumRate: number): number | undefined {
    const quietRate = this.#quietJobs / this.#quietMilliseconds;
    const threshold = Math.max(minimumRate, ONSET_FACTOR * quietRate);
    for (const window of WINDOWS_MILLISECONDS) {
      const since = now - window;
      if (this.#countSince(since) < MINIMUM_ONSET_JOBS) continue;
      if (this.getRateBounds(since, now).lower > threshold) return this.#findFirstSince(since);
    }
    return undefined;
  }

  /**
   * Finds the first arrival of a window whose rate is above that of the burst before: what was taken
   * for a burst were single jobs.
   */
  #findRise(burst: Burst, now: number): number | undefined {
    for (const window of WINDOWS_MILLISECONDS) {
      const since = now - window;
      const elapsed = since - burst.onset;
      const count = this.#countSince(since);
      if (elapsed < MINIMUM_RISE_BASE_MILLISECONDS || count < MINIMUM_RISE_JOBS) continue;
      const rateBefore = (burst.jobs - count) / elapsed;
      if (this.getRateBounds(since, now).lower > ONSET_FACTOR * rateBefore) {
        return this.#findFirstSince(since);
      }
    }
    return undefined;
  }

  #findFirstSince(since: number): number | undefined {
    return this.#arrivals.find(({ at }) => at > since)?.at;
  }

  #resume(burst: Burst): void {
    burst.end = undefined;
    for (const { resourceMilliseconds } of this.#arrivals) {
      burst.jobs += 1;
      addResources(burst.resourceMilliseconds, resourceMilliseconds);
    }
  }

  #detectEnd(burst: Burst, now: number): void {
    const duration = now - burst.onset;
    const rate = burst.jobs / duration;
    const window = Math.min(
      MAXIMUM_END_WINDOW_MILLISECONDS,
      Math.max(MINIMUM_END_WINDOW_MILLISECONDS, END_WINDOW_JOBS / rate),
    );
    if (duration > MAXIMUM_DURATION_MILLISECONDS) {
      this.#quietMilliseconds = QUIET_MILLISECONDS;
      this.#quietJobs = rate * QUIET_MILLISECONDS;
      this.#burst = undefined;
      return;
    }
    const since = now - window;
    if (duration < window || this.#countSince(since) > rate * window * END_FRACTION) return;
    const end = this.#arrivals.findLast(({ at }) => at <= since)?.at ?? since;
    burst.end = end;
    // The arrivals of a burst that has ended tell nothing of the rate after it.
    this.#arrivals = this.#arrivals.filter(({ at }) => at > end);
    for (const { resourceMilliseconds } of this.#arrivals) {
      burst.jobs -= 1;
      addResources(burst.resourceMilliseconds, resourceMilliseconds, -1);
    }
  }
}

/** Gets whether a burst has had enough jobs to learn from it. */
export function isSignificant(burst: Burst, now: number): boolean {
  return burst.jobs >= MINIMUM_BURST_JOBS && now - burst.onset >= MINIMUM_BURST_MILLISECONDS;
}
