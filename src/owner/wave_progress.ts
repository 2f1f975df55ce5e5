/** How far a wave of maintenance has come, host by host. */

import type { MaintenanceWave } from "../fleet/maintenance_wave.ts";

/** How far a host of a wave has come. */
export const WaveStage = {
  /** It waits for its turn. */
  Waiting: "waiting",
  /** It is being emptied. */
  Emptying: "emptying",
  /** That it is ordered is being stored. */
  Storing: "storing",
  /** The order is on its way. */
  Ordered: "ordered",
  /** It is away. */
  Away: "away",
  /** It has begun its maintenance and is back. */
  Done: "done",
  /** It has left without its maintenance; it waits for its turn again once it is back. */
  Gone: "gone",
} as const;
export type WaveStage = typeof WaveStage[keyof typeof WaveStage];

/** A host of a wave. */
export interface WavePlace {
  /** The name of the host. */
  name: string;
  /** How far it has come. */
  stage: WaveStage;
  /** Since when it has come that far, on the steady clock. */
  since: number;
  /** The executor that it had when it was ordered. */
  executorId: string;
  /** When its order may be sent again, on the steady clock; 0 if none is to be. */
  retryAt: number;
  /** Whether this owner or an earlier one has ordered it. */
  isOrdered: boolean;
  /** How often in a row the provider answered that it can't be maintained for the wave. */
  refusals: number;
  /** The lists in a row that lack it, all read since the wave was asked for. */
  absentLists: number;
  /** Since when they lack it, on the steady clock. */
  absentSince: number;
}

/** A wave, and how far its hosts have come. */
export interface WaveProgress {
  /** What operators ask for. */
  wave: MaintenanceWave;
  /** The hosts by name. */
  places: Map<string, WavePlace>;
  /** Since when its time is planned, on the steady clock. */
  startedAt: number;
  /** From when on lists are looked at: one that was read before the wave was asked says nothing. */
  listsSince: number;
  /** Whether such a list was looked at. */
  hasList: boolean;
  /** Whether operators are told that it is completed. */
  isCompleted: boolean;
}

/** Gets whether a host has its turn: it counts against the ceiling. */
export function hasTurn(stage: WaveStage): boolean {
  return stage !== WaveStage.Waiting && stage !== WaveStage.Done && stage !== WaveStage.Gone;
}
