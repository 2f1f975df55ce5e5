/** Decides the next actions of the entry host that is responsible for a maintenance. */

import { type HostData, HostState } from "../machines/host_data.ts";
import type { Fleet } from "../records/fleet.ts";
import { ListedState } from "../records/platform_messages.ts";
import type { ListedHosts } from "./lost_hosts.ts";
import {
  isMaintenancePending,
  type MaintenanceData,
  MaintenanceState,
} from "./maintenance_data.ts";
import type { EstimateDowntimeMilliseconds, PlanWave } from "./maintenance_planner.ts";
import type { HostDrainedBody, HostReturnedBody } from "./pool_membership_records.ts";

/**
 * The default time-out of a reboot, in milliseconds. A host that is not listed again within this time
 * after it became idle counts as missing.
 */
export const REBOOT_TIMEOUT_MILLISECONDS = 1_800_000;

/** The interval at which the order of a reboot is repeated, in case the order or its answer was lost. */
export const REBOOT_RETRY_INTERVAL_MILLISECONDS = 10_000;

/**
 * How long hosts that did not reboot stay drained after a maintenance was stopped. Otherwise a delayed
 * reboot order could reach a host that serves again.
 */
export const STOP_GRACE_MILLISECONDS = 30_000;

/** The maximum number of drains in one wave. */
export const MAXIMUM_DRAINS_PER_WAVE = 200;

/** The maximum number of hosts that the reason of a pause names. */
const MAXIMUM_NAMED_HOSTS = 5;

/** The status of a drained host, as a member observed it. */
export interface DrainStatus {
  /** The monotonic time at which it became idle, in milliseconds; undefined while something may run. */
  idleAt: number | undefined;
  /** The monotonic time at which its reboot was last ordered, in milliseconds; undefined if it was not. */
  rebootOrderedAt: number | undefined;
}

/** The options of a maintenance step. */
export interface MaintenanceStepOptions {
  /** The fleet. */
  fleet: Fleet;
  /** The maintenance. */
  maintenance: MaintenanceData;
  /** The platform's host list, as just read. */
  listed: ListedHosts;
  /** The current monotonic time in milliseconds. */
  now: number;
  /** The monotonic time at which this member first observed the current state of the maintenance. */
  stateSince: number;
  /** The statuses of the drained hosts, by host. */
  drainStatuses: ReadonlyMap<string, DrainStatus>;
  /** The hosts and maintenances with a record that is being published. */
  pendingSubjects: ReadonlySet<string>;
  /** Estimates the downtime of a host. */
  estimateDowntimeMilliseconds: EstimateDowntimeMilliseconds;
  /** How long after it became idle a host may take to reboot before it counts as missing. */
  rebootTimeoutMilliseconds: number;
  /** How long hosts that did not reboot stay drained after a stop. */
  stopGraceMilliseconds: number;
  /** Plans the next wave. */
  planWave: PlanWave;
}

/** An action of a maintenance. The `changedAt` of a return is the offset of the last change of its host. */
export type MaintenanceAction =
  | { kind: "drain"; body: HostDrainedBody }
  | { kind: "order-reboot"; host: string; boots: number }
  | { kind: "return"; body: HostReturnedBody; changedAt: number }
  | { kind: "pause"; reason: string }
  | { kind: "complete" };

/**
 * Decides the next actions of a maintenance. Drained hosts that have rebooted are returned in every
 * state of the maintenance.
 */
export function decideMaintenanceStep(options: MaintenanceStepOptions): MaintenanceAction[] {
  const drained = findDrainedHosts(options.fleet, options.maintenance);
  const actions = drained.flatMap((host) => decideHostActions(options, host));
  if (options.maintenance.state !== MaintenanceState.Running) return actions;
  const missing = drained.filter((host) => isMissing(options, host));
  if (missing.length > options.maintenance.mostMissing) {
    return [...actions, { kind: "pause", reason: describeMissing(missing) }];
  }
  if (options.pendingSubjects.size > 0) return actions;
  const drains = options.planWave({ ...options, mostDrains: MAXIMUM_DRAINS_PER_WAVE });
  for (const body of drains) actions.push({ kind: "drain", body });
  if (actions.length === 0 && drained.length === 0 && !hasPendingHosts(options)) {
    actions.push({ kind: "complete" });
  }
  return actions;
}

/** Gets the hosts drained for a maintenance, except those whose drain may still be refused. */
export function findDrainedHosts(fleet: Fleet, maintenance: MaintenanceData): HostData[] {
  const drained: HostData[] = [];
  for (const host of fleet.tables.hosts.values()) {
    if (host.state !== HostState.Draining || host.changedAt > fleet.offset) continue;
    if (host.drain?.maintenance === maintenance.maintenance) drained.push(host);
  }
  return drained;
}

function decideHostActions(options: MaintenanceStepOptions, host: HostData): MaintenanceAction[] {
  if (options.pendingSubjects.has(host.host)) return [];
  const listed = options.listed.get(host.host);
  if (listed?.state !== ListedState.Live) return [];
  const boots = host.drain?.boots ?? 0;
  const { pool, changedAt } = host;
  if (listed.boots > boots) {
    return [{ kind: "return", body: { host: host.host, pool, boots: listed.boots }, changedAt }];
  }
  switch (options.maintenance.state) {
    case MaintenanceState.Running:
      return isRebootDue(options, host) ? [{ kind: "order-reboot", host: host.host, boots }] : [];
    case MaintenanceState.Paused:
      return [];
    case MaintenanceState.Stopped:
    case MaintenanceState.Completed:
      if (options.now - options.stateSince < options.stopGraceMilliseconds) return [];
      return [{ kind: "return", body: { host: host.host, pool, boots }, changedAt }];
  }
}

function isRebootDue(options: MaintenanceStepOptions, host: HostData): boolean {
  const drainStatus = options.drainStatuses.get(host.host);
  if (drainStatus?.idleAt === undefined) return false;
  const { rebootOrderedAt: orderedAt } = drainStatus;
  return orderedAt === undefined || options.now - orderedAt >= REBOOT_RETRY_INTERVAL_MILLISECONDS;
}

/** Gets whether a host drained since the last start or resumption did not return within the time-out. */
function isMissing(options: MaintenanceStepOptions, host: HostData): boolean {
  if (host.changedAt < options.maintenance.resumedAt) return false;
  const idleAt = options.drainStatuses.get(host.host)?.idleAt;
  return idleAt !== undefined && options.now - idleAt > options.rebootTimeoutMilliseconds;
}

function describeMissing(missing: readonly HostData[]): string {
  const names = missing.slice(0, MAXIMUM_NAMED_HOSTS).map((host) => host.host).join(", ");
  const others = missing.length > MAXIMUM_NAMED_HOSTS
    ? ` and ${missing.length - MAXIMUM_NAMED_HOSTS}`
    : "";
  return `not back after the reboot: ${names}${others}`;
}

function hasPendingHosts(options: MaintenanceStepOptions): boolean {
  for (const host of options.fleet.tables.hosts.values()) {
    if (isMaintenancePending(host, options.maintenance)) return true;
  }
  return false;
}
