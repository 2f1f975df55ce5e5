/** How much of its work a zone gets while it comes back: little at first, all after a while. */

import type { Fleet } from "../records/fleet.ts";

/** How long a zone takes to get all of its work back. */
export const ZONE_RETURN_MILLISECONDS = 60_000;

/** The part of its work that a zone gets at once, so that its health shows. */
export const INITIAL_RETURN_WEIGHT = 0.1;

/** Gets the weight of a zone's executors, 0 to 1, at a time since the zone was brought back. */
export function getReturnWeight(
  millisecondsSinceReturn: number,
  returnMilliseconds = ZONE_RETURN_MILLISECONDS,
): number {
  const part = Math.max(0, millisecondsSinceReturn) / returnMilliseconds;
  return Math.min(1, INITIAL_RETURN_WEIGHT + (1 - INITIAL_RETURN_WEIGHT) * part);
}

/** Knows when this member saw zones come back; it reads no clock. */
export class ZoneReturns {
  readonly #outZones = new Set<string>();
  readonly #returnedAt = new Map<string, number>();

  private constructor() {}

  /** Creates it for a member that has seen no zone out. */
  static create(): ZoneReturns {
    return new ZoneReturns();
  }

  /** Takes in a newer fleet: a zone that goes out again starts anew when it comes back. */
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

  /** Gets the weight of a zone's executors, 0 to 1; 0 while the zone is out. */
  getWeight(zone: string, now: number): number {
    if (this.#outZones.has(zone)) return 0;
    const returnedAt = this.#returnedAt.get(zone);
    return returnedAt === undefined ? 1 : getReturnWeight(now - returnedAt);
  }
}
