/** A small model of a maintenance: members that decide, one log, and hosts that reboot, on a clock of its own. */

import { RECORD_RULES } from "../entry/record_rules.ts";
import { type HostData, HostState } from "../machines/host_data.ts";
import type { ListedHosts } from "../pools/lost_hosts.ts";
import type { MaintenanceData } from "../pools/maintenance_data.ts";
import type { EstimateDowntimeMilliseconds, PlanWave } from "../pools/maintenance_planner.ts";
import { MaintenanceRecordKind } from "../pools/maintenance_records.ts";
import {
  decideMaintenanceStep,
  type DrainStatus,
  findDrainedHosts,
  type MaintenanceAction,
} from "../pools/maintenance_step.ts";
import { PoolMembershipRecordKind } from "../pools/pool_membership_records.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords, type JudgedRecord } from "../records/fold.ts";
import { type ListedHost, ListedState } from "../records/platform_messages.ts";

/** How old the knowledge of a modelled member may be when it acts; its steps are minutes. */
const FRESHNESS_MILLISECONDS = 360_000;

/** How long after a stop a host is kept away that did not reboot: longer than knowledge is acted on. */
const STOP_GRACE_MILLISECONDS = 720_000;

/** Options of a `MaintenanceModel`. */
export interface MaintenanceModelOptions {
  /** The records before the maintenance: hosts, budgets, profiles. */
  bodies: readonly (readonly [kind: string, body: unknown])[];
  /** How many members act, all of them at once: the worst that a change of roster can bring. */
  members: number;
  /** How long work runs on a host after its drain. */
  getDrainMilliseconds: EstimateDowntimeMilliseconds;
  /** How long a host reboots. */
  rebootMilliseconds: number;
  /** How long a host may take to reboot before it counts as missing. */
  rebootTimeoutMilliseconds: number;
  /** Plans the waves. */
  planWave: PlanWave;
  /** Decides a step, unless a test passes in another decision. */
  decide?: typeof decideMaintenanceStep;
  /** How long after a stop a host that did not reboot is kept away. */
  stopGraceMilliseconds?: number;
  /** Takes each judged record with the fleets before and after it. */
  onJudged?: (before: Fleet, judged: JudgedRecord, after: Fleet) => void;
}

interface ModelMember {
  fleet: Fleet;
  readAt: number;
  stateSince: Map<string, [string, number]>;
  idleAt: Map<string, [drainedAt: number, at: number]>;
  orderedAt: Map<string, number>;
}

interface ModelRecord {
  kind: string;
  body: unknown;
  id?: string;
}

interface ModelHost {
  listed: ListedHost;
  orders: number;
  backAt: number;
}

/** The hosts, the log and the members of a modelled maintenance. */
export class MaintenanceModel {
  /** The elapsed milliseconds. */
  now = 0;
  /** Whether the log answers. */
  isLogAvailable = true;
  /** The hosts that do not come back from a reboot. */
  readonly neverReturning = new Set<string>();
  /** The hosts that are lost without a plan. */
  readonly lost = new Set<string>();
  /** What went wrong at the hosts: a reboot of a host that was in service. */
  readonly violations: string[] = [];
  readonly #options: MaintenanceModelOptions;
  readonly #members: ModelMember[];
  readonly #hosts = new Map<string, ModelHost>();
  #fleet = Fleet.createEmpty();

  private constructor(options: MaintenanceModelOptions) {
    this.#options = options;
    this.#append(options.bodies.map(([kind, body]) => ({ kind, body })));
    for (const host of this.#fleet.tables.hosts.values()) {
      const listed = { ...host, state: ListedState.Live, boots: 1 };
      this.#hosts.set(host.host, { listed, orders: 0, backAt: 0 });
    }
    this.#members = Array.from({ length: options.members }, () => ({
      fleet: this.#fleet,
      readAt: 0,
      stateSince: new Map(),
      idleAt: new Map(),
      orderedAt: new Map(),
    }));
  }

  /** Creates the model with its hosts enrolled. */
  static create(options: MaintenanceModelOptions): MaintenanceModel {
    return new MaintenanceModel(options);
  }

  /** Gets the fleet at the head of the log. */
  getFleet(): Fleet {
    return this.#fleet;
  }

  /** Gets how often each host was made to reboot. */
  getRebootCounts(): Map<string, number> {
    return new Map([...this.#hosts].map(([name, host]) => [name, host.orders]));
  }

  /** Appends a record and judges it. */
  publish(kind: string, body: unknown): void {
    this.#append([{ kind, body }]);
  }

  /** Lets time pass, and then one member act on what it knows: with a list read before and an older fleet. */
  act(memberIndex: number, milliseconds: number, list: ListedHosts): MaintenanceAction[] {
    this.now += milliseconds;
    const member = this.#members[memberIndex]!;
    if (!this.isLogAvailable || this.now - member.readAt > FRESHNESS_MILLISECONDS) return [];
    const actions = [...member.fleet.tables.maintenances.values()].flatMap((maintenance) =>
      this.#decide(member, maintenance, list)
    );
    this.#append(actions.flatMap((action) => this.#perform(member, action)));
    return actions;
  }

  /** Lets a member read the log to its head. */
  readLog(memberIndex: number): void {
    if (!this.isLogAvailable) return;
    const member = this.#members[memberIndex]!;
    member.fleet = this.#fleet;
    member.readAt = this.now;
  }

  /** Gets the platform's list of this moment. */
  getListedHosts(): ListedHosts {
    const list = new Map<string, ListedHost>();
    for (const [name, host] of this.#hosts) {
      if (host.backAt <= this.now && !this.lost.has(name)) list.set(name, host.listed);
    }
    return list;
  }

  #decide(
    member: ModelMember,
    maintenance: MaintenanceData,
    listed: ListedHosts,
  ): MaintenanceAction[] {
    const { maintenance: name, state } = maintenance;
    const known = member.stateSince.get(name);
    if (known?.[0] !== state) member.stateSince.set(name, [state, this.now]);
    const sights = new Map<string, DrainStatus>();
    for (const host of findDrainedHosts(member.fleet, maintenance)) {
      sights.set(host.host, this.#look(member, host));
    }
    const decide = this.#options.decide ?? decideMaintenanceStep;
    return decide({
      fleet: member.fleet,
      maintenance,
      listed,
      now: this.now,
      stateSince: member.stateSince.get(name)![1],
      drainStatuses: sights,
      pendingSubjects: new Set(),
      estimateDowntimeMilliseconds: (host) =>
        this.#options.getDrainMilliseconds(host) + this.#options.rebootMilliseconds,
      rebootTimeoutMilliseconds: this.#options.rebootTimeoutMilliseconds,
      stopGraceMilliseconds: this.#options.stopGraceMilliseconds ?? STOP_GRACE_MILLISECONDS,
      planWave: this.#options.planWave,
    });
  }

  #look(member: ModelMember, host: HostData): DrainStatus {
    let seen = member.idleAt.get(host.host);
    if (seen?.[0] !== host.changedAt) {
      seen = [host.changedAt, this.now + this.#options.getDrainMilliseconds(host)];
      member.idleAt.set(host.host, seen);
      member.orderedAt.delete(host.host);
    }
    const idleAt = seen[1] <= this.now ? seen[1] : undefined;
    return { idleAt, rebootOrderedAt: member.orderedAt.get(host.host) };
  }

  #perform(member: ModelMember, action: MaintenanceAction): ModelRecord[] {
    const { offset, tables } = member.fleet;
    const names = [...tables.maintenances.keys()];
    switch (action.kind) {
      case "drain": {
        const { body } = action;
        return [{
          kind: PoolMembershipRecordKind.Drained,
          body,
          id: `drain-${offset}-${body.host}`,
        }];
      }
      case "return":
        return [{ kind: PoolMembershipRecordKind.Returned, body: action.body }];
      case "order-reboot":
        member.orderedAt.set(action.host, this.now);
        this.#reboot(action.host, action.boots);
        return [];
      case "pause":
        return names.map((maintenance) => ({
          kind: MaintenanceRecordKind.Paused,
          body: { maintenance, reason: action.reason },
        }));
      case "complete":
        return names.map((maintenance) => ({
          kind: MaintenanceRecordKind.Completed,
          body: { maintenance },
        }));
    }
  }

  /** Judges records one by one where somebody looks at each, and at once where nobody does. */
  #append(drafts: readonly ModelRecord[]): void {
    const records = drafts.map(({ kind, body, id }, index) => {
      const offset = this.#fleet.offset + 1 + index;
      return { offset, id: id ?? `r${offset}`, kind, version: 1, author: "model", body };
    });
    const batches = this.#options.onJudged === undefined
      ? [records]
      : records.map((record) => [record]);
    for (const batch of batches) {
      const before = this.#fleet;
      const { fleet, judged } = foldRecords(before, batch, RECORD_RULES);
      this.#fleet = fleet;
      for (const each of judged) this.#options.onJudged?.(before, each, fleet);
    }
  }

  #reboot(name: string, boots: number): void {
    const host = this.#hosts.get(name)!;
    if (host.backAt > this.now || host.listed.boots !== boots) return;
    const state = this.#fleet.getHost(name)?.getData().state;
    if (state !== HostState.Draining) this.violations.push(`host ${name} rebooted while ${state}`);
    host.orders += 1;
    host.listed = { ...host.listed, boots: boots + 1 };
    const isGone = this.neverReturning.has(name);
    host.backAt = isGone ? Infinity : this.now + this.#options.rebootMilliseconds;
  }
}
