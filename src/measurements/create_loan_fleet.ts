/** Creates fleets for the measurements of loans. */

import { RECORD_RULES } from "../entry/record_rules.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import { hashSecret } from "../teams/key_secret.ts";

const SECRET = "a-secret-of-enough-characters";

/** One team. */
export interface FleetTeam {
  /** Name of the team. */
  team: string;
  /** Weight of the team's share. */
  share: number;
  /** Upper limit of concurrent requests. */
  upperLimit: number;
}

/** Options for `createLoanFleet`. */
export interface LoanFleetOptions {
  /** Teams, all with rights on the one service. */
  teams: readonly FleetTeam[];
  /** Number of executors. */
  executors: number;
  /** Maximum number of queued requests of a team at an entry host. */
  queueLength: number;
  /** Maximum run time of a request. */
  longestRunMilliseconds?: number;
}

/** Name of the one service. */
export const FLEET_SERVICE = "tugdesk";

/** Gets the key that callers of a team present. */
export function getPresentedKey(team: string): string {
  return `key-${team}.${SECRET}`;
}

/** Creates a fleet with one service, executors with 8 slots each, and one key for each team. */
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
