/** Steps of jobs for tests. */

import type { StepSpecification } from "../fleet/job_specification.ts";

/** Creates a step of one small task, with the parts that a test cares about. */
export function createStepSpecification(parts: Partial<StepSpecification> = {}): StepSpecification {
  return {
    count: 1,
    demand: { cpu: 1_000, memory: 1_000, accelerators: 0 },
    estimatedMilliseconds: 500,
    after: [],
    isGang: false,
    wantsSameRack: false,
    mostPerExecutor: 0,
    isSpeculative: false,
    isLasting: false,
    tailMilliseconds: 0,
    isFiller: false,
    mostAway: 0,
    ...parts,
  };
}
