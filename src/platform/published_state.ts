/** The decoded state that operators and executors publish: the latest value of each key. */

import type { EventLog } from "../events/mod.ts";
import type { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { MaintenanceWave, OperatorActions } from "../fleet/maintenance_wave.ts";
import type { KeyedTopicUpdate } from "./keyed_topic_task.ts";
import {
  CONFIGURATION_KEY,
  decodeConfiguration,
  decodeExecutorEntry,
  decodeWave,
  getEvacuatedZone,
  isWaveKey,
} from "./published_records.ts";

/** The current configuration, evacuated zones and maintenance waves. */
export class OperatorState {
  readonly #log: EventLog;
  #configuration: Configuration | undefined;
  #evacuatedZones = new Set<string>();
  #waves = new Map<number, MaintenanceWave>();

  private constructor(log: EventLog) {
    this.#log = log;
  }

  /** Creates an empty state. */
  static create(log: EventLog): OperatorState {
    return new OperatorState(log);
  }

  /** Applies an update, and gets whether it may have changed the state. */
  apply(update: KeyedTopicUpdate): boolean {
    if (update.isSnapshot) {
      this.#evacuatedZones = new Set();
      this.#waves = new Map();
    }
    for (const { key, value } of update.changes) this.#applyChange(key, value);
    return update.isSnapshot || update.changes.length > 0;
  }

  /** Gets the current configuration. */
  getConfiguration(): Configuration | undefined {
    return this.#configuration;
  }

  /** Gets a copy of the evacuated zones and maintenance waves. */
  getPlannedActions(): OperatorActions {
    return { evacuatedZones: new Set(this.#evacuatedZones), waves: new Map(this.#waves) };
  }

  #applyChange(key: string, value: Buffer): void {
    const zone = getEvacuatedZone(key);
    if (zone !== undefined) return this.#setZoneEvacuated(zone, value.length > 0);
    if (key === CONFIGURATION_KEY) return this.#setConfiguration(value);
    if (isWaveKey(key)) return this.#setWave(key, value);
    this.#log("operator-record-unknown", { key, bytes: value.length });
  }

  #setZoneEvacuated(zone: string, isEvacuated: boolean): void {
    if (isEvacuated) this.#evacuatedZones.add(zone);
    else this.#evacuatedZones.delete(zone);
    this.#log(isEvacuated ? "zone-evacuated" : "zone-returned", { zone });
  }

  #setConfiguration(value: Buffer): void {
    const decoded = decodeConfiguration(value);
    if (typeof decoded === "string") {
      this.#log("configuration-unreadable", {
        reason: decoded,
        kept: this.#configuration?.version,
      });
      return;
    }
    // The store's responses may arrive out of order; an older version must not replace a newer one.
    if (decoded.version < (this.#configuration?.version ?? 0)) return;
    if (decoded.version === this.#configuration?.version) return;
    this.#log("configuration-applied", {
      version: decoded.version,
      previous: this.#configuration?.version,
    });
    this.#configuration = decoded;
  }

  #setWave(key: string, value: Buffer): void {
    if (value.length === 0) return;
    const wave = decodeWave(value);
    if (typeof wave === "string") return this.#log("wave-unreadable", { key, reason: wave });
    this.#waves.set(wave.number, wave);
    this.#log("wave-asked", {
      wave: wave.number,
      hosts: wave.hosts.length,
      ceiling: wave.ceiling,
      durationMilliseconds: wave.durationMilliseconds,
    });
  }
}

/** The current list of executors. */
export class ExecutorList {
  readonly #log: EventLog;
  #entries = new Map<string, ExecutorEntry>();

  private constructor(log: EventLog) {
    this.#log = log;
  }

  /** Creates an empty list. */
  static create(log: EventLog): ExecutorList {
    return new ExecutorList(log);
  }

  /** Applies an update; an unreadable entry removes its executor. */
  apply(update: KeyedTopicUpdate): void {
    if (update.isSnapshot) this.#entries = new Map();
    for (const { key, value } of update.changes) {
      const entry = value.length === 0 ? undefined : decodeExecutorEntry(key, value);
      if (typeof entry === "string") {
        this.#log("executor-entry-unreadable", { executor: key, reason: entry });
      }
      if (typeof entry === "object") this.#entries.set(key, entry);
      else this.#entries.delete(key);
    }
  }

  /** Gets all listed executors. */
  getEntries(): ExecutorEntry[] {
    return [...this.#entries.values()];
  }
}
