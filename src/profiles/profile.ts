/** A published profile. */

import type { Fleet } from "../records/fleet.ts";
import type { ProfileData, TeamRights } from "./profile_data.ts";
import type { Service } from "./service.ts";

/** Options of a `Profile`. */
export interface ProfileOptions {
  /** The fleet to which the profile belongs. */
  fleet: Fleet;
  /** The published data. */
  data: ProfileData;
}

/** The rules, shares and limits that apply to a kind of work. */
export class Profile {
  readonly #fleet: Fleet;
  readonly #data: ProfileData;

  private constructor(options: ProfileOptions) {
    this.#fleet = options.fleet;
    this.#data = options.data;
  }

  static create(options: ProfileOptions): Profile {
    return new Profile(options);
  }

  getName(): string {
    return this.#data.profile;
  }

  /** Gets the published data. */
  getData(): ProfileData {
    return this.#data;
  }

  /** Gets whether requests and jobs without a key are accepted. */
  isOpenQueue(): boolean {
    return this.#data.isOpenQueue;
  }

  /** Gets the rights of a team, if it has any under this profile. */
  getRights(team: string): TeamRights | undefined {
    return this.#data.teams.find((rights) => rights.team === team);
  }

  /** Gets the services that use the profile. */
  getServices(): Service[] {
    return this.#fleet.getServices().filter((service) =>
      service.getProfile().getName() === this.getName()
    );
  }
}
