/** Fleets for the measurements of loans. */

import { RECORD_RULES } from "../entry/record_rules.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import { hashSecret } from "../teams/key_secret.ts";

const SECRET = "a-secret-of-enough-characters";

/** One team. */
export interface FleetTeam {
  /** The name. */
  team: string;
  /** The share. */
  share: number;
  /** The upper limit. */
  upperLimit: number;
}

/** Options of `createLoanFleetRecords`. */
export interface LoanFleetOptions {
  /** The teams, all of them with rights on the one service. */
  teams: readonly FleetTeam[];
  /** The executors. */
  executors: number;
  /** How many requests of a team may wait at an entry host. */
  queueLength: number;
  /** The longest time that a request may run. */
  longestRunMilliseconds?: number;
}

/** The name of the one service. */
export const FLEET_SERVICE = "tugdesk";

/** Gets the text of a team's key. */
export function getPresentedKey(team: string): string {
  return `key-${team}.${SECRET}`;
}

/** Creates a fleet with one service, its executors of 8 slots, and teams with a key each. */
export function createLoanFleet(options: LoanFleetOptions): Fleet {
  const { teams, queueLength, longestRunMilliseconds = 30_000 } = options;
  const bodies: [kind: string, body: unknown][] = [
    ["profile-published", { profile: "tides", queueLength, longestRunMilliseconds, teams }],
    ["profile-picked", { service: FLEET_SERVICE, profile: "tides" }],
  ];
  for (const { team } of teams) {
    bodies.push(["key-granted", { keyId: `key-${team}`, team, secretHash: hashSecret(SECRET) }]);
  }
  for (let index = 0; index < options.executors; index += 1) {
    bodies.push(["host-enrolled", {
      host: `${FLEET_SERVICE}-${index}`,
      kind: "executor",
      pool: FLEET_SERVICE,
      zone: `zone-${index % 4}`,
      rack: `rack-${index % 4}`,
      address: "127.0.0.1:1",
      slots: 8,
      connections: 64,
      cores: 32,
      memoryGigabytes: 128,
      accelerators: 0,
    }]);
  }
  const records = bodies.map(([kind, body], offset) => ({
    offset,
    id: `r${offset}`,
    kind,
    version: 1,
    author: "operator",
    body,
  }));
  return foldRecords(Fleet.createEmpty(), records, RECORD_RULES).fleet;
}
