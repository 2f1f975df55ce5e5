/** The state of the fleet at an offset of the log: immutable, and passed between tasks in messages. */

import { Member } from "../contracts/member.ts";
import { Job } from "../jobs/job.ts";
import type { WorkerLoadData } from "../jobs/job_data.ts";
import { Roster } from "../contracts/roster.ts";
import { Host } from "../machines/host.ts";
import { Pool } from "../pools/pool.ts";
import { Profile } from "../profiles/profile.ts";
import { Service } from "../profiles/service.ts";
import { Key } from "../teams/key.ts";
import { Team } from "../teams/team.ts";
import { Zone } from "../zones/zone.ts";
import { StepError } from "../errors/mod.ts";
import { type FleetMaps, type FleetTables, TABLE_NAMES, type TableName } from "./fleet_tables.ts";

/** The offset of a fleet to which no record has been applied. */
export const NO_OFFSET = -1;

/** Options of a `Fleet`. */
export interface FleetOptions {
  /** The offset of the newest applied record. */
  offset: number;
  tables: FleetMaps;
  /** Whether the fleet's snapshot contains tables that this version of the program does not know. */
  hasUnknownTables?: boolean;
}

/** The content of a fleet in a snapshot. */
export interface FleetData {
  /** The offset of the newest applied record. */
  offset: number;
  /** The keys and rows of each table. */
  tables: { [Name in TableName]: [string, FleetTables[Name]][] };
}

/** The fleet at an offset: its zones, hosts, pools, teams, keys, profiles and members. */
export class Fleet {
  /** The offset of the newest applied record. */
  readonly offset: number;
  /** The tables, for `FleetDraft`. */
  readonly tables: FleetMaps;
  readonly #hasUnknownTables: boolean;
  #hostsByPool: Map<string, Host[]> | undefined;
  #roster: Roster | undefined;

  private constructor(options: FleetOptions) {
    this.offset = options.offset;
    this.tables = options.tables;
    this.#hasUnknownTables = options.hasUnknownTables ?? false;
  }

  static create(options: FleetOptions): Fleet {
    return new Fleet(options);
  }

  /** Creates the fleet to which no record has been applied. */
  static createEmpty(): Fleet {
    const entries = TABLE_NAMES.map((name) => [name, new Map()]);
    return new Fleet({ offset: NO_OFFSET, tables: Object.fromEntries(entries) as FleetMaps });
  }

  /** Creates the fleet from the content of a snapshot. */
  static createFromData(data: FleetData): Fleet {
    const entries = TABLE_NAMES.map((name) => [name, new Map(data.tables[name] as [] ?? [])]);
    const tables = Object.fromEntries(entries) as FleetMaps;
    const known: readonly string[] = TABLE_NAMES;
    const hasUnknownTables = Object.keys(data.tables).some((name) => !known.includes(name));
    return new Fleet({ offset: data.offset, tables, hasUnknownTables });
  }

  /** Gets the content of this fleet for a snapshot. */
  toData(): FleetData {
    const entries = TABLE_NAMES.map((name) => [name, [...this.tables[name]]]);
    return { offset: this.offset, tables: Object.fromEntries(entries) as FleetData["tables"] };
  }

  /** Gets whether the fleet's snapshot contains tables that this version of the program does not know. */
  hasUnknownTables(): boolean {
    return this.#hasUnknownTables;
  }

  /** Gets the zone, or `undefined` if the fleet has none of this name. */
  getZone(name: string): Zone | undefined {
    const data = this.tables.zones.get(name);
    return data && Zone.create({ fleet: this, data });
  }

  /** Gets the zone, or throws a `StepError` if the fleet has none of this name. */
  getZoneOrThrow(name: string): Zone {
    return this.getZone(name) ?? this.#throwMissing("zone", name);
  }

  getZones(): Zone[] {
    return [...this.tables.zones.values()].map((data) => Zone.create({ fleet: this, data }));
  }

  /** Gets the host, or `undefined` if the fleet has none of this name. */
  getHost(name: string): Host | undefined {
    const data = this.tables.hosts.get(name);
    return data && Host.create({ fleet: this, data });
  }

  /** Gets the host, or throws a `StepError` if the fleet has none of this name. */
  getHostOrThrow(name: string): Host {
    return this.getHost(name) ?? this.#throwMissing("host", name);
  }

  getHosts(): Host[] {
    return [...this.tables.hosts.values()].map((data) => Host.create({ fleet: this, data }));
  }

  /** Gets the pool. A pool is defined by its hosts only, so an unknown name gives an empty pool. */
  getPool(name: string): Pool {
    return Pool.create({ fleet: this, name });
  }

  /** Gets the pools that have at least one host. */
  getPools(): Pool[] {
    return [...this.#getHostsByPool().keys()].map((name) => this.getPool(name));
  }

  getHostsOfPool(pool: string): readonly Host[] {
    return this.#getHostsByPool().get(pool) ?? [];
  }

  /** Gets the profile, or `undefined` if it was not published. */
  getProfile(name: string): Profile | undefined {
    const data = this.tables.profiles.get(name);
    return data && Profile.create({ fleet: this, data });
  }

  getProfiles(): Profile[] {
    return [...this.tables.profiles.values()].map((data) => Profile.create({ fleet: this, data }));
  }

  /** Gets the service, or `undefined` if it has not picked a profile. */
  getService(name: string): Service | undefined {
    const data = this.tables.services.get(name);
    return data && Service.create({ fleet: this, data });
  }

  /** Gets the services that have picked a profile. */
  getServices(): Service[] {
    return [...this.tables.services.values()].map((data) => Service.create({ fleet: this, data }));
  }

  /** Gets the team, or `undefined` if no profile names it. */
  getTeam(name: string): Team | undefined {
    const data = this.tables.teams.get(name);
    return data && Team.create({ fleet: this, data });
  }

  /** Gets the teams that are named in profiles. */
  getTeams(): Team[] {
    return [...this.tables.teams.values()].map((data) => Team.create({ fleet: this, data }));
  }

  /** Gets the key, or `undefined` if it was not granted. */
  getKey(keyId: string): Key | undefined {
    const data = this.tables.keys.get(keyId);
    return data && Key.create({ fleet: this, data });
  }

  /** Gets all granted keys, including withdrawn ones. */
  getKeys(): Key[] {
    return [...this.tables.keys.values()].map((data) => Key.create({ fleet: this, data }));
  }

  /** Gets the member, or `undefined` if the roster does not list it. */
  getMember(memberId: string): Member | undefined {
    const data = this.tables.members.get(memberId);
    return data && Member.create({ fleet: this, data });
  }

  /** Gets the members of the roster. */
  getMembers(): Member[] {
    return [...this.tables.members.values()].map((data) => Member.create({ fleet: this, data }));
  }

  getRoster(): Roster {
    return this.#roster ??= Roster.create(this);
  }

  /** Gets the job, or `undefined` if it is neither active nor among the retained ended jobs. */
  getJob(jobId: string): Job | undefined {
    const data = this.tables.jobs.get(jobId) ?? this.tables.endedJobs.get(jobId);
    return data && Job.create({ fleet: this, data });
  }

  getActiveJobs(): Job[] {
    return [...this.tables.jobs.values()].map((data) => Job.create({ fleet: this, data }));
  }

  /** Gets the load of a worker, or `undefined` if it has no work, no failed jobs and is not set aside. */
  getWorkerLoad(worker: string): WorkerLoadData | undefined {
    return this.tables.workerLoads.get(worker);
  }

  /** Gets the number of running tasks of a team in the whole fleet. */
  getTeamTaskCount(team: string): number {
    return this.tables.teamTasks.get(team) ?? 0;
  }

  #getHostsByPool(): Map<string, Host[]> {
    if (this.#hostsByPool === undefined) {
      this.#hostsByPool = new Map();
      for (const host of this.getHosts()) {
        const pool = host.getPoolName();
        const hosts = this.#hostsByPool.get(pool) ?? [];
        hosts.push(host);
        this.#hostsByPool.set(pool, hosts);
      }
    }
    return this.#hostsByPool;
  }

  #throwMissing(kind: string, name: string): never {
    throw new StepError({
      message: `no ${kind} named ${name}`,
      step: `get-${kind}`,
      peer: "local",
    });
  }
}
