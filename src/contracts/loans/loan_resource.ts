/**
 * The resources that are lent: the permits of a team's upper limit and the slots of an executor.
 */

import { getRequestLimit } from "../../teams/team.ts";
import type { Fleet } from "../../records/fleet.ts";
import { findRendezvousMember } from "./rendezvous.ts";

/** The longest run time when no profile declares a longer one. */
const DEFAULT_LONGEST_RUN_MILLISECONDS = 1_000;

/** A resource with a fleet-wide limit. */
export interface LoanResource {
  /** The name, unique over teams and executors. */
  name: string;
  /** The key by which the keeper is chosen: the executors of a pool have the same one. */
  keeperKey: string;
  /** The offset of the newest record that may have changed `keeperKey`. */
  keeperOffset: number;
  /** The maximum number of permits that may be held in the whole fleet. */
  limit: number;
  /** The highest limit that was ever set. */
  highestLimit: number;
  /** The offset of the last record that changed the limit. */
  limitOffset: number;
}

/** The resources at an offset of the log. */
export interface LoanCatalog {
  offset: number;
  /** The resources by name. */
  resources: ReadonlyMap<string, LoanResource>;
  /** The maximum run time of any request. */
  longestRunMilliseconds: number;
}

/** The catalog without resources. */
export const EMPTY_CATALOG: LoanCatalog = {
  offset: -1,
  resources: new Map(),
  longestRunMilliseconds: DEFAULT_LONGEST_RUN_MILLISECONDS,
};

/** Gets the name of the resource of a team's upper limit. */
export function getTeamResource(team: string): string {
  return `t:${team}`;
}

/** Gets the name of the resource of an executor's slots. */
export function getExecutorResource(executor: string): string {
  return `e:${executor}`;
}

/** Gets the keeper key of the executors of a pool. */
export function getPoolKeeperKey(pool: string): string {
  return `p:${pool}`;
}

/** Gets the member that is the keeper for a key. */
export function findKeeper(members: readonly string[], keeperKey: string): string | undefined {
  return findRendezvousMember(members, keeperKey);
}

/** Gets the resources of a fleet. */
export function createLoanCatalog(fleet: Fleet): LoanCatalog {
  const resources = new Map<string, LoanResource>();
  for (const row of fleet.tables.teams.values()) {
    const name = getTeamResource(row.team);
    const limit = getRequestLimit(row);
    const { changedAt: limitOffset } = row;
    const highestLimit = fleet.tables.highestLimits.get(row.team) ?? limit;
    const keeperFields = { keeperKey: name, keeperOffset: -1 };
    resources.set(name, { name, ...keeperFields, limit, highestLimit, limitOffset });
  }
  for (const row of fleet.tables.hosts.values()) {
    if (row.kind !== "executor") continue;
    const name = getExecutorResource(row.host);
    const keeperKey = getPoolKeeperKey(row.pool);
    const { slots: limit, changedAt: limitOffset } = row;
    const keeperFields = { keeperKey, keeperOffset: limitOffset };
    resources.set(name, { name, ...keeperFields, limit, highestLimit: limit, limitOffset });
  }
  let longestRunMilliseconds = DEFAULT_LONGEST_RUN_MILLISECONDS;
  for (const profile of fleet.tables.profiles.values()) {
    longestRunMilliseconds = Math.max(longestRunMilliseconds, profile.longestRunMilliseconds);
  }
  return { offset: fleet.offset, resources, longestRunMilliseconds };
}
