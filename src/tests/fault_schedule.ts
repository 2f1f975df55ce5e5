/** Random schedules of faults, generated from a seed. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** The kinds of faults. */
export const Fault = {
  KillEntry: "kill-entry",
  FreezeEntry: "freeze-entry",
  CutPeerLink: "cut-peer-link",
  CutOffEntry: "cut-off-entry",
  CutPlatformLink: "cut-platform-link",
  PlatformDown: "platform-down",
  PlatformSlow: "platform-slow",
  LoseAnswers: "lose-answers",
  ExecutorFault: "executor-fault",
  WithdrawKey: "withdraw-key",
  ZoneOut: "zone-out",
} as const;

/** One of the kinds of faults. */
export type Fault = (typeof Fault)[keyof typeof Fault];

/** One fault of a schedule. */
export interface ScheduledFault {
  /** The start of the fault, counted from the start of the schedule. */
  atMilliseconds: number;
  /** The duration of the fault. */
  lastsMilliseconds: number;
  fault: Fault;
  /** A random number that selects the affected process, zone or team. */
  choice: number;
}

/** Options of `createFaultSchedule`. */
export interface FaultScheduleOptions {
  seed: number;
  /** The duration of the schedule. */
  milliseconds: number;
  /** The mean time between two faults. */
  meanMilliseconds: number;
  /** The kinds of faults to choose from. */
  faults: readonly Fault[];
}

/** The minimum duration of a fault. */
const MINIMUM_FAULT_MILLISECONDS = 300;

/** The maximum duration of a fault; longer than the freshness limit. */
const MAXIMUM_FAULT_MILLISECONDS = 6_000;

/** Generates a schedule; the same options give the same schedule. */
export function createFaultSchedule(options: FaultScheduleOptions): ScheduledFault[] {
  const random = xoroshiro128plus(options.seed);
  const draw = (from: number, to: number) => uniformInt(random, from, to);
  const schedule: ScheduledFault[] = [];
  let startMilliseconds = 0;
  for (;;) {
    startMilliseconds += draw(
      Math.round(options.meanMilliseconds / 2),
      Math.round(options.meanMilliseconds * 1.5),
    );
    if (startMilliseconds > options.milliseconds) return schedule;
    schedule.push({
      atMilliseconds: startMilliseconds,
      lastsMilliseconds: draw(MINIMUM_FAULT_MILLISECONDS, MAXIMUM_FAULT_MILLISECONDS),
      fault: options.faults[draw(0, options.faults.length - 1)] as Fault,
      choice: draw(0, 1_000_000),
    });
  }
}
