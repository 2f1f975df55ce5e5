/** What is learned from the bursts of a service. */

import { addResources, NO_RESOURCES, type Resources } from "../fleet/resources.ts";
import type { Burst } from "./burst_detector.ts";

/** The weight of a burst in the averages of a service. */
const BURST_WEIGHT = 0.5;
/** How long after its forecast a burst may begin, in milliseconds, with the time to detect it. */
const PATIENCE_MILLISECONDS = 700;
/** How many jobs of a burst may be needed to detect it, which adds to the patience. */
const DETECTION_JOBS = 5;
const MAXIMUM_PATIENCE_MILLISECONDS = 2_500;

/** What was learned from the bursts of a service. */
export interface LearnedBurst {
  /** What the tasks that arrive during a burst use together. */
  height: Resources;
  /** The rate, in jobs per millisecond. */
  jobRate: number;
  /** The duration, in milliseconds. */
  durationMilliseconds: number;
  /** The number of bursts. */
  count: number;
}

/** Adds a burst to what was learned. */
export function learn(learned: LearnedBurst | undefined, burst: Burst): LearnedBurst {
  const duration = Math.max(1, burst.end! - burst.onset);
  const weight = learned === undefined ? 1 : BURST_WEIGHT;
  const height = { ...NO_RESOURCES };
  addResources(height, burst.resourceMilliseconds, weight / duration);
  if (learned !== undefined) addResources(height, learned.height, 1 - weight);
  const mix = (old: number, value: number) => old + (value - old) * weight;
  return {
    height,
    jobRate: mix(learned?.jobRate ?? 0, burst.jobs / duration),
    durationMilliseconds: mix(learned?.durationMilliseconds ?? 0, duration),
    count: (learned?.count ?? 0) + 1,
  };
}

/** Gets how long a burst may begin after its forecast, in milliseconds. */
export function getPatience(learned: LearnedBurst): number {
  return Math.min(
    MAXIMUM_PATIENCE_MILLISECONDS,
    PATIENCE_MILLISECONDS + DETECTION_JOBS / learned.jobRate,
  );
}
