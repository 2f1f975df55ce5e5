/** Resource amounts: demands of tasks and capacities of executors. */

/** Amounts of CPU, memory and accelerators. */
export interface Resources {
  /** CPU, in thousandths of a core. */
  cpu: number;
  /** Memory, in MB. */
  memory: number;
  /** The number of accelerators. */
  accelerators: number;
}

export const NO_RESOURCES: Readonly<Resources> = { cpu: 0, memory: 0, accelerators: 0 };

/** Adds a multiple of an amount to a total, in place. */
export function addResources(total: Resources, added: Resources, times = 1): void {
  total.cpu += added.cpu * times;
  total.memory += added.memory * times;
  total.accelerators += added.accelerators * times;
}

/** Caps each amount at a limit, in place. */
export function limitResources(amounts: Resources, limit: Resources): void {
  amounts.cpu = Math.min(amounts.cpu, limit.cpu);
  amounts.memory = Math.min(amounts.memory, limit.memory);
  amounts.accelerators = Math.min(amounts.accelerators, limit.accelerators);
}

/** Gets whether a capacity covers the reserved resources and a demand together. */
export function fitsCapacity(reserved: Resources, demand: Resources, capacity: Resources): boolean {
  return reserved.cpu + demand.cpu <= capacity.cpu &&
    reserved.memory + demand.memory <= capacity.memory &&
    reserved.accelerators + demand.accelerators <= capacity.accelerators;
}

/** Gets the largest share that a demand takes of any resource of a capacity, from 0 to 1 if it fits. */
export function getDominantShare(demand: Resources, capacity: Resources): number {
  return Math.max(
    demand.cpu / Math.max(1, capacity.cpu),
    demand.memory / Math.max(1, capacity.memory),
    demand.accelerators === 0 ? 0 : demand.accelerators / Math.max(1, capacity.accelerators),
  );
}
