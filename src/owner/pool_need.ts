/** Computes the number of hosts that a pool needs from its running, waiting and expected load. */

/** The load of a pool. */
export interface PoolLoad {
  /** The CPU in use, in millicores. */
  usedCpu: number;
  /** The CPU demand of the waiting tasks, in millicores. */
  waitingCpu: number;
  /** The estimated CPU time of the waiting tasks, in millicores times milliseconds. */
  waitingCpuMilliseconds: number;
  /** The CPU demand that is expected from arrivals, in millicores. */
  forecastCpu: number;
  /**
   * The minimum number of executors that the step of long-running tasks which needs the most of
   * them needs because of its limit per executor.
   */
  minimumLongRunningExecutors: number;
  /** The CPU in use by long-running tasks, in millicores. */
  longRunningCpu: number;
  /** The CPU capacity of one host, in millicores. */
  hostCpu: number;
}

/** The policy by which a pool is sized for its load. */
export interface CapacityPolicy {
  /** The time in which to clear a backlog, in milliseconds: the duration of a move plus a task. */
  backlogMilliseconds: number;
  /** The fraction of a host's CPU that can be filled, since tasks are indivisible. */
  usableFraction: number;
  /** The fraction of a host's CPU planned for arrivals, low enough that they rarely wait. */
  plannedUtilization: number;
  /** The number of hosts in addition to those that long-running tasks need. */
  spareHosts: number;
  /** The minimum number of hosts in a pool. */
  minimumHosts: number;
}

/** The default policy. */
export const DEFAULT_CAPACITY_POLICY: CapacityPolicy = {
  backlogMilliseconds: 1_000,
  usableFraction: 0.9,
  plannedUtilization: 0.75,
  spareHosts: 1,
  minimumHosts: 2,
};

/** Gets the number of hosts that a load needs. */
export function getHostsNeeded(load: PoolLoad, policy: CapacityPolicy): number {
  const usableCpu = load.hostCpu * policy.usableFraction;
  const backlogCpu = Math.min(
    load.waitingCpu,
    load.waitingCpuMilliseconds / policy.backlogMilliseconds,
  );
  const forLoad = Math.ceil((load.usedCpu + backlogCpu) / usableCpu);
  const arrivalHosts = load.forecastCpu / (load.hostCpu * policy.plannedUtilization);
  const forArrivals = Math.ceil(arrivalHosts + load.longRunningCpu / load.hostCpu);
  return Math.max(
    forLoad,
    forArrivals,
    load.minimumLongRunningExecutors + policy.spareHosts,
    policy.minimumHosts,
  );
}

/**
 * Gets the number of hosts without which a pool can't run its long-running tasks or, if others wait,
 * any task. Pools get these first, whatever the backlog of the others.
 */
export function getEssentialHosts(load: PoolLoad): number {
  return Math.max(load.minimumLongRunningExecutors, load.waitingCpu > 0 ? 1 : 0);
}
