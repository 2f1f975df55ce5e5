/** Computes the number of hosts that a pool needs from its running, waiting and expected load. */

/** The load of a pool on one resource: CPU in millicores, or memory in MB. */
export interface ResourceLoad {
  /** The amount in use. */
  used: number;
  /** The demand of the waiting tasks. */
  waiting: number;
  /** The demand of the waiting tasks times their estimated durations in milliseconds. */
  waitingMilliseconds: number;
  /** The demand that is expected from arrivals. */
  forecast: number;
  /** The amount in use by long-running tasks. */
  longRunning: number;
  /** The capacity of one host. */
  hostCapacity: number;
}

/** The load of a pool. */
export interface PoolLoad {
  cpu: ResourceLoad;
  memory: ResourceLoad;
  /**
   * The minimum number of executors that the step of long-running tasks which needs the most of
   * them needs because of its limit per executor.
   */
  minimumLongRunningExecutors: number;
}

/** The policy by which a pool is sized for its load. */
export interface CapacityPolicy {
  /** The time in which to clear a backlog, in milliseconds: the duration of a move plus a task. */
  backlogMilliseconds: number;
  /** The fraction of a host's capacity that can be filled, since tasks are indivisible. */
  usableFraction: number;
  /** The fraction of a host's capacity planned for arrivals, low enough that they rarely wait. */
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

/** Gets the number of hosts that a load needs: those for the resource of which it needs the most. */
export function getHostsNeeded(load: PoolLoad, policy: CapacityPolicy): number {
  return Math.max(
    getHostsForResource(load.cpu, policy),
    getHostsForResource(load.memory, policy),
    load.minimumLongRunningExecutors + policy.spareHosts,
    policy.minimumHosts,
  );
}

function getHostsForResource(load: ResourceLoad, policy: CapacityPolicy): number {
  const usable = load.hostCapacity * policy.usableFraction;
  const backlog = Math.min(load.waiting, load.waitingMilliseconds / policy.backlogMilliseconds);
  const forLoad = Math.ceil((load.used + backlog) / usable);
  const arrivalHosts = load.forecast / (load.hostCapacity * policy.plannedUtilization);
  const forArrivals = Math.ceil(arrivalHosts + load.longRunning / load.hostCapacity);
  return Math.max(forLoad, forArrivals);
}

/**
 * Gets the number of hosts without which a pool can't run its long-running tasks or, if others wait,
 * any task. Pools get these first, whatever the backlog of the others.
 */
export function getEssentialHosts(load: PoolLoad): number {
  return Math.max(load.minimumLongRunningExecutors, load.cpu.waiting > 0 ? 1 : 0);
}
