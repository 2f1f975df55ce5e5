/** The dependencies of the tasks for drains, maintenance and spare hosts. */

import { PeersTask } from "../links/peers_task.ts";
import { PlatformTask } from "../links/platform_task.ts";
import { CapacityTask } from "../pools/capacity_task.ts";
import { DrainTask } from "../pools/drain_task.ts";
import { planWave } from "../pools/maintenance_planner.ts";
import { decideMoves } from "../pools/move_decision.ts";
import { STOP_GRACE_MILLISECONDS } from "../pools/maintenance_step.ts";
import type { MaintenanceProgress } from "../pools/maintenance_progress.ts";
import { MaintenanceTask } from "../pools/maintenance_task.ts";
import type { MaintenanceMessage } from "../pools/pool_messages.ts";
import { RecordTask } from "../records/record_task.ts";
import { DispatchTask } from "../requests/dispatch_task.ts";
import { ask, ElapsedClock } from "../tasks/mod.ts";
import type { EntryRegistry } from "./entry_registry.ts";
import type { EntryRegistryOptions } from "./entry_wiring.ts";

/** The maximum interval at which drained hosts are checked. */
const MAXIMUM_DRAIN_TICK_MILLISECONDS = 1_000;

/** Registers the tasks that carry out drains, moves and maintenance. */
export function registerPoolTasks(registry: EntryRegistry, options: EntryRegistryOptions): void {
  const { settings, memberId, log } = options;
  registry.add(DrainTask, () =>
    DrainTask.create({
      memberId,
      clock: registry.get(ElapsedClock),
      tickMilliseconds: Math.min(settings.maintenanceInterval, MAXIMUM_DRAIN_TICK_MILLISECONDS),
      dispatch: registry.get(DispatchTask),
      notify: (event) => registry.get(MaintenanceTask).post(event),
      broadcast: (message) => registry.get(PeersTask).post({ kind: "broadcast", message }),
      publish: (draft) =>
        registry.get(RecordTask).post({ kind: "publish", draft, reply: () => undefined }),
    }));
  registry.add(MaintenanceTask, () =>
    MaintenanceTask.create({
      memberId,
      clock: registry.get(ElapsedClock),
      tickMilliseconds: settings.maintenanceInterval,
      rebootTimeoutMilliseconds: settings.longestReboot,
      stopGraceMilliseconds: STOP_GRACE_MILLISECONDS,
      platform: registry.get(PlatformTask),
      records: registry.get(RecordTask),
      planWave,
      log,
    }));
  registry.add(CapacityTask, () =>
    CapacityTask.create({
      memberId,
      clock: registry.get(ElapsedClock),
      tickMilliseconds: settings.capacityInterval,
      dispatch: registry.get(DispatchTask),
      platform: registry.get(PlatformTask),
      decideMoves,
      send: (to, message) => registry.get(PeersTask).post({ kind: "send", to, message }),
      publish: (draft) =>
        registry.get(RecordTask).post({ kind: "publish", draft, reply: () => undefined }),
      log,
    }));
}

/** Gets the tasks for drains, moves and maintenance. */
export function getPoolTasks(registry: EntryRegistry) {
  return [registry.get(MaintenanceTask), registry.get(DrainTask), registry.get(CapacityTask)];
}

/** Gets the progress of every maintenance. */
export function getMaintenanceView(registry: EntryRegistry): Promise<MaintenanceProgress[]> {
  return ask<MaintenanceMessage, MaintenanceProgress[]>(
    registry.get(MaintenanceTask),
    (reply) => ({ kind: "get-progress", reply }),
    () => [],
  );
}
