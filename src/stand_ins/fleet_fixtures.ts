/** Queues and executors for tests. */

import type { Queue } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";

/** Creates a queue that needs no key, with the parts that a test cares about. */
export function createQueue(parts: Partial<Queue> = {}): Queue {
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
    ...parts,
  };
}

/** Creates the entry of an executor that takes starts, with the parts that a test cares about. */
export function createListedExecutor(parts: Partial<ExecutorEntry> = {}): ExecutorEntry {
  return {
    id: "i-1",
    born: 1,
    service: "tugdesk",
    address: "10.0.0.1:80",
    zone: "zl-a",
    labels: [],
    capacity: { cpu: 8_000, memory: 16_000, accelerators: 0 },
    isDraining: false,
    ...parts,
  };
}
