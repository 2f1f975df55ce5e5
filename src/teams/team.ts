/** A team whose requests and jobs the fleet runs. */

import type { Fleet } from "../records/fleet.ts";
import type { Key } from "./key.ts";
import type { TeamData } from "./team_data.ts";

/** Options of a `Team`. */
export interface TeamOptions {
  /** The fleet to which the team belongs. */
  fleet: Fleet;
  /** The team's row in the fleet. */
  data: TeamData;
}

/** A customer's team, with its upper limit and its keys. */
export class Team {
  readonly #fleet: Fleet;
  readonly #data: TeamData;

  private constructor(options: TeamOptions) {
    this.#fleet = options.fleet;
    this.#data = options.data;
  }

  static create(options: TeamOptions): Team {
    return new Team(options);
  }

  getName(): string {
    return this.#data.team;
  }

  /** Gets the maximum number of requests and tasks that the team may run at once in the fleet. */
  getUpperLimit(): number {
    return this.#data.upperLimit;
  }

  /** Gets the part of the upper limit that is reserved for tasks of jobs. */
  getTaskLimit(): number {
    return this.#data.taskLimit;
  }

  /** Gets the keys of the team, including withdrawn ones. */
  getKeys(): Key[] {
    return this.#fleet.getKeys().filter((key) => key.getTeamName() === this.getName());
  }
}

/** Gets the part of a team's upper limit that is left to its requests. */
export function getRequestLimit(team: TeamData): number {
  return Math.max(0, team.upperLimit - team.taskLimit);
}
