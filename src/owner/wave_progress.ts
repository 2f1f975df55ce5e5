/** The progress of a maintenance wave and of each of its hosts. */

import type { MaintenanceWave } from "../fleet/maintenance_wave.ts";

/** The stage of a host in a wave. */
export const WaveStage = {
  /** It is queued. */
  Waiting: "waiting",
  /** It is being emptied. */
  Emptying: "emptying",
  /** The record of its order is being stored. */
  Storing: "storing",
  /** Its order has been sent, or is to be sent again. */
  Ordered: "ordered",
  /** It is under maintenance. */
  Away: "away",
  /** It has returned from maintenance, or is long overdue. */
  Done: "done",
  /** It was removed from the fleet before its maintenance. It is queued again if it returns. */
  Gone: "gone",
} as const;
export type WaveStage = typeof WaveStage[keyof typeof WaveStage];

/** The progress of one host in a wave. */
export interface WaveHost {
  name: string;
  stage: WaveStage;
  /** When it entered its stage, on the monotonic clock. */
  since: number;
  /** The executor that it had when its maintenance was ordered. */
  executorId: string;
  /** When its order may be sent again, on the monotonic clock. 0 if no retry is due. */
  retryAt: number;
  /** Whether this owner or an earlier one has ordered its maintenance. */
  mayHaveBeenOrdered: boolean;
  /** How often the provider refused to maintain it for the wave. */
  rejections: number;
  /** The number of consecutive lists that lack it, all of them requested after the wave. */
  absentLists: number;
  /** When the first of these lists was requested, on the monotonic clock. */
  absentSince: number;
}

/** A wave and the progress of its hosts. */
export interface WaveProgress {
  /** The wave as operators have requested it. */
  wave: MaintenanceWave;
  /** The hosts by name. */
  waveHosts: Map<string, WaveHost>;
  /** When the time planned for it began, on the monotonic clock. */
  startedAt: number;
  /**
   * Lists requested up to this time, on the monotonic clock, are ignored: they precede the wave or
   * have been processed.
   */
  ignoreListsUntil: number;
  /** Whether a list requested after the wave has been processed. */
  hasProcessedList: boolean;
  /** Whether it is reported to operators as completed. */
  isCompleted: boolean;
}

/** Gets whether a host in a stage counts against the wave's ceiling. */
export function isInProgress(stage: WaveStage): boolean {
  return stage !== WaveStage.Waiting && stage !== WaveStage.Done && stage !== WaveStage.Gone;
}
