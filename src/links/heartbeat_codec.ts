/** The wire format of heartbeats: an array of numbers, as they are most of the control traffic. */

import { type Heartbeat, heartbeatSchema } from "../contracts/heartbeat.ts";

/** The flag for `isBlind`: the sender reaches no member that has read the log recently. */
const BLIND_FLAG = 1;

/** Encodes a heartbeat; the roster offset is written as a difference, which takes fewer bytes. */
export function encodeHeartbeat(heartbeat: Heartbeat): number[] {
  const { offset, rosterOffset, sequence, echo, ageMilliseconds, isBlind, unheard } = heartbeat;
  const flags = isBlind ? BLIND_FLAG : 0;
  return [offset, offset - rosterOffset, sequence, echo, ageMilliseconds, flags, ...unheard];
}

/** Decodes a heartbeat, or gets undefined if the values are not a heartbeat. */
export function decodeHeartbeat(values: readonly unknown[]): Heartbeat | undefined {
  const [offset, rosterDelta, sequence, echo, ageMilliseconds, flags, ...unheard] = values;
  const parsed = heartbeatSchema.safeParse({
    kind: "heartbeat",
    offset,
    rosterOffset: Number(offset) - Number(rosterDelta),
    sequence,
    echo,
    ageMilliseconds,
    isBlind: flags === BLIND_FLAG,
    unheard,
  });
  return parsed.success ? parsed.data : undefined;
}
