/** The delay before a host claims the fleet. */

import { createHash } from "node:crypto";

/** The range over which hosts with equal CPU spread their claims, in milliseconds. */
const MAXIMUM_SPREAD_MILLISECONDS = 100;
/** The maximum additional delay of a host with little CPU, in milliseconds: more than the spread. */
const MAXIMUM_LOW_CPU_DELAY_MILLISECONDS = 150;
/** The number of cores that the decisions for a large fleet need. */
const OWNER_CORES = 1;

/** Options of `getClaimDelay`. */
export interface ClaimDelayOptions {
  /** The identity of the process (see `Claim.holder`). */
  holder: string;
  /** The epoch to claim. */
  epoch: number;
  /** The number of cores that the process may use. */
  cores: number;
}

/**
 * Gets the delay before a process claims an epoch, in milliseconds.
 *
 * The delays spread the claims of the hosts. Hosts with little CPU wait longer, because the owner
 * makes the decisions for the whole fleet while the other hosts only forward calls.
 */
export function getClaimDelay(options: ClaimDelayOptions): number {
  const { holder, epoch, cores } = options;
  const digest = createHash("sha1").update(`${holder}/${epoch}`).digest();
  const shortage = Math.max(0, 1 - cores / OWNER_CORES);
  return digest.readUInt16BE(0) % MAXIMUM_SPREAD_MILLISECONDS +
    Math.round(shortage * MAXIMUM_LOW_CPU_DELAY_MILLISECONDS);
}
