/** Computes the progress of a maintenance and its remaining time. */

import { HostState } from "../machines/host_data.ts";
import type { Fleet } from "../records/fleet.ts";
import { isInScope, type MaintenanceData, MaintenanceState } from "./maintenance_data.ts";
import {
  type EstimateDowntimeMilliseconds,
  estimateRemainingMilliseconds,
} from "./maintenance_planner.ts";

/** The progress of a maintenance, as shown to operators. */
export interface MaintenanceProgress {
  /** The name. */
  maintenance: string;
  /** The scope, such as `pool/hotels`. */
  scope: string;
  /** The state. */
  state: MaintenanceState;
  /** The reason why it is paused or stopped; empty otherwise. */
  reason: string;
  /** The number of hosts in the scope. */
  hosts: number;
  /** The number of hosts that rebooted and returned. */
  done: number;
  /** The number of hosts that are drained for it. */
  away: number;
  /** The estimated remaining seconds within the current budgets; undefined if it is not running. */
  remainingSeconds: number | undefined;
}

/** Gets the progress of a maintenance. */
export function getMaintenanceProgress(
  fleet: Fleet,
  maintenance: MaintenanceData,
  estimateDowntime: EstimateDowntimeMilliseconds,
): MaintenanceProgress {
  const { scope, state, reason } = maintenance;
  let hosts = 0;
  let done = 0;
  let away = 0;
  for (const host of fleet.tables.hosts.values()) {
    if (!isInScope(host, scope)) continue;
    hosts += 1;
    if (host.maintainedAt > maintenance.startedAt) done += 1;
    const isDraining = host.state === HostState.Draining;
    if (isDraining && host.drain?.maintenance === maintenance.maintenance) away += 1;
  }
  const isRunning = state === MaintenanceState.Running;
  const remaining = isRunning
    ? estimateRemainingMilliseconds({
      fleet,
      maintenance,
      estimateDowntimeMilliseconds: estimateDowntime,
    })
    : undefined;
  return {
    maintenance: maintenance.maintenance,
    scope: scope.name === "" ? scope.kind : `${scope.kind}/${scope.name}`,
    state,
    reason,
    hosts,
    done,
    away,
    remainingSeconds: remaining === undefined ? undefined : Math.ceil(remaining / 1_000),
  };
}
