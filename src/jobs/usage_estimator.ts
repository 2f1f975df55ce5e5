/**
 * Estimates the resource usage and run times of tasks from the ratio of used to declared amounts of
 * earlier tasks of the team. No margin is added to the observed usage: a task may use all that it
 * reserved, so with a margin the reservations would grow with every task.
 */

import { build, type Histogram } from "hdr-histogram-js";
import type { JobTaskData, TaskUsage } from "./job_data.ts";
import { type TaskSize, toReservation } from "./task_size.ts";

/** Ratios are recorded in thousandths of the declared amount. */
const THOUSANDTHS_PER_UNIT = 1_000;

/** The maximum ratio that is recorded, in thousandths; higher ones count as this one. */
const MAXIMUM_RATIO_THOUSANDTHS = 16_000;

/** The percentile of the observed ratios that is used as the estimate. */
const ESTIMATE_PERCENTILE = 95;

/** The minimum number of observed tasks for an estimate; below it, declared amounts are used. */
const MINIMUM_TASKS = 8;

/** The number of tasks in a generation of observations; the two newest generations are kept. */
const TASKS_PER_GENERATION = 256;

/** The minimum estimate, as a fraction of the declared amount. */
const MINIMUM_RATIO = 0.1;

/** The estimated resource usage and run time of a task. */
export interface UsageEstimate {
  /** The resources to reserve. */
  reservation: TaskSize;
  /** The 95th percentile of the run time, estimated from earlier tasks. */
  runMilliseconds: number;
}

/** Options of `estimate`. */
export interface EstimateOptions {
  team: string;
  /** The task as declared, with the usage of its earlier attempts. */
  task: JobTaskData;
  /** The maximum of each resource on one worker, which limits reservations. */
  largestWorker: TaskSize;
}

/** The observed ratios of used to declared amounts, in thousandths. */
interface RatioHistograms {
  cores: Histogram;
  memory: Histogram;
  run: Histogram;
}

/** The estimated ratios of used to declared amounts. */
interface RatioEstimates {
  cores: number;
  memory: number;
  run: number;
}

interface Generations {
  current: RatioHistograms;
  previous: RatioHistograms | undefined;
  /** Computed on the first use after an observation was added. */
  estimates: RatioEstimates | undefined;
}

const DECLARED_RATIOS: RatioEstimates = { cores: 1, memory: 1, run: 1 };

/** Owns the observations of one queue, which come only from the log of ended attempts. */
export class UsageEstimator {
  readonly #teams = new Map<string, Generations>();

  private constructor() {}

  /** Creates an estimator without observations. */
  static create(): UsageEstimator {
    return new UsageEstimator();
  }

  /** Adds the observed usage of a task whose attempt ended with a report. */
  add(team: string, declared: JobTaskData, used: TaskUsage): void {
    const generations = this.#teams.get(team) ??
      { current: createRatioHistograms(), previous: undefined, estimates: undefined };
    this.#teams.set(team, generations);
    generations.estimates = undefined;
    if (generations.current.run.totalCount >= TASKS_PER_GENERATION) {
      generations.previous = generations.current;
      generations.current = createRatioHistograms();
    }
    const { cores, memory, run } = generations.current;
    recordRatio(cores, used.cores, declared.size.cores);
    recordRatio(memory, used.memoryGigabytes, declared.size.memoryGigabytes);
    recordRatio(run, used.runMilliseconds, declared.runMilliseconds);
  }

  /** Estimates a task's usage: as declared until enough tasks of its team have been observed. */
  estimate(options: EstimateOptions): UsageEstimate {
    const { task, largestWorker: limit } = options;
    const ratios = this.#getRatioEstimates(options.team);
    const used = task.used;
    const cores = Math.max(task.size.cores * ratios.cores, used?.cores ?? 0);
    const memory = Math.max(
      task.size.memoryGigabytes * ratios.memory,
      used?.memoryGigabytes ?? 0,
    );
    const size = {
      cores: Math.min(cores, Math.max(limit.cores, task.size.cores)),
      memoryGigabytes: Math.min(
        memory,
        Math.max(limit.memoryGigabytes, task.size.memoryGigabytes),
      ),
      accelerators: task.size.accelerators,
    };
    return {
      reservation: toReservation(size),
      runMilliseconds: task.runMilliseconds * ratios.run,
    };
  }

  /** Gets the estimated ratios of each team, for the state dump. */
  getState(): Record<string, unknown> {
    return Object.fromEntries(
      [...this.#teams.keys()].map((team) => [team, this.#getRatioEstimates(team)]),
    );
  }

  #getRatioEstimates(team: string): RatioEstimates {
    const generations = this.#teams.get(team);
    if (generations === undefined) return DECLARED_RATIOS;
    return generations.estimates ??= {
      cores: estimateRatio(generations, (ratios) => ratios.cores),
      memory: estimateRatio(generations, (ratios) => ratios.memory),
      run: estimateRatio(generations, (ratios) => ratios.run),
    };
  }
}

function createRatioHistograms(): RatioHistograms {
  return { cores: createHistogram(), memory: createHistogram(), run: createHistogram() };
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_RATIO_THOUSANDTHS,
    numberOfSignificantValueDigits: 3,
    bitBucketSize: 16,
  });
}

function recordRatio(histogram: Histogram, used: number, declared: number): void {
  if (declared <= 0) return;
  const ratio = Math.round((used / declared) * THOUSANDTHS_PER_UNIT);
  histogram.recordValue(Math.min(MAXIMUM_RATIO_THOUSANDTHS, Math.max(1, ratio)));
}

function estimateRatio(
  generations: Generations,
  select: (histograms: RatioHistograms) => Histogram,
): number {
  const current = select(generations.current);
  const previous = generations.previous && select(generations.previous);
  if (current.totalCount + (previous?.totalCount ?? 0) < MINIMUM_TASKS) return 1;
  const highest = Math.max(
    current.getValueAtPercentile(ESTIMATE_PERCENTILE),
    previous?.getValueAtPercentile(ESTIMATE_PERCENTILE) ?? 0,
  );
  return Math.max(MINIMUM_RATIO, highest / THOUSANDTHS_PER_UNIT);
}
