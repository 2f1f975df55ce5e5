/** A service that callers address by name. */

import type { Pool } from "../pools/pool.ts";
import type { Fleet } from "../records/fleet.ts";
import { StepError } from "../errors/mod.ts";
import type { Profile } from "./profile.ts";
import type { ServiceData } from "./service_data.ts";

/** Options of a `Service`. */
export interface ServiceOptions {
  /** The fleet to which the service belongs. */
  fleet: Fleet;
  /** The data of the service in the fleet. */
  data: ServiceData;
}

/** A service with its pool and its profile. */
export class Service {
  readonly #fleet: Fleet;
  readonly #data: ServiceData;

  private constructor(options: ServiceOptions) {
    this.#fleet = options.fleet;
    this.#data = options.data;
  }

  static create(options: ServiceOptions): Service {
    return new Service(options);
  }

  getName(): string {
    return this.#data.service;
  }

  getPool(): Pool {
    return this.#fleet.getPool(this.#data.service);
  }

  /** Gets the profile of the service. */
  getProfile(): Profile {
    const profile = this.#fleet.getProfile(this.#data.profile);
    if (profile !== undefined) return profile;
    throw new StepError({
      message: `no profile named ${this.#data.profile}`,
      step: "get-profile",
      peer: "local",
    });
  }
}
