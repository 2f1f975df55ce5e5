/** Computes how many hosts a pool needs for its demand, the loss of a zone and maintenance. */

import { build, type Histogram } from "hdr-histogram-js";
import type { CapacitySettings } from "./capacity_settings.ts";

/** The maximum demand that the histogram can record, in slots. */
const MAXIMUM_SLOTS = 1_000_000;

/** The options of computing the size of a pool. */
export interface PoolSizeOptions {
  /** The settings of the pool's profile. */
  settings: CapacitySettings;
  /** The demand in slots, at the quantile of the settings. */
  neededSlots: number;
  /** The number of slots of one host. */
  slotsPerHost: number;
  /** The number of zones in service in which the pool has hosts. */
  zones: number;
  /** Whether a zone of the pool is out of service; then no reserve for the loss of another is added. */
  isZoneOut: boolean;
}

/** Gets how many hosts the pool needs in zones that are in service. */
export function getTargetHosts(options: PoolSizeOptions): number {
  const { settings, zones, isZoneOut: isZoneOut } = options;
  const needed = Math.max(1, Math.ceil(options.neededSlots / options.slotsPerHost));
  if (isZoneOut || zones < 2) return needed + settings.maintenanceHosts;
  const afterLoss = Math.ceil(needed * settings.zoneLossTarget * zones / (zones - 1));
  return Math.max(needed, afterLoss) + settings.maintenanceHosts;
}

/** The demand of a pool in the current and the previous window. Callers decide when a window ends. */
export class DemandHistory {
  #current = createHistogram();
  #previous = createHistogram();

  private constructor() {}

  /** Creates an empty history. */
  static create(): DemandHistory {
    return new DemandHistory();
  }

  /** Adds a sample of the demand, in slots. */
  add(slots: number): void {
    this.#current.recordValue(Math.min(Math.max(0, Math.round(slots)), MAXIMUM_SLOTS));
  }

  /** Starts a new window and drops the one before the previous. */
  rotate(): void {
    this.#previous = this.#current;
    this.#current = createHistogram();
  }

  /** Gets a quantile of the demand, in slots. */
  getQuantile(quantile: number): number {
    const merged = createHistogram();
    merged.add(this.#previous);
    merged.add(this.#current);
    return merged.totalCount === 0 ? 0 : merged.getValueAtPercentile(quantile * 100);
  }
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    highestTrackableValue: MAXIMUM_SLOTS,
    numberOfSignificantValueDigits: 2,
  });
}
