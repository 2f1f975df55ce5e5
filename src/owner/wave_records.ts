/** The journal's records of waves of maintenance. */

import { Decoder, Encoder } from "cbor-x";
import type { MaintenanceWave } from "../fleet/maintenance_wave.ts";
import type { JournalEntry } from "./owner_ports.ts";
import { type WaveProgress, WaveStage } from "./wave_progress.ts";

const WAVE_PREFIX = "wave/";

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

/** What is stored of a wave. */
interface WaveRecord {
  done: string[];
  /** The hosts that were ordered and not seen back: they may be away, or yet be taken away. */
  ordered: string[];
  /** The hosts that had left; records of earlier versions do not tell. */
  gone?: string[];
  isCompleted: boolean;
}

/** What earlier owners stored of a wave. */
export interface EarlierWave {
  /** The hosts that have had their maintenance. */
  done: ReadonlySet<string>;
  /** The hosts that were ordered and not seen back. */
  ordered: ReadonlySet<string>;
  /** The hosts that had left. */
  gone: ReadonlySet<string>;
  /** Whether operators were told that it is completed. */
  isCompleted: boolean;
}

/** What is stored of a wave that no earlier owner knew. */
export const NO_EARLIER_WAVE: EarlierWave = {
  done: new Set(),
  ordered: new Set(),
  gone: new Set(),
  isCompleted: false,
};

/** Gets the entry that tells how far a wave has come. */
export function createWaveEntry(progress: WaveProgress): JournalEntry {
  const places = [...progress.places.values()];
  const done = places.filter(({ stage }) => stage === WaveStage.Done);
  const ordered = places.filter(({ stage, isOrdered }) => stage !== WaveStage.Done && isOrdered);
  const gone = places.filter(({ stage }) => stage === WaveStage.Gone);
  const record: WaveRecord = {
    done: done.map(({ name }) => name),
    ordered: ordered.map(({ name }) => name),
    gone: gone.map(({ name }) => name),
    isCompleted: progress.isCompleted,
  };
  return { key: WAVE_PREFIX + progress.wave.number, value: encoder.encode(record) };
}

/** Reads the waves that earlier owners stored, by number. */
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

/** Gets how far a host is by what earlier owners stored. */
export function getFirstStage(name: string, before: EarlierWave): WaveStage {
  if (before.done.has(name)) return WaveStage.Done;
  // What an earlier owner ordered counts against the ceiling, and is ordered again: once done, that
  // has no effect.
  if (before.ordered.has(name)) return WaveStage.Emptying;
  return before.gone.has(name) ? WaveStage.Gone : WaveStage.Waiting;
}

/** Gets whether each host of a wave is done by what earlier owners stored; others may be back. */
export function isCompletedBy(wave: MaintenanceWave, before: EarlierWave): boolean {
  return before.isCompleted && wave.hosts.every((name) => before.done.has(name));
}
