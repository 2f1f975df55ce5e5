/** The faults that the platform's stand-in can inject. */

import { z } from "zod";

/** The faults in force. */
export interface PlatformFaults {
  /** Whether every request fails. */
  isDown: boolean;
  /** The delay of every response. */
  delayMilliseconds: number;
  /** The number of further appends that take effect but get no response. */
  loseAppendAnswers: number;
  /** The lag of the list of hosts. */
  listLagMilliseconds: number;
  /** The duration of a reboot. */
  rebootMilliseconds: number;
  /** The hosts that do not return from a reboot. */
  neverReturning: readonly string[];
}

/** The settings of a platform without faults. */
export const NO_PLATFORM_FAULTS: PlatformFaults = {
  isDown: false,
  delayMilliseconds: 0,
  loseAppendAnswers: 0,
  listLagMilliseconds: 0,
  rebootMilliseconds: 1_000,
  neverReturning: [],
};

/** The schema of a request to set faults, each of which is optional. */
export const platformFaultsSchema = z.strictObject({
  isDown: z.boolean(),
  delayMilliseconds: z.int().min(0).max(600_000),
  loseAppendAnswers: z.int().min(0),
  listLagMilliseconds: z.int().min(0).max(600_000),
  rebootMilliseconds: z.int().min(0).max(3_600_000),
  neverReturning: z.array(z.string()),
}).partial();
