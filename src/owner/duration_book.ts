/** Learns how long tasks take, since what callers declare is far off. */

import type { JobStep } from "../fleet/job.ts";

/** How much a new duration counts against the old ones. */
const NEW_PART = 0.05;
/** How long a task takes of which nothing is known, in milliseconds. */
const UNKNOWN_MILLISECONDS = 1_000;
/** The longest that a declared duration is believed of which nothing is known, in milliseconds. */
const LONGEST_UNKNOWN_MILLISECONDS = 2_000;

/** Two ways to foretell a queue's durations, with the error that each has made. */
interface QueueDurations {
  mean: number;
  meanError: number;
  /** The duration as a multiple of the declared one. */
  ratio: number;
  ratioError: number;
}

/** What was learned of each queue's durations. */
export class DurationBook {
  readonly #queues = new Map<string, QueueDurations>();

  private constructor() {}

  /** Creates an empty book. */
  static create(): DurationBook {
    return new DurationBook();
  }

  /** Learns from a task that is done. */
  add(step: JobStep, milliseconds: number): void {
    const declared = step.specification.estimatedMilliseconds || UNKNOWN_MILLISECONDS;
    const known = this.#queues.get(step.job.queue);
    if (known === undefined) {
      const ratio = milliseconds / declared;
      this.#queues.set(step.job.queue, { mean: milliseconds, meanError: 0, ratio, ratioError: 0 });
      return;
    }
    known.meanError = mix(known.meanError, Math.abs(known.mean - milliseconds));
    known.ratioError = mix(known.ratioError, Math.abs(known.ratio * declared - milliseconds));
    known.mean = mix(known.mean, milliseconds);
    known.ratio = mix(known.ratio, milliseconds / declared);
  }

  /** Gets how long a task of a step is likely to take, by the way that has erred less. */
  getDuration(step: Pick<JobStep, "job" | "specification">): number {
    const declared = step.specification.estimatedMilliseconds || UNKNOWN_MILLISECONDS;
    const known = this.#queues.get(step.job.queue);
    if (known === undefined) return Math.min(declared, LONGEST_UNKNOWN_MILLISECONDS);
    return known.meanError < known.ratioError ? known.mean : known.ratio * declared;
  }
}

function mix(old: number, value: number): number {
  return old + (value - old) * NEW_PART;
}
