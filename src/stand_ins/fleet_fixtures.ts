/** Fixtures of queues and executors for tests. */

import type { Queue } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { JobLimits } from "../fleet/job_limits.ts";

/** The limits of the store, in bytes. */
export const STORE_LIMITS = { recordBytes: 262_144, callBytes: 2_097_152 };

/** The limits on jobs that follow from them. */
export const JOB_LIMITS = JobLimits.create({
  storeCallBytes: STORE_LIMITS.callBytes,
  messageBytes: 1_048_576,
});

/** Creates a public queue, which requires no key, with the given fields overridden. */
export function createQueue(overrides: Partial<Queue> = {}): Queue {
  return {
    name: "tugs",
    host: "h",
    pathPrefix: "/",
    service: "tugdesk",
    priority: 0,
    attemptLimit: 4,
    stretch: 1.6,
    objectiveMilliseconds: 600,
    isPublic: true,
    ...overrides,
  };
}

/** Creates the entry of an executor that accepts starts, with the given fields overridden. */
export function createListedExecutor(overrides: Partial<ExecutorEntry> = {}): ExecutorEntry {
  return {
    id: "i-1",
    born: 1,
    service: "tugdesk",
    address: "10.0.0.1:80",
    zone: "zl-a",
    labels: [],
    capacity: { cpu: 8_000, memory: 16_000, accelerators: 0 },
    isDraining: false,
    ...overrides,
  };
}
