/** Schedules of faults, drawn from a seed. */

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
  /** When it begins, from the schedule's start. */
  atMilliseconds: number;
  /** How long it lasts. */
  lastsMilliseconds: number;
  /** The kind. */
  fault: Fault;
  /** A number that chooses whom it meets. */
  choice: number;
}

/** Options of `createSchedule`. */
export interface FaultScheduleOptions {
  /** The seed. */
  seed: number;
  /** The length. */
  milliseconds: number;
  /** The mean time between two faults. */
  meanMilliseconds: number;
  /** The kinds to draw from. */
  faults: readonly Fault[];
}

/** The shortest fault. */
const SHORTEST_MILLISECONDS = 300;

/** The longest fault: longer than the freshness limit. */
const LONGEST_MILLISECONDS = 6_000;

/** Draws a schedule; the same options give the same schedule. */
export function createFaultSchedule(options: FaultScheduleOptions): ScheduledFault[] {
  const random = xoroshiro128plus(options.seed);
  const draw = (from: number, to: number) => uniformInt(random, from, to);
  const schedule: ScheduledFault[] = [];
  let at = 0;
  for (;;) {
    at += draw(
      Math.round(options.meanMilliseconds / 2),
      Math.round(options.meanMilliseconds * 1.5),
    );
    if (at > options.milliseconds) return schedule;
    schedule.push({
      atMilliseconds: at,
      lastsMilliseconds: draw(SHORTEST_MILLISECONDS, LONGEST_MILLISECONDS),
      fault: options.faults[draw(0, options.faults.length - 1)] as Fault,
      choice: draw(0, 1_000_000),
    });
  }
}
