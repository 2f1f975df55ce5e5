/** Determines what the job of a ready step can still meet, which decides on its turn in a backlog. */

import type { JobStep } from "../fleet/job.ts";
import { getCriticalPathMilliseconds } from "./critical_path.ts";
import type { FleetState } from "./fleet_state.ts";

/** What a job can still meet if its step starts now; the lowest value starts first. */
export const Usefulness = {
  /** It is expected to meet its objective. */
  InTime: 0,
  /** It misses its objective if it is shorter than estimated or has to wait between its steps. */
  Doubtful: 1,
  /** It misses its objective, but may end within `USEFUL_FACTOR` times that. */
  Late: 2,
  /** Its result comes too late to be of use; it is completed nevertheless. */
  Expired: 3,
} as const;
export type Usefulness = typeof Usefulness[keyof typeof Usefulness];

/** How many times its objective a job may take for its result to be of some use. */
const USEFUL_FACTOR = 3;
/**
 * The margin of a job that has not started, in mean errors of its estimate. The objective grows with
 * the critical path, so that a job shorter than estimated has to start sooner.
 */
const MARGIN_ERRORS = 3;

/** The usefulness of a step, with what decides between steps of equal usefulness. */
export interface StepUsefulness {
  usefulness: Usefulness;
  /** When its job's occurrence must end to meet its objective, in milliseconds since 1970. */
  deadline: number;
  /** The estimated time until the occurrence ends if the step starts now, in milliseconds. */
  remaining: number;
  /** Whether a task of its job has started, so that work would be lost if the job came too late. */
  hasStarted: boolean;
}

/** Gets the usefulness of a step whose tasks are not long-running. */
export function getStepUsefulness(state: FleetState, step: JobStep): StepUsefulness {
  const { durationEstimator, timeOfDay } = state;
  const { job } = step;
  const queue = state.getQueue(job.queue);
  const stretch = queue?.stretch ?? 1;
  const acceptedAt = job.getDueAt(step.occurrence) || job.acceptedAt;
  const criticalPath = getCriticalPathMilliseconds(durationEstimator, job, 0);
  const remaining = step.number === 0
    ? criticalPath
    : getCriticalPathMilliseconds(durationEstimator, job, step.number);
  const objective = stretch * criticalPath + (queue?.objectiveMilliseconds ?? 0);
  // A repeating job has started since its first occurrence, which says nothing about this one.
  const hasStarted = job.hasStarted && job.specification.repeats === 0;
  const error = durationEstimator.getErrorMilliseconds(job.queue) *
    Math.sqrt(job.specification.steps.length);
  const margin = hasStarted ? 0 : MARGIN_ERRORS * Math.max(0, stretch - 1) * error;
  const total = timeOfDay - acceptedAt + remaining;
  const usefulness = getUsefulness(total, margin, objective);
  return { usefulness, deadline: acceptedAt + objective, remaining, hasStarted };
}

function getUsefulness(total: number, margin: number, objective: number): Usefulness {
  if (total + margin <= objective) return Usefulness.InTime;
  if (total <= objective) return Usefulness.Doubtful;
  return total <= USEFUL_FACTOR * objective ? Usefulness.Late : Usefulness.Expired;
}
