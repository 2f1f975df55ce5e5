/** The journal's records of maintenance waves. */

import { Decoder, Encoder } from "cbor-x";
import type { MaintenanceWave } from "../fleet/maintenance_wave.ts";
import type { JournalEntry } from "./owner_ports.ts";
import { type WaveProgress, WaveStage } from "./wave_progress.ts";

const WAVE_PREFIX = "wave/";

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

interface WaveRecord {
  done: string[];
  /** The hosts whose maintenance was ordered and that have not returned: it may be yet to come. */
  ordered: string[];
  /** The hosts that had been removed from the fleet. Records of old versions lack this field. */
  gone?: string[];
  isCompleted: boolean;
}

/** The state of a wave as an earlier owner stored it. */
export interface EarlierWave {
  /** The hosts that have been maintained. */
  done: ReadonlySet<string>;
  /** The hosts whose maintenance was ordered and that have not returned. */
  ordered: ReadonlySet<string>;
  /** The hosts that had been removed from the fleet. */
  gone: ReadonlySet<string>;
  /** Whether it was reported to operators as completed. */
  isCompleted: boolean;
}

/** The state of a wave that no earlier owner knew. */
export const NO_EARLIER_WAVE: EarlierWave = {
  done: new Set(),
  ordered: new Set(),
  gone: new Set(),
  isCompleted: false,
};

/** Creates the journal entry that stores the progress of a wave. */
export function createWaveEntry(progress: WaveProgress): JournalEntry {
  const waveHosts = [...progress.waveHosts.values()];
  const done = waveHosts.filter(({ stage }) => stage === WaveStage.Done);
  const ordered = waveHosts.filter(({ stage, mayHaveBeenOrdered: isOrdered }) =>
    stage !== WaveStage.Done && isOrdered
  );
  const gone = waveHosts.filter(({ stage }) => stage === WaveStage.Gone);
  const record: WaveRecord = {
    done: done.map(({ name }) => name),
    ordered: ordered.map(({ name }) => name),
    gone: gone.map(({ name }) => name),
    isCompleted: progress.isCompleted,
  };
  return { key: WAVE_PREFIX + progress.wave.number, value: encoder.encode(record) };
}

/** Reads the waves that earlier owners stored, by wave number. */
export function readStoredWaves(
  entries: Iterable<readonly [string, Uint8Array]>,
): Map<number, EarlierWave> {
  const waves = new Map<number, EarlierWave>();
  for (const [key, value] of entries) {
    if (!key.startsWith(WAVE_PREFIX)) continue;
    const { done, ordered, gone, isCompleted } = decoder.decode(value) as WaveRecord;
    waves.set(Number(key.slice(WAVE_PREFIX.length)), {
      done: new Set(done),
      ordered: new Set(ordered),
      gone: new Set(gone),
      isCompleted,
    });
  }
  return waves;
}

/** Gets the stage of a host after a takeover. */
export function getInitialStage(name: string, earlier: EarlierWave): WaveStage {
  if (earlier.done.has(name)) return WaveStage.Done;
  // A host that an earlier owner ordered counts against the ceiling and is ordered again, which has
  // no effect if it has been maintained.
  if (earlier.ordered.has(name)) return WaveStage.Emptying;
  return earlier.gone.has(name) ? WaveStage.Gone : WaveStage.Waiting;
}

/** Gets whether a wave was completed with all of its hosts done: one that was gone may be back. */
export function wasCompleted(wave: MaintenanceWave, earlier: EarlierWave): boolean {
  return earlier.isCompleted && wave.hosts.every((name) => earlier.done.has(name));
}
