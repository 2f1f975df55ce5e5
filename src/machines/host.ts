/** A host of the fleet: an executor or a worker. */

import type { Pool } from "../pools/pool.ts";
import type { Fleet } from "../records/fleet.ts";
import type { Zone } from "../zones/zone.ts";
import { type HostData, HostKind, HostState } from "./host_data.ts";

/** Options of a `Host`. */
export interface HostOptions {
  /** The fleet to which the host belongs. */
  fleet: Fleet;
  /** The data of the host in the fleet. */
  data: HostData;
}

/** A machine in exactly one pool. */
export class Host {
  readonly #fleet: Fleet;
  readonly #data: HostData;

  private constructor(options: HostOptions) {
    this.#fleet = options.fleet;
    this.#data = options.data;
  }

  static create(options: HostOptions): Host {
    return new Host(options);
  }

  getName(): string {
    return this.#data.host;
  }

  /** Gets the data of the host in the fleet. */
  getData(): HostData {
    return this.#data;
  }

  /** Gets the IP address and port of its service. */
  getAddress(): string {
    return this.#data.address;
  }

  getPool(): Pool {
    return this.#fleet.getPool(this.#data.pool);
  }

  getPoolName(): string {
    return this.#data.pool;
  }

  getZone(): Zone {
    return this.#fleet.getZoneOrThrow(this.#data.zone);
  }

  getZoneName(): string {
    return this.#data.zone;
  }

  /** Gets whether the host executes requests. */
  isExecutor(): boolean {
    return this.#data.kind === HostKind.Executor;
  }

  /** Gets whether new work may start on the host: it is serving, and its zone is not taken out. */
  isSchedulable(): boolean {
    return this.#data.state === HostState.Serving && !this.getZone().isOut();
  }
}
