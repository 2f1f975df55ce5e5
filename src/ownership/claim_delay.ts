/** The delay before a host claims the fleet. */

import { createHash } from "node:crypto";
import { getShortage, type HostResources } from "./host_suitability.ts";

/** The range over which equal hosts spread their claims, in milliseconds. */
const MAXIMUM_SPREAD_MILLISECONDS = 100;
/** The maximum additional delay of a weak host, in milliseconds: more than the spread. */
const MAXIMUM_WEAK_HOST_DELAY_MILLISECONDS = 150;
/**
 * The maximum additional delay of a weak host before the very first claim, in milliseconds. No job
 * can have been accepted by then, so a host has time to wait for better ones that start later.
 */
const MAXIMUM_WEAK_HOST_FIRST_DELAY_MILLISECONDS = 1_000;
/** The epoch of the very first claim. */
const FIRST_EPOCH = 1;

/** Options of `getClaimDelay`. */
export interface ClaimDelayOptions extends HostResources {
  /** The identity of the process (see `Claim.holder`). */
  holder: string;
  /** The epoch to claim. */
  epoch: number;
}

/**
 * Gets the delay before a process claims an epoch, in milliseconds.
 *
 * The delays spread the claims of the hosts. Hosts with little CPU or a slow link wait longer.
 */
export function getClaimDelay(options: ClaimDelayOptions): number {
  const { holder, epoch } = options;
  const digest = createHash("sha1").update(`${holder}/${epoch}`).digest();
  const maximumWeakHostDelay = epoch === FIRST_EPOCH
    ? MAXIMUM_WEAK_HOST_FIRST_DELAY_MILLISECONDS
    : MAXIMUM_WEAK_HOST_DELAY_MILLISECONDS;
  return digest.readUInt16BE(0) % MAXIMUM_SPREAD_MILLISECONDS +
    Math.round(getShortage(options) * maximumWeakHostDelay);
}
