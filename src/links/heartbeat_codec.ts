/** Heartbeats on the wire: an array of numbers, since they are most of the control traffic. */

import { type Heartbeat, heartbeatSchema } from "../contracts/heartbeat.ts";

/** The flag of a sender that can reach no fresh reader. */
const BLIND_FLAG = 1;

/** Gets the numbers of a heartbeat: short ones, since offsets are written as differences. */
export function encodeHeartbeat(heartbeat: Heartbeat): number[] {
  const { offset, rosterOffset, sequence, echo, ageMilliseconds, isBlind, unheard } = heartbeat;
  const flags = isBlind ? BLIND_FLAG : 0;
  return [offset, offset - rosterOffset, sequence, echo, ageMilliseconds, flags, ...unheard];
}

/** Gets the heartbeat of the numbers, or undefined if they are none. */
export function decodeHeartbeat(numbers: readonly unknown[]): Heartbeat | undefined {
  const [offset, rosterLag, sequence, echo, ageMilliseconds, flags, ...unheard] = numbers;
  const parsed = heartbeatSchema.safeParse({
    kind: "heartbeat",
    offset,
    rosterOffset: Number(offset) - Number(rosterLag),
    sequence,
    echo,
    ageMilliseconds,
    isBlind: flags === BLIND_FLAG,
    unheard,
  });
  return parsed.success ? parsed.data : undefined;
}
