/** The status of the fleet for operators. */

import type { MemberProgress } from "../contracts/member_messages.ts";
import type { MaintenanceProgress } from "../pools/maintenance_progress.ts";
import type { Fleet } from "../records/fleet.ts";

/** The status of an entry host and of the fleet as it has it. */
export interface EntryStatus {
  /** This entry host. */
  self: { memberId: string; standing: string; offset: number; isReady: boolean };
  /** The members of the roster. */
  entryHosts: MemberProgress[];
  /** The availability zones. */
  zones: { zone: string; state: string; hosts: number }[];
  /** The pools with their budgets. */
  pools: { pool: string; hosts: number; away: number; mostAway: number }[];
  /** The teams with their limits and the number of requests that run through this entry host. */
  teams: { team: string; upperLimit: number; running: number }[];
  /** The progress of every maintenance. */
  maintenances: MaintenanceProgress[];
}

/** Options of `createEntryStatus`. */
export interface EntryStatusOptions {
  /** The fleet. */
  fleet: Fleet;
  /** The member id of this process. */
  memberId: string;
  /** The standing of this process. */
  standing: string;
  /** Whether the load balancer should send callers to this host. */
  isReady: boolean;
  /** The progress of the members in the log. */
  progress: MemberProgress[];
  /** The number of requests that run through this entry host, by team. */
  runningByTeam: Readonly<Record<string, number>>;
  /** The progress of every maintenance. */
  maintenances: MaintenanceProgress[];
}

/** Creates the status. */
export function createEntryStatus(options: EntryStatusOptions): EntryStatus {
  const { fleet, memberId, standing, isReady, runningByTeam } = options;
  return {
    self: { memberId, standing, offset: fleet.offset, isReady },
    entryHosts: options.progress,
    zones: listZones(fleet),
    pools: fleet.getPools().map((pool) => ({
      pool: pool.getName(),
      hosts: pool.getHosts().length,
      away: pool.getHosts().filter((host) => !host.isSchedulable()).length,
      mostAway: pool.getMaximumUnavailable(),
    })),
    teams: fleet.getTeams().map((team) => ({
      team: team.getName(),
      upperLimit: team.getUpperLimit(),
      running: runningByTeam[team.getName()] ?? 0,
    })),
    maintenances: options.maintenances,
  };
}

function listZones(fleet: Fleet): EntryStatus["zones"] {
  const hosts = new Map<string, number>();
  for (const host of fleet.getHosts()) {
    hosts.set(host.getZoneName(), (hosts.get(host.getZoneName()) ?? 0) + 1);
  }
  return fleet.getZones().map((zone) => ({
    zone: zone.getName(),
    state: zone.isOut() ? "out" : "in",
    hosts: hosts.get(zone.getName()) ?? 0,
  }));
}
