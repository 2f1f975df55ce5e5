/** The hosts of the pools, as their provider lists them. */

import type { Resources } from "./resources.ts";

/** What a host is doing. */
export const HostState = {
  /** It serves in its pool. */
  Up: "up",
  /** It is on its way to another pool. */
  Moving: "moving",
  /** It is away for maintenance. */
  Maintenance: "maintenance",
  /** It is down. */
  Down: "down",
} as const;
export type HostState = typeof HostState[keyof typeof HostState];

/** One host of a pool. */
export interface Host {
  /** The name. */
  name: string;
  /** The service whose pool it is in. */
  pool: string;
  /** What it is doing. */
  state: HostState;
  /** The availability zone. */
  zone: string;
  /** What it has in all. */
  capacity: Resources;
  /** The id of its executor; empty where it has none. */
  executorId: string;
}

/** What became of an order for a host. */
export const HostOrderOutcome = {
  /** It is being done, or was done before. */
  Done: "done",
  /** The host is not up, or leaving. */
  Busy: "busy",
  /** A higher fence was seen. */
  Fenced: "fenced",
  /** It is not a host of the wave, or there is no such host. */
  Impossible: "impossible",
  /** Too many calls, or the provider is away: nothing was done. */
  Refused: "refused",
  /** No answer came: it may be done, also later. */
  Unanswered: "unanswered",
} as const;
export type HostOrderOutcome = typeof HostOrderOutcome[keyof typeof HostOrderOutcome];
