/** What the entry host that is responsible for a maintenance does next: a function of what it knows. */

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
import type { HostDrainedBody, HostReturnedBody } from "./membership_records.ts";

/** How long a host may take from the order of its reboot until it is listed again. */
export const REBOOT_TIMEOUT_MILLISECONDS = 1_800_000;

/** The wait before the same reboot is ordered again, in case the order or its answer was lost. */
export const REBOOT_RETRY_INTERVAL_MILLISECONDS = 10_000;

/** How long after a stop a host that did not reboot is kept away, so that no late order meets it in service. */
export const STOP_GRACE_MILLISECONDS = 30_000;

/** The most drains of one wave. */
export const MAXIMUM_DRAINS_PER_WAVE = 200;

/** The most hosts that the reason of a pause names. */
const MOST_NAMED_HOSTS = 5;

/** What a member has seen of a drained host. */
export interface DrainStatus {
  /** When nothing ran on it any more, in elapsed milliseconds; undefined while something may run. */
  idleAt: number | undefined;
  /** When its reboot was last ordered. */
  rebootOrderedAt: number | undefined;
}

/** What a step is decided from. */
export interface MaintenanceStepOptions {
  /** The fleet. */
  fleet: Fleet;
  /** The maintenance. */
  maintenance: MaintenanceData;
  /** The platform's list, read a moment ago. */
  listed: ListedHosts;
  /** The elapsed milliseconds. */
  now: number;
  /** When this member learnt that the maintenance is in its state. */
  stateSince: number;
  /** What was seen of each drained host. */
  drainStatuses: ReadonlyMap<string, DrainStatus>;
  /** The hosts of which a record is on its way. */
  pendingHosts: ReadonlySet<string>;
  /** How long each host is expected to be away. */
  estimateDowntimeMilliseconds: EstimateDowntimeMilliseconds;
  /** How long a host may take to reboot. */
  rebootTimeoutMilliseconds: number;
  /** How long after a stop a host is kept away that did not reboot. */
  stopGraceMilliseconds: number;
  /** Plans the next wave. */
  planWave: PlanWave;
}

/** One thing to do for a maintenance. */
export type MaintenanceAction =
  | { kind: "drain"; body: HostDrainedBody }
  | { kind: "order-reboot"; host: string; boots: number }
  | { kind: "return"; body: HostReturnedBody; changedAt: number }
  | { kind: "pause"; reason: string }
  | { kind: "complete" };

/** Decides what to do next; hosts that are away are brought back in every state of the maintenance. */
export function decideMaintenanceStep(options: MaintenanceStepOptions): MaintenanceAction[] {
  const away = findDrainedHosts(options.fleet, options.maintenance);
  const actions = away.flatMap((host) => decideHost(options, host));
  if (options.maintenance.state !== MaintenanceState.Running) return actions;
  const missing = away.filter((host) => isMissing(options, host));
  if (missing.length > options.maintenance.mostMissing) {
    return [...actions, { kind: "pause", reason: describeMissing(missing) }];
  }
  if (options.pendingHosts.size > 0) return actions;
  const drains = options.planWave({ ...options, mostDrains: MAXIMUM_DRAINS_PER_WAVE });
  for (const body of drains) actions.push({ kind: "drain", body });
  if (actions.length === 0 && away.length === 0 && !hasHostsLeft(options)) {
    actions.push({ kind: "complete" });
  }
  return actions;
}

/** Gets the hosts that are drained for a maintenance, without those whose drain may still be refused. */
export function findDrainedHosts(fleet: Fleet, maintenance: MaintenanceData): HostData[] {
  const away: HostData[] = [];
  for (const host of fleet.tables.hosts.values()) {
    if (host.state !== HostState.Draining || host.changedAt > fleet.offset) continue;
    if (host.drain?.maintenance === maintenance.maintenance) away.push(host);
  }
  return away;
}

function decideHost(options: MaintenanceStepOptions, host: HostData): MaintenanceAction[] {
  if (options.pendingHosts.has(host.host)) return [];
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
  const sight = options.drainStatuses.get(host.host);
  if (sight?.idleAt === undefined) return false;
  const { rebootOrderedAt: orderedAt } = sight;
  return orderedAt === undefined || options.now - orderedAt >= REBOOT_RETRY_INTERVAL_MILLISECONDS;
}

/** Gets whether a host drained since the last start or resumption has not come back in time. */
function isMissing(options: MaintenanceStepOptions, host: HostData): boolean {
  if (host.changedAt < options.maintenance.resumedAt) return false;
  const idleAt = options.drainStatuses.get(host.host)?.idleAt;
  return idleAt !== undefined && options.now - idleAt > options.rebootTimeoutMilliseconds;
}

function describeMissing(missing: readonly HostData[]): string {
  const names = missing.slice(0, MOST_NAMED_HOSTS).map((host) => host.host).join(", ");
  const more = missing.length > MOST_NAMED_HOSTS ? ` and ${missing.length - MOST_NAMED_HOSTS}` : "";
  return `not back after the reboot: ${names}${more}`;
}

function hasHostsLeft(options: MaintenanceStepOptions): boolean {
  for (const host of options.fleet.tables.hosts.values()) {
    if (isMaintenancePending(host, options.maintenance)) return true;
  }
  return false;
}
