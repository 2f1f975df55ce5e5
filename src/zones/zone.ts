/** An availability zone of the fleet. */

import type { Host } from "../machines/host.ts";
import type { Fleet } from "../records/fleet.ts";
import type { ZoneData } from "./zone_data.ts";

/** Options of a `Zone`. */
export interface ZoneOptions {
  /** The fleet to which the zone belongs. */
  fleet: Fleet;
  /** The data of the zone in the fleet. */
  data: ZoneData;
}

/** An availability zone: its hosts can fail together, and operators can take it out of service. */
export class Zone {
  readonly #fleet: Fleet;
  readonly #data: ZoneData;

  private constructor(options: ZoneOptions) {
    this.#fleet = options.fleet;
    this.#data = options.data;
  }

  static create(options: ZoneOptions): Zone {
    return new Zone(options);
  }

  getName(): string {
    return this.#data.zone;
  }

  /** Gets whether operators have taken the zone out of service. */
  isOut(): boolean {
    return this.#data.isOut;
  }

  /** Gets the offset of the record that last changed the zone. */
  getChangedAt(): number {
    return this.#data.changedAt;
  }

  /** Gets the hosts in the zone. */
  getHosts(): Host[] {
    return this.#fleet.getHosts().filter((host) => host.getZoneName() === this.getName());
  }
}
