/** Measures the load of a pool: what its tasks use, wait for and are expected to need. */

import { getReservedDemand } from "../fleet/executor.ts";
import type { Host } from "../fleet/host.ts";
import { type JobStep, TaskState } from "../fleet/job.ts";
import type { Resources } from "../fleet/resources.ts";
import type { FleetState } from "./fleet_state.ts";
import type { PoolLoad, ResourceLoad } from "./pool_need.ts";

/**
 * Measures the load of a service's pool. The capacity of a host is that of the largest executor that
 * has answered or, if there is none, of the largest of the provider's hosts.
 */
export function measurePoolLoad(
  state: FleetState,
  service: string,
  hosts: Iterable<Host>,
): PoolLoad {
  const forecast = state.arrivals.getForecast(service, state.now);
  const load: PoolLoad = {
    cpu: createResourceLoad(forecast.cpu),
    memory: createResourceLoad(forecast.memory),
    minimumLongRunningExecutors: 0,
  };
  addExecutors(load, state, service);
  if (load.cpu.hostCapacity === 0) {
    for (const host of hosts) raiseHostCapacity(load, host.capacity);
  }
  for (const step of state.ready) {
    if (state.getService(step.job) === service) addWaitingTasks(load, state, step);
  }
  for (const resource of [load.cpu, load.memory]) {
    resource.hostCapacity = Math.max(1, resource.hostCapacity);
  }
  return load;
}

function createResourceLoad(forecast: number): ResourceLoad {
  return {
    used: 0,
    waiting: 0,
    waitingMilliseconds: 0,
    forecast,
    longRunning: 0,
    hostCapacity: 0,
  };
}

function addExecutors(load: PoolLoad, state: FleetState, service: string): void {
  for (const executor of state.getExecutorsOf(service)) {
    const reserved = executor.getReserved();
    load.cpu.used += reserved.cpu;
    load.memory.used += reserved.memory;
    // An entry whose executor has never answered may come from another program.
    if (executor.hasAcceptedFence) raiseHostCapacity(load, executor.entry.capacity);
    for (const { task } of executor.runs.values()) {
      const { specification } = task.step;
      raiseLongRunningMinimum(load, specification);
      if (!specification.isLasting) continue;
      const demand = getReservedDemand(task);
      load.cpu.longRunning += demand.cpu;
      load.memory.longRunning += demand.memory;
    }
  }
}

function addWaitingTasks(load: PoolLoad, state: FleetState, step: JobStep): void {
  const { demand, isFiller } = step.specification;
  raiseLongRunningMinimum(load, step.specification);
  if (isFiller) return;
  const waiting = step.tasks.filter((task) => task.state === TaskState.Waiting).length;
  const milliseconds = state.durationEstimator.estimateMilliseconds(step);
  load.cpu.waiting += waiting * demand.cpu;
  load.cpu.waitingMilliseconds += waiting * demand.cpu * milliseconds;
  load.memory.waiting += waiting * demand.memory;
  load.memory.waitingMilliseconds += waiting * demand.memory * milliseconds;
}

/** Raises the capacity of a load's hosts to a capacity where that is larger. */
function raiseHostCapacity(load: PoolLoad, capacity: Readonly<Resources>): void {
  load.cpu.hostCapacity = Math.max(load.cpu.hostCapacity, capacity.cpu);
  load.memory.hostCapacity = Math.max(load.memory.hostCapacity, capacity.memory);
}

/** Raises the minimum number of executors of a load to what a step of long-running tasks needs. */
function raiseLongRunningMinimum(
  load: PoolLoad,
  step: { isLasting: boolean; count: number; mostPerExecutor: number },
): void {
  if (!step.isLasting) return;
  const executors = step.mostPerExecutor === 0 ? 1 : Math.ceil(step.count / step.mostPerExecutor);
  load.minimumLongRunningExecutors = Math.max(load.minimumLongRunningExecutors, executors);
}
