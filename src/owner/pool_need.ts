/** How many hosts a pool needs: for what runs, for what waits, and for the tasks that last. */

/** What a pool has to carry. */
export interface PoolLoad {
  /** The processor time in use, in thousandths of a core. */
  usedCpu: number;
  /** The processor time that waiting tasks ask for, in thousandths of a core. */
  waitingCpu: number;
  /** The work of the waiting tasks, in thousandths of a core times milliseconds. */
  waitingWork: number;
  /** The processor time that arrivals will keep busy soon, in thousandths of a core. */
  forecastCpu: number;
  /** The executors that lasting tasks need, since they may not share one. */
  lastingExecutors: number;
  /** The processor time of the lasting tasks that run, in thousandths of a core. */
  lastingCpu: number;
  /** The processor time of one host, in thousandths of a core. */
  hostCpu: number;
}

/** How a pool's size follows its load. */
export interface CapacityTerms {
  /** The time in which a backlog is to be worked off, in milliseconds: that of a move and a task. */
  backlogMilliseconds: number;
  /** The part of a host that can be filled with whole tasks. */
  usablePart: number;
  /** The part of a host that arrivals are planned to fill, so that they seldom wait. */
  forecastPart: number;
  /** The hosts that a pool has beyond those of its lasting tasks. */
  spareHosts: number;
  /** The fewest hosts of a pool. */
  fewestHosts: number;
}

/** How the sizes of pools follow their load. */
export const CAPACITY_TERMS: CapacityTerms = {
  backlogMilliseconds: 1_000,
  usablePart: 0.9,
  forecastPart: 0.75,
  spareHosts: 1,
  fewestHosts: 2,
};

/** Gets the number of hosts that a load needs. */
export function getHostsNeeded(load: PoolLoad, terms: CapacityTerms): number {
  const usable = load.hostCpu * terms.usablePart;
  const backlogCpu = Math.min(load.waitingCpu, load.waitingWork / terms.backlogMilliseconds);
  const forLoad = Math.ceil((load.usedCpu + backlogCpu) / usable);
  const forecast = load.forecastCpu / (load.hostCpu * terms.forecastPart);
  const forArrivals = Math.ceil(forecast + load.lastingCpu / load.hostCpu);
  return Math.max(
    forLoad,
    forArrivals,
    load.lastingExecutors + terms.spareHosts,
    terms.fewestHosts,
  );
}
