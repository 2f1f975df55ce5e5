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

/** Gets whether a capacity covers used and requested resources together. */
export function fitsCapacity(used: Resources, wanted: Resources, capacity: Resources): boolean {
  return used.cpu + wanted.cpu <= capacity.cpu &&
    used.memory + wanted.memory <= capacity.memory &&
    used.accelerators + wanted.accelerators <= capacity.accelerators;
}
