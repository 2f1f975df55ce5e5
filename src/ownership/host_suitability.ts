/** How well a host can carry the decisions for the whole fleet. */

/** The number of cores that the decisions for a large fleet need. */
const OWNER_CORES = 1;
/** The bandwidth with which a large journal is read within a second, in megabits per second. */
const OWNER_LINK_MEGABITS = 100;

/** The resources of a host. */
export interface HostResources {
  /** The number of cores that the process may use. */
  cores: number;
  /** The bandwidth of the host's link, in megabits per second. */
  linkMegabits: number;
}

/**
 * Gets the fraction of the resources of an owner that a host lacks, from 0 (none) to 1.
 *
 * The owner makes the decisions for the whole fleet and reads the whole journal first, while the
 * other hosts only forward calls.
 */
export function getShortage({ cores, linkMegabits }: HostResources): number {
  return Math.max(0, 1 - cores / OWNER_CORES, 1 - linkMegabits / OWNER_LINK_MEGABITS);
}
