/** How far a maintenance is, and when it is expected to end. */

import { HostState } from "../machines/host_data.ts";
import type { Fleet } from "../records/fleet.ts";
import { isInScope, type MaintenanceData, MaintenanceState } from "./maintenance_data.ts";
import {
  type EstimateDowntimeMilliseconds,
  estimateRemainingMilliseconds,
} from "./maintenance_planner.ts";

/** What operators see of a maintenance. */
export interface MaintenanceProgress {
  /** The name. */
  maintenance: string;
  /** The scope, such as `pool/hotels`. */
  scope: string;
  /** Its state. */
  state: MaintenanceState;
  /** Why it is paused or stopped. */
  reason: string;
  /** The hosts of the scope. */
  hosts: number;
  /** The hosts that rebooted and came back. */
  done: number;
  /** The hosts that are away for it. */
  away: number;
  /** The seconds until its end within the budgets as they are, or undefined if it does not run. */
  remainingSeconds: number | undefined;
}

/** Gets the progress of a maintenance. */
export function getMaintenanceProgress(
  fleet: Fleet,
  maintenance: MaintenanceData,
  getCycleMilliseconds: EstimateDowntimeMilliseconds,
): MaintenanceProgress {
  const { scope, state, reason } = maintenance;
  let hosts = 0;
  let done = 0;
  let away = 0;
  for (const host of fleet.tables.hosts.values()) {
    if (!isInScope(host, scope)) continue;
    hosts += 1;
    if (host.maintainedAt > maintenance.startedAt) done += 1;
    const isAway = host.state === HostState.Draining;
    if (isAway && host.drain?.maintenance === maintenance.maintenance) away += 1;
  }
  const isRunning = state === MaintenanceState.Running;
  const remaining = isRunning
    ? estimateRemainingMilliseconds({
      fleet,
      maintenance,
      estimateDowntimeMilliseconds: getCycleMilliseconds,
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
