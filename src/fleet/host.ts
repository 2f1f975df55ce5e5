/** The hosts of the pools, as their provider lists them. */

import type { Resources } from "./resources.ts";

/** The state of a host. */
export const HostState = {
  /** It is in service in its pool. */
  Up: "up",
  /** It is being moved to another pool. */
  Moving: "moving",
  /** It is out of service for maintenance. */
  Maintenance: "maintenance",
  /** It is down. */
  Down: "down",
} as const;
export type HostState = typeof HostState[keyof typeof HostState];

/** A host of a pool. */
export interface Host {
  /** The name. */
  name: string;
  /** The name of the service whose pool it belongs to. */
  pool: string;
  /** The state. */
  state: HostState;
  /** The availability zone. */
  zone: string;
  /** The total capacity. */
  capacity: Resources;
  /** The id of its executor; empty if it has none. */
  executorId: string;
}

/** The outcome of an order for a host. */
export const HostOrderOutcome = {
  /** The order is in progress or already completed. */
  Accepted: "done",
  /** The host is not up, or is about to leave. */
  NotInService: "busy",
  /** The provider has seen a higher fencing token. */
  Fenced: "fenced",
  /** The host does not exist or does not belong to the wave. */
  Rejected: "impossible",
  /** The provider is overloaded or unavailable; the order was not carried out. */
  Refused: "refused",
  /** There was no response; the order may be carried out, possibly later. */
  Unanswered: "unanswered",
} as const;
export type HostOrderOutcome = typeof HostOrderOutcome[keyof typeof HostOrderOutcome];
