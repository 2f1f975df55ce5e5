/** Estimates task durations from observed ones, since callers' estimates are often far off. */

import type { JobStep } from "../fleet/job.ts";

/** The weight of a new observation in the moving averages. */
const OBSERVATION_WEIGHT = 0.05;
/** The duration that is assumed as the caller's estimate if there is none, in milliseconds. */
const DEFAULT_CALLER_ESTIMATE_MILLISECONDS = 1_000;
/**
 * The maximum estimate for a queue without observations, in milliseconds, whatever the caller's
 * estimate.
 */
const MAXIMUM_INITIAL_ESTIMATE_MILLISECONDS = 2_000;

/** The spread of a queue without observations, as a fraction of the estimate. */
const UNKNOWN_SPREAD_FRACTION = 0.5;

/** Two estimators of a queue's durations, each with the moving average of its error. */
interface QueueDurations {
  /** The moving average of durations, in milliseconds. */
  mean: number;
  meanError: number;
  /** The moving average of the duration as a multiple of the caller's estimate. */
  ratio: number;
  ratioError: number;
}

/** Estimates the durations of each queue's tasks. */
export class DurationEstimator {
  readonly #queues = new Map<string, QueueDurations>();

  private constructor() {}

  /** Creates an estimator without observations. */
  static create(): DurationEstimator {
    return new DurationEstimator();
  }

  /** Adds the duration of a completed task. */
  add(step: JobStep, milliseconds: number): void {
    const callerEstimate = step.specification.estimatedMilliseconds ||
      DEFAULT_CALLER_ESTIMATE_MILLISECONDS;
    const averages = this.#queues.get(step.job.queue);
    if (averages === undefined) {
      const ratio = milliseconds / callerEstimate;
      this.#queues.set(step.job.queue, { mean: milliseconds, meanError: 0, ratio, ratioError: 0 });
      return;
    }
    averages.meanError = updateAverage(averages.meanError, Math.abs(averages.mean - milliseconds));
    averages.ratioError = updateAverage(
      averages.ratioError,
      Math.abs(averages.ratio * callerEstimate - milliseconds),
    );
    averages.mean = updateAverage(averages.mean, milliseconds);
    averages.ratio = updateAverage(averages.ratio, milliseconds / callerEstimate);
  }

  /** Estimates the duration of a step's tasks with the estimator that had the smaller error so far. */
  estimateMilliseconds(step: Pick<JobStep, "job" | "specification">): number {
    const callerEstimate = step.specification.estimatedMilliseconds ||
      DEFAULT_CALLER_ESTIMATE_MILLISECONDS;
    const averages = this.#queues.get(step.job.queue);
    if (averages === undefined) {
      return Math.min(callerEstimate, MAXIMUM_INITIAL_ESTIMATE_MILLISECONDS);
    }
    return averages.meanError < averages.ratioError
      ? averages.mean
      : averages.ratio * callerEstimate;
  }

  /** Gets the mean error of the estimates for a queue's tasks, in milliseconds; 0 if it is not known. */
  getErrorMilliseconds(queue: string): number {
    const averages = this.#queues.get(queue);
    return averages === undefined ? 0 : Math.min(averages.meanError, averages.ratioError);
  }

  /** Gets the mean error of a step's estimate so far, in milliseconds. */
  getSpreadMilliseconds(step: Pick<JobStep, "job" | "specification">): number {
    const averages = this.#queues.get(step.job.queue);
    return averages === undefined
      ? this.estimateMilliseconds(step) * UNKNOWN_SPREAD_FRACTION
      : Math.min(averages.meanError, averages.ratioError);
  }
}

function updateAverage(old: number, value: number): number {
  return old + (value - old) * OBSERVATION_WEIGHT;
}
