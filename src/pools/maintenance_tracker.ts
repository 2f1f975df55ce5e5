/** Tracks when hosts drained for maintenance became idle, and estimates the downtime of hosts. */

import { build, type Histogram } from "hdr-histogram-js";
import { type HostData, HostState } from "../machines/host_data.ts";
import type { Fleet } from "../records/fleet.ts";
import type { IdleHost } from "./drain_watch.ts";
import type { MaintenanceData } from "./maintenance_data.ts";
import type { DrainStatus } from "./maintenance_step.ts";

/** The estimated downtime of a host in a pool of which no host has returned yet. */
const DEFAULT_DOWNTIME_MILLISECONDS = 900_000;

/** The maximum downtime that the histogram can record. */
const MAXIMUM_DOWNTIME_MILLISECONDS = 86_400_000;

/** The percentile of the recorded downtimes that is used as the estimate. */
const ESTIMATE_PERCENTILE = 75;

interface TrackedDrain extends DrainStatus {
  /** The offset of the record that drained the host. */
  drainedAt: number;
  /** The monotonic time at which this member first read the drain. */
  firstSeenAt: number;
  pool: string;
}

/** Tracks the maintenance of hosts, as one member observes it. Callers pass the time. */
export class MaintenanceTracker {
  readonly #drains = new Map<string, TrackedDrain>();
  readonly #downtimesByPool = new Map<string, Histogram>();
  readonly #estimatesByPool = new Map<string, number>();
  readonly #states = new Map<string, { state: string; since: number }>();

  private constructor() {}

  /** Creates a tracker without hosts. */
  static create(): MaintenanceTracker {
    return new MaintenanceTracker();
  }

  /** Reconciles the drains with a newer fleet, and records the downtimes of returned hosts. */
  reconcile(fleet: Fleet, now: number): void {
    for (const maintenance of fleet.tables.maintenances.values()) {
      const { maintenance: name, state } = maintenance;
      if (this.#states.get(name)?.state !== state) this.#states.set(name, { state, since: now });
    }
    for (const [name, drain] of this.#drains) {
      const host = fleet.tables.hosts.get(name);
      if (host?.state === HostState.Draining && host.changedAt === drain.drainedAt) continue;
      this.#drains.delete(name);
      if (host !== undefined && host.maintainedAt > drain.drainedAt) {
        this.#addDowntime(drain.pool, now - drain.firstSeenAt);
      }
    }
    for (const host of fleet.tables.hosts.values()) {
      if (host.drain?.maintenance === undefined || host.changedAt > fleet.offset) continue;
      if (!this.#drains.has(host.host)) {
        this.#drains.set(host.host, createTrackedDrain(host, now));
      }
    }
  }

  /** Marks drained hosts on which nothing runs. */
  markIdle(hosts: readonly IdleHost[], now: number): void {
    for (const { host, drainedAt } of hosts) {
      const drain = this.#drains.get(host);
      if (drain?.drainedAt === drainedAt) drain.idleAt ??= now;
    }
  }

  /** Marks that the reboot of a host was ordered. */
  markRebootOrdered(host: string, now: number): void {
    const drain = this.#drains.get(host);
    if (drain !== undefined) drain.rebootOrderedAt = now;
  }

  /** Gets the statuses of the drains, by host. */
  getDrainStatuses(): ReadonlyMap<string, DrainStatus> {
    return this.#drains;
  }

  /** Gets when this member first observed the current state of a maintenance. */
  getStateSince(maintenance: MaintenanceData): number {
    return this.#states.get(maintenance.maintenance)?.since ?? 0;
  }

  /** Estimates the downtime of a host from those of its pool; without any, the estimate is a constant. */
  estimateDowntimeMilliseconds(host: HostData): number {
    return this.#estimatesByPool.get(host.pool) ?? DEFAULT_DOWNTIME_MILLISECONDS;
  }

  #addDowntime(pool: string, milliseconds: number): void {
    let histogram = this.#downtimesByPool.get(pool);
    if (histogram === undefined) {
      histogram = build({
        bitBucketSize: 32,
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAXIMUM_DOWNTIME_MILLISECONDS,
        numberOfSignificantValueDigits: 2,
      });
      this.#downtimesByPool.set(pool, histogram);
    }
    const value = Math.min(Math.max(1, Math.round(milliseconds)), MAXIMUM_DOWNTIME_MILLISECONDS);
    histogram.recordValue(value);
    this.#estimatesByPool.set(pool, histogram.getValueAtPercentile(ESTIMATE_PERCENTILE));
  }
}

function createTrackedDrain(host: HostData, now: number): TrackedDrain {
  const { changedAt: drainedAt, pool } = host;
  return { drainedAt, pool, firstSeenAt: now, idleAt: undefined, rebootOrderedAt: undefined };
}
