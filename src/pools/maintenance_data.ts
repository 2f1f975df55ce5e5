/** The state of a maintenance in the fleet. A maintenance reboots every host of its scope once. */

import type { HostData } from "../machines/host_data.ts";

/** The kinds of scopes of a maintenance. */
export const MaintenanceScopeKind = {
  Pool: "pool",
  Zone: "zone",
  Rack: "rack",
  All: "all",
} as const;

/** One of the kinds of scopes. */
export type MaintenanceScopeKind = (typeof MaintenanceScopeKind)[keyof typeof MaintenanceScopeKind];

/** The scope of a maintenance: the hosts that it reboots. */
export interface MaintenanceScope {
  /** Whether it is a pool, a zone, a rack or all hosts. */
  kind: MaintenanceScopeKind;
  /** The pool, the zone, or the rack as `zone/rack`; empty for all hosts. */
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

/** A maintenance as stored in the fleet. */
export interface MaintenanceData {
  /** The name. */
  maintenance: string;
  /** The scope. */
  scope: MaintenanceScope;
  /** The maximum number of hosts missing after their reboot; it is paused if more are missing. */
  mostMissing: number;
  /** The state. */
  state: MaintenanceState;
  /** The reason why it is paused or stopped; empty otherwise. */
  reason: string;
  /** The offset of the record that started it; hosts maintained after it are done. */
  startedAt: number;
  /** The offset of the record that last started or resumed it; only hosts drained after it can be missing. */
  resumedAt: number;
}

/** Gets whether a host is in the scope of a maintenance. */
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

/** Gets whether a host is in the scope of a maintenance that has not rebooted it yet. */
export function isMaintenancePending(host: HostData, maintenance: MaintenanceData): boolean {
  return host.maintainedAt < maintenance.startedAt && isInScope(host, maintenance.scope);
}
