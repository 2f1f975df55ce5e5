/** Amounts of what a task takes and an executor has. */

/** Amounts of processor time, memory and accelerators. */
export interface Resources {
  /** Thousandths of a core. */
  cpu: number;
  /** Memory in MB. */
  memory: number;
  /** Whole accelerators. */
  accelerators: number;
}

/** No resources at all. */
export const NO_RESOURCES: Readonly<Resources> = { cpu: 0, memory: 0, accelerators: 0 };

/** Adds a multiple of some resources to a total, in place. */
export function addResources(total: Resources, added: Resources, times = 1): void {
  total.cpu += added.cpu * times;
  total.memory += added.memory * times;
  total.accelerators += added.accelerators * times;
}

/** Lowers each amount to a limit, in place. */
export function limitResources(amounts: Resources, limit: Resources): void {
  amounts.cpu = Math.min(amounts.cpu, limit.cpu);
  amounts.memory = Math.min(amounts.memory, limit.memory);
  amounts.accelerators = Math.min(amounts.accelerators, limit.accelerators);
}

/** Gets whether used and wanted resources together stay within a capacity. */
export function isWithin(used: Resources, wanted: Resources, capacity: Resources): boolean {
  return used.cpu + wanted.cpu <= capacity.cpu &&
    used.memory + wanted.memory <= capacity.memory &&
    used.accelerators + wanted.accelerators <= capacity.accelerators;
}
