/** The heartbeat: one message that is ping, answer to a ping and report at once. */

import { z } from "zod";

/** The echo of a member that has not heard the receiver yet. */
export const NO_ECHO = -1;

/** The age that stands for every greater age and for no knowledge. */
export const MAXIMUM_AGE_MILLISECONDS = 65_535;

/** A member tells a peer that it is alive and what it knows. */
export interface Heartbeat {
  /** The kind of the message. */
  kind: "heartbeat";
  /** The offset of the newest record that it has applied. */
  offset: number;
  /** The offset of the newest change of the roster that it has applied. */
  rosterOffset: number;
  /** The number of this heartbeat among those of its sender: the ping. */
  sequence: number;
  /** The greatest number of a heartbeat that it has from the receiver: the answer to that ping. */
  echo: number;
  /** The age of its knowledge, on its own clock. */
  ageMilliseconds: number;
  /** Whether it can reach no fresh reader of the log. */
  isBlind: boolean;
  /** The places, in the sorted roster at `rosterOffset`, of the members that it does not hear. */
  unheard: readonly number[];
}

/** The shape of a heartbeat. */
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

/** Gets the age as heartbeats carry it, from when the read of the knowledge began. */
export function getHeartbeatAge(knownAt: number | undefined, now: number): number {
  if (knownAt === undefined) return MAXIMUM_AGE_MILLISECONDS;
  return Math.min(MAXIMUM_AGE_MILLISECONDS, Math.max(0, Math.ceil(now - knownAt)));
}
