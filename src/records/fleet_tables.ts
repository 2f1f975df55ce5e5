/** The tables of the fleet's state: plain data, so that snapshots need no conversion. */

import type { MemberData } from "../contracts/member_data.ts";
import type { JobData, WorkerLoadData } from "../jobs/job_data.ts";
import type { DepartureData, RosterData } from "../contracts/roster_data.ts";
import type { HostData } from "../machines/host_data.ts";
import type { BudgetData } from "../pools/budget_data.ts";
import type { HostCounts } from "../pools/host_counts.ts";
import type { MaintenanceData } from "../pools/maintenance_data.ts";
import type { ProfileData } from "../profiles/profile_data.ts";
import type { ServiceData } from "../profiles/service_data.ts";
import type { KeyData } from "../teams/key_data.ts";
import type { TeamData } from "../teams/team_data.ts";
import type { FirstVerdict } from "./verdict.ts";
import type { ZoneData } from "../zones/zone_data.ts";

/** The row type of each table. Rows are never modified in place. */
export interface FleetTables {
  /** By zone name. */
  zones: ZoneData;
  /** By host name. */
  hosts: HostData;
  /** By key id. */
  keys: KeyData;
  /** By profile name. */
  profiles: ProfileData;
  /** By service name. */
  services: ServiceData;
  /** By team name. */
  teams: TeamData;
  /** The highest upper limit that each team ever had, by team name. */
  highestLimits: number;
  /** By member id. */
  members: MemberData;
  /** Active jobs, by job id. */
  jobs: JobData;
  /** Ended jobs within the retention period, counted in offsets; by job id, in order of their end. */
  endedJobs: JobData;
  /** By worker name; only workers with work, with failed jobs or set aside. */
  workerLoads: WorkerLoadData;
  /** The number of running tasks, by team name. */
  teamTasks: number;
  /** The first verdict on each of the newest records, by record id. */
  recordIds: FirstVerdict;
  /** By offset, from the newest change in force on. */
  rosters: RosterData;
  /** By member id. */
  departures: DepartureData;
  /** By failure domain, such as `pool/hotels`. */
  hostCounts: HostCounts;
  /** By failure domain, such as `pool/hotels` or `rack/*`. */
  budgets: BudgetData;
  /** By maintenance name. */
  maintenances: MaintenanceData;
}

export type TableName = keyof FleetTables;

/** The names of all tables. */
export const TABLE_NAMES: readonly TableName[] = [
  "zones",
  "hosts",
  "keys",
  "profiles",
  "services",
  "teams",
  "highestLimits",
  "members",
  "jobs",
  "endedJobs",
  "workerLoads",
  "teamTasks",
  "rosters",
  "departures",
  "hostCounts",
  "budgets",
  "maintenances",
  "recordIds",
];

/** The tables by name. */
export type FleetMaps = { [Name in TableName]: ReadonlyMap<string, FleetTables[Name]> };
