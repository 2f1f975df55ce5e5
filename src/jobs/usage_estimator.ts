/**
 * Learns how far declared sizes and run times are off, for each team. A task may use all that it
 * reserved, so nothing is added to what was seen: reservations would grow with every task.
 */

import { build, type Histogram } from "hdr-histogram-js";
import type { JobTaskData, TaskUsage } from "./job_data.ts";
import { type TaskSize, toReservation } from "./task_size.ts";

/** The ratios that are learned are kept in thousandths of what was declared. */
const THOUSANDTHS = 1_000;

/** The highest ratio that is told apart, in thousandths. */
const HIGHEST_RATIO = 16_000;

/** The percentile of the ratios that a reservation must cover. */
const COVERED_PERCENTILE = 95;

/** The tasks that must have ended before what they used goes before what is declared. */
const FEWEST_TASKS = 8;

/** The tasks after which the older half of what was learned is forgotten. */
const TASKS_PER_GENERATION = 256;

/** The smallest reservation, as a part of what is declared. */
const SMALLEST_RATIO = 0.1;

/** What is expected of a task. */
export interface UsageEstimate {
  /** What it is to reserve. */
  reservation: TaskSize;
  /** How long it is expected to run. */
  runMilliseconds: number;
}

/** Options of `expect`. */
export interface EstimateOptions {
  /** The team. */
  team: string;
  /** The task as declared, with what earlier attempts used. */
  task: JobTaskData;
  /** The largest worker, above which no reservation grows. */
  largestWorker: TaskSize;
}

interface Ratios {
  cores: Histogram;
  memory: Histogram;
  run: Histogram;
}

/** The covered ratio of what was used to what was declared. */
interface CoveredRatios {
  cores: number;
  memory: number;
  run: number;
}

interface Generations {
  current: Ratios;
  previous: Ratios | undefined;
  /** Worked out when they are first asked for after something was learned. */
  covered: CoveredRatios | undefined;
}

const AS_DECLARED: CoveredRatios = { cores: 1, memory: 1, run: 1 };

/** Owns what was learned of one queue; the log of ended attempts is its only source. */
export class UsageEstimator {
  readonly #teams = new Map<string, Generations>();

  private constructor() {}

  /** Creates a model that has learned nothing. */
  static create(): UsageEstimator {
    return new UsageEstimator();
  }

  /** Learns from a task whose attempt ended with a report. */
  add(team: string, declared: JobTaskData, used: TaskUsage): void {
    const generations = this.#teams.get(team) ??
      { current: createRatios(), previous: undefined, covered: undefined };
    this.#teams.set(team, generations);
    generations.covered = undefined;
    if (generations.current.run.totalCount >= TASKS_PER_GENERATION) {
      generations.previous = generations.current;
      generations.current = createRatios();
    }
    const { cores, memory, run } = generations.current;
    recordRatio(cores, used.cores, declared.size.cores);
    recordRatio(memory, used.memoryGigabytes, declared.size.memoryGigabytes);
    recordRatio(run, used.runMilliseconds, declared.runMilliseconds);
  }

  /** Gets what is expected of a task: as declared until enough tasks of its team have ended. */
  estimate(options: EstimateOptions): UsageEstimate {
    const { task, largestWorker: largest } = options;
    const learned = this.#getRatios(options.team);
    const used = task.used;
    const cores = Math.max(task.size.cores * learned.cores, used?.cores ?? 0);
    const memory = Math.max(
      task.size.memoryGigabytes * learned.memory,
      used?.memoryGigabytes ?? 0,
    );
    const size = {
      cores: Math.min(cores, Math.max(largest.cores, task.size.cores)),
      memoryGigabytes: Math.min(
        memory,
        Math.max(largest.memoryGigabytes, task.size.memoryGigabytes),
      ),
      accelerators: task.size.accelerators,
    };
    return {
      reservation: toReservation(size),
      runMilliseconds: task.runMilliseconds * learned.run,
    };
  }

  /** Gets the covered ratio of each team, for the state dump. */
  getState(): Record<string, unknown> {
    return Object.fromEntries([...this.#teams.keys()].map((team) => [team, this.#getRatios(team)]));
  }

  #getRatios(team: string): CoveredRatios {
    const generations = this.#teams.get(team);
    if (generations === undefined) return AS_DECLARED;
    return generations.covered ??= {
      cores: getRatio(generations, (ratios) => ratios.cores),
      memory: getRatio(generations, (ratios) => ratios.memory),
      run: getRatio(generations, (ratios) => ratios.run),
    };
  }
}

function createRatios(): Ratios {
  return { cores: createHistogram(), memory: createHistogram(), run: createHistogram() };
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_RATIO,
    numberOfSignificantValueDigits: 3,
    bitBucketSize: 16,
  });
}

function recordRatio(histogram: Histogram, used: number, declared: number): void {
  if (declared <= 0) return;
  const ratio = Math.round((used / declared) * THOUSANDTHS);
  histogram.recordValue(Math.min(HIGHEST_RATIO, Math.max(1, ratio)));
}

function getRatio(generations: Generations, select: (ratios: Ratios) => Histogram): number {
  const current = select(generations.current);
  const previous = generations.previous && select(generations.previous);
  if (current.totalCount + (previous?.totalCount ?? 0) < FEWEST_TASKS) return 1;
  const highest = Math.max(
    current.getValueAtPercentile(COVERED_PERCENTILE),
    previous?.getValueAtPercentile(COVERED_PERCENTILE) ?? 0,
  );
  return Math.max(SMALLEST_RATIO, highest / THOUSANDTHS);
}
