/** The heartbeat: a ping, the answer to a ping of the receiver, and a report, in one message. */

import { z } from "zod";

/** The echo of a member that has received no heartbeat from the receiver. */
export const NO_ECHO = -1;

/** The age that stands for every greater age, and for having no view of the log. */
export const MAXIMUM_AGE_MILLISECONDS = 65_535;

/** Reports to a peer that a member is alive, and the state of its view of the log. */
export interface Heartbeat {
  kind: "heartbeat";
  /** The offset of the newest record that the sender has applied. */
  offset: number;
  /** The offset of the newest change of the roster that the sender has applied. */
  rosterOffset: number;
  /** The sequence number of this heartbeat at its sender: the ping. */
  sequence: number;
  /** The highest sequence number received from the receiver: the answer to that ping. */
  echo: number;
  /** The age of the sender's view of the log, on the sender's clock. */
  ageMilliseconds: number;
  /** Whether the sender can reach no member with an up-to-date view, itself included. */
  isBlind: boolean;
  /** The indexes, in the sorted roster at `rosterOffset`, of the members that have timed out. */
  unheard: readonly number[];
}

/** The schema of a heartbeat. */
export const heartbeatSchema = z.object({
  kind: z.literal("heartbeat"),
  offset: z.int(),
  rosterOffset: z.int(),
  sequence: z.int().min(0),
  echo: z.int().min(NO_ECHO),
  ageMilliseconds: z.int().min(0).max(MAXIMUM_AGE_MILLISECONDS),
  isBlind: z.boolean(),
  unheard: z.array(z.int().min(0)),
});

/** Gets the age for a heartbeat, from the time at which the read of the view began. */
export function getHeartbeatAge(asOf: number | undefined, now: number): number {
  if (asOf === undefined) return MAXIMUM_AGE_MILLISECONDS;
  return Math.min(MAXIMUM_AGE_MILLISECONDS, Math.max(0, Math.ceil(now - asOf)));
}
