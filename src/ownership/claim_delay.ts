/** The delay before a host claims the fleet. */

import { createHash } from "node:crypto";

/** The range over which equal hosts spread their claims, in milliseconds. */
const MAXIMUM_SPREAD_MILLISECONDS = 100;
/** The maximum additional delay of a weak host, in milliseconds: more than the spread. */
const MAXIMUM_WEAK_HOST_DELAY_MILLISECONDS = 150;
/** The number of cores that the decisions for a large fleet need. */
const OWNER_CORES = 1;
/** The bandwidth with which a large journal is read within a second, in megabits per second. */
const OWNER_LINK_MEGABITS = 100;

/** Options of `getClaimDelay`. */
export interface ClaimDelayOptions {
  /** The identity of the process (see `Claim.holder`). */
  holder: string;
  /** The epoch to claim. */
  epoch: number;
  /** The number of cores that the process may use. */
  cores: number;
  /** The bandwidth of the host's link, in megabits per second. */
  linkMegabits: number;
}

/**
 * Gets the delay before a process claims an epoch, in milliseconds.
 *
 * The delays spread the claims of the hosts. Hosts with little CPU or a slow link wait longer, because
 * the owner makes the decisions for the whole fleet and reads the whole journal first, while the
 * other hosts only forward calls.
 */
export function getClaimDelay(options: ClaimDelayOptions): number {
  const { holder, epoch, cores, linkMegabits } = options;
  const digest = createHash("sha1").update(`${holder}/${epoch}`).digest();
  const shortage = Math.max(0, 1 - cores / OWNER_CORES, 1 - linkMegabits / OWNER_LINK_MEGABITS);
  return digest.readUInt16BE(0) % MAXIMUM_SPREAD_MILLISECONDS +
    Math.round(shortage * MAXIMUM_WEAK_HOST_DELAY_MILLISECONDS);
}
