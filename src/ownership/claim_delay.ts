/** How long hosts hold back before they claim the fleet. */

import { createHash } from "node:crypto";

/** The time over which hosts of one size spread their claims, in milliseconds. */
const SPREAD_MILLISECONDS = 100;
/** The longest that a weak host holds back besides, in milliseconds: more than the spread. */
const LONGEST_WEAKNESS_MILLISECONDS = 150;
/** The processor cores with which a host carries the decisions for a large fleet. */
const STRONG_CORES = 1;

/** Options of `getClaimDelay`. */
export interface ClaimDelayOptions {
  /** The identity of the process. */
  holder: string;
  /** The epoch that it would claim. */
  epoch: number;
  /** The processor cores that it may use. */
  cores: number;
}

/**
 * Gets how long a process holds back for an epoch, in milliseconds.
 *
 * Not all claim at once, and a host with little processor time lets the others claim first: the
 * owner decides for the whole fleet, while the other hosts only pass calls on.
 */
export function getClaimDelay(options: ClaimDelayOptions): number {
  const { holder, epoch, cores } = options;
  const digest = createHash("sha1").update(`${holder}/${epoch}`).digest();
  const weakness = Math.max(0, 1 - cores / STRONG_CORES);
  return digest.readUInt16BE(0) % SPREAD_MILLISECONDS +
    Math.round(weakness * LONGEST_WEAKNESS_MILLISECONDS);
}
