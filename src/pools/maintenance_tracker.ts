/** What a member has seen of maintenance: when drained hosts fell idle, and how long hosts were away. */

import { build, type Histogram } from "hdr-histogram-js";
import { type HostData, HostState } from "../machines/host_data.ts";
import type { Fleet } from "../records/fleet.ts";
import type { IdleHost } from "./drain_watch.ts";
import type { MaintenanceData } from "./maintenance_data.ts";
import type { DrainStatus } from "./maintenance_step.ts";

/** How long a host is expected to be away before any was seen to return. */
const EXPECTED_CYCLE_MILLISECONDS = 900_000;

/** The longest absence that the histogram tells apart. */
const LONGEST_CYCLE_MILLISECONDS = 86_400_000;

/** The quantile of absences that estimates go by. */
const ESTIMATE_PERCENTILE = 75;

interface Sight extends DrainStatus {
  drainedAt: number;
  seenAt: number;
  pool: string;
}

/** Owns the times that one member has seen; it reads no clock. */
export class MaintenanceTracker {
  readonly #sights = new Map<string, Sight>();
  readonly #cyclesByPool = new Map<string, Histogram>();
  readonly #expectedByPool = new Map<string, number>();
  readonly #states = new Map<string, { state: string; since: number }>();

  private constructor() {}

  /** Creates an empty record of sights. */
  static create(): MaintenanceTracker {
    return new MaintenanceTracker();
  }

  /** Takes in a newer fleet: drained hosts appear, returned hosts tell how long they were away. */
  reconcile(fleet: Fleet, now: number): void {
    for (const maintenance of fleet.tables.maintenances.values()) {
      const { maintenance: name, state } = maintenance;
      if (this.#states.get(name)?.state !== state) this.#states.set(name, { state, since: now });
    }
    for (const [name, sight] of this.#sights) {
      const host = fleet.tables.hosts.get(name);
      if (host?.state === HostState.Draining && host.changedAt === sight.drainedAt) continue;
      this.#sights.delete(name);
      if (host !== undefined && host.maintainedAt > sight.drainedAt) {
        this.#noteCycle(sight.pool, now - sight.seenAt);
      }
    }
    for (const host of fleet.tables.hosts.values()) {
      if (host.drain?.maintenance === undefined || host.changedAt > fleet.offset) continue;
      if (!this.#sights.has(host.host)) {
        this.#sights.set(host.host, createSight(host, now));
      }
    }
  }

  /** Takes in on which drained hosts nothing runs any more. */
  markIdle(hosts: readonly IdleHost[], now: number): void {
    for (const { host, drainedAt } of hosts) {
      const sight = this.#sights.get(host);
      if (sight?.drainedAt === drainedAt) sight.idleAt ??= now;
    }
  }

  /** Takes in that the reboot of a host was ordered. */
  markRebootOrdered(host: string, now: number): void {
    const sight = this.#sights.get(host);
    if (sight !== undefined) sight.rebootOrderedAt = now;
  }

  /** Gets what was seen of each drained host. */
  getDrainStatuses(): ReadonlyMap<string, DrainStatus> {
    return this.#sights;
  }

  /** Gets when this member learnt that a maintenance is in its state. */
  getStateSince(maintenance: MaintenanceData): number {
    return this.#states.get(maintenance.maintenance)?.since ?? 0;
  }

  /** Gets how long a host is expected to be away: what hosts of its pool needed, or any host. */
  estimateDowntimeMilliseconds(host: HostData): number {
    return this.#expectedByPool.get(host.pool) ?? EXPECTED_CYCLE_MILLISECONDS;
  }

  #noteCycle(pool: string, milliseconds: number): void {
    let histogram = this.#cyclesByPool.get(pool);
    if (histogram === undefined) {
      histogram = build({
        bitBucketSize: 32,
        lowestDiscernibleValue: 1,
        highestTrackableValue: LONGEST_CYCLE_MILLISECONDS,
        numberOfSignificantValueDigits: 2,
      });
      this.#cyclesByPool.set(pool, histogram);
    }
    const value = Math.min(Math.max(1, Math.round(milliseconds)), LONGEST_CYCLE_MILLISECONDS);
    histogram.recordValue(value);
    this.#expectedByPool.set(pool, histogram.getValueAtPercentile(ESTIMATE_PERCENTILE));
  }
}

function createSight(host: HostData, now: number): Sight {
  const { changedAt: drainedAt, pool } = host;
  return { drainedAt, pool, seenAt: now, idleAt: undefined, rebootOrderedAt: undefined };
}
