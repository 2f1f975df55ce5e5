/** What operators and executors have written, decoded and kept as the newest of each key. */

import type { EventLog } from "../events/mod.ts";
import type { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { MaintenanceWave, OperatorRequests } from "../fleet/maintenance_wave.ts";
import type { KeyedTopicNews } from "./keyed_topic_task.ts";
import {
  CONFIGURATION_KEY,
  decodeConfiguration,
  decodeExecutorEntry,
  decodeWave,
  getEvacuatedZone,
  isWaveKey,
} from "./operator_records.ts";

/** The newest configuration and requests of operators. */
export class OperatorState {
  readonly #log: EventLog;
  #configuration: Configuration | undefined;
  #zones = new Set<string>();
  #waves = new Map<number, MaintenanceWave>();

  private constructor(log: EventLog) {
    this.#log = log;
  }

  /** Creates an empty state. */
  static create(log: EventLog): OperatorState {
    return new OperatorState(log);
  }

  /** Applies news, and gets whether anything has changed. */
  apply(news: KeyedTopicNews): boolean {
    if (news.isWhole) {
      this.#zones = new Set();
      this.#waves = new Map();
    }
    for (const { key, value } of news.changes) this.#applyChange(key, value);
    return news.isWhole || news.changes.length > 0;
  }

  /** Gets the newest configuration. */
  getConfiguration(): Configuration | undefined {
    return this.#configuration;
  }

  /** Gets what operators have asked for. */
  getRequests(): OperatorRequests {
    return { evacuatedZones: new Set(this.#zones), waves: new Map(this.#waves) };
  }

  #applyChange(key: string, value: Buffer): void {
    const zone = getEvacuatedZone(key);
    if (zone !== undefined) return this.#setZone(zone, value.length > 0);
    if (key === CONFIGURATION_KEY) return this.#setConfiguration(value);
    if (isWaveKey(key)) return this.#setWave(key, value);
    this.#log("operator-record-unknown", { key, bytes: value.length });
  }

  #setZone(zone: string, isOut: boolean): void {
    if (isOut) this.#zones.add(zone);
    else this.#zones.delete(zone);
    this.#log(isOut ? "zone-evacuated" : "zone-returned", { zone });
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
    // An older version never replaces a newer one, whatever order the store's answers come in.
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

/** The executors that are listed. */
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

  /** Applies news; an entry that can't be read names no executor. */
  apply(news: KeyedTopicNews): void {
    if (news.isWhole) this.#entries = new Map();
    for (const { key, value } of news.changes) {
      const entry = value.length === 0 ? undefined : decodeExecutorEntry(key, value);
      if (typeof entry === "string") {
        this.#log("executor-entry-unreadable", { executor: key, reason: entry });
      }
      if (typeof entry === "object") this.#entries.set(key, entry);
      else this.#entries.delete(key);
    }
  }

  /** Gets the executors that are listed. */
  getEntries(): ExecutorEntry[] {
    return [...this.#entries.values()];
  }
}
