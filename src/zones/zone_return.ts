/** The slow start of a zone that returns to service: its weight rises linearly to 1. */

import type { Fleet } from "../records/fleet.ts";

/** The time until a returned zone has its full weight. */
export const ZONE_SLOW_START_MILLISECONDS = 60_000;

/**
 * The initial weight of a returned zone; not 0, as requests are needed to detect unhealthy
 * executors.
 */
export const INITIAL_SLOW_START_WEIGHT = 0.1;

/** Gets the weight of a zone's executors, from 0 to 1, by the time since the zone was returned. */
export function getReturnWeight(
  millisecondsSinceReturn: number,
  returnMilliseconds = ZONE_SLOW_START_MILLISECONDS,
): number {
  const fraction = Math.max(0, millisecondsSinceReturn) / returnMilliseconds;
  return Math.min(1, INITIAL_SLOW_START_WEIGHT + (1 - INITIAL_SLOW_START_WEIGHT) * fraction);
}

/** Tracks when this member saw zones return to service; times are passed in as arguments. */
export class ZoneReturns {
  readonly #outZones = new Set<string>();
  readonly #returnedAt = new Map<string, number>();

  private constructor() {}

  /** Creates the tracker of a member that has seen no zone taken out. */
  static create(): ZoneReturns {
    return new ZoneReturns();
  }

  /** Applies the latest fleet; a zone taken out again restarts its slow start when it returns. */
  update(fleet: Fleet, now: number): void {
    for (const zone of fleet.tables.zones.values()) {
      if (zone.isOut) {
        this.#outZones.add(zone.zone);
        this.#returnedAt.delete(zone.zone);
      } else if (this.#outZones.delete(zone.zone)) {
        this.#returnedAt.set(zone.zone, now);
      }
    }
  }

  /** Gets the weight of a zone's executors, from 0 to 1; 0 while the zone is out. */
  getWeight(zone: string, now: number): number {
    if (this.#outZones.has(zone)) return 0;
    const returnedAt = this.#returnedAt.get(zone);
    return returnedAt === undefined ? 1 : getReturnWeight(now - returnedAt);
  }
}
