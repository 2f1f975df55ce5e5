/** What the fleet keeps of a maintenance: every host of its scope reboots once. */

import type { HostData } from "../machines/host_data.ts";

/** What a maintenance covers. */
export const MaintenanceScopeKind = {
  Pool: "pool",
  Zone: "zone",
  Rack: "rack",
  All: "all",
} as const;

/** One of the kinds of scopes. */
export type MaintenanceScopeKind = (typeof MaintenanceScopeKind)[keyof typeof MaintenanceScopeKind];

/** The hosts that a maintenance covers. */
export interface MaintenanceScope {
  /** Whether it covers a pool, a zone, a rack or all hosts. */
  kind: MaintenanceScopeKind;
  /** The pool, the zone, or the rack as `zone/rack`; empty for all. */
  name: string;
}

/** The states of a maintenance. */
export const MaintenanceState = {
  Running: "running",
  Paused: "paused",
  Stopped: "stopped",
  Completed: "completed",
} as const;

/** One of the states of a maintenance. */
export type MaintenanceState = (typeof MaintenanceState)[keyof typeof MaintenanceState];

/** What the fleet keeps of a maintenance. */
export interface MaintenanceData {
  /** The name. */
  maintenance: string;
  /** The hosts that it covers. */
  scope: MaintenanceScope;
  /** How many hosts may fail to come back before it pauses itself. */
  mostMissing: number;
  /** Its state. */
  state: MaintenanceState;
  /** Why it is paused or stopped; empty otherwise. */
  reason: string;
  /** The offset of the record that started it: hosts maintained since then are done. */
  startedAt: number;
  /** The offset of the record that last started or resumed it: hosts missing since then count. */
  resumedAt: number;
}

/** Gets whether a maintenance covers a host. */
export function isInScope(host: HostData, scope: MaintenanceScope): boolean {
  switch (scope.kind) {
    case MaintenanceScopeKind.All:
      return true;
    case MaintenanceScopeKind.Pool:
      return host.pool === scope.name;
    case MaintenanceScopeKind.Zone:
      return host.zone === scope.name;
    case MaintenanceScopeKind.Rack:
      return `${host.zone}/${host.rack}` === scope.name;
  }
}

/** Gets whether a host of the scope has not been maintained yet. */
export function isMaintenancePending(host: HostData, maintenance: MaintenanceData): boolean {
  return host.maintainedAt < maintenance.startedAt && isInScope(host, maintenance.scope);
}
