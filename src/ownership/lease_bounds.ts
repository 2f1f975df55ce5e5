/** The leases that owners grant to executors, and the longest one that a later owner must assume. */

import type { Claim } from "./ownership_ports.ts";

/** The lease that an order or a poll grants, in milliseconds: three times a long poll. */
const LEASE_MILLISECONDS = 3_000;
/** The age of the claim at which the last lease ends, in milliseconds. */
const MAXIMUM_LEASE_END_CLAIM_AGE_MILLISECONDS = 6_500;
/**
 * The age of the claim from which the store counts as unavailable, in milliseconds. Leases are then
 * extended to the age above, so that runs outlast the outage.
 */
const STORE_OUTAGE_CLAIM_AGE_MILLISECONDS = 1_200;
/** The factor by which waits for leases are prolonged, since an executor's clock may be 2% slow. */
const CLOCK_DRIFT_FACTOR = 1.03;

/**
 * How long an owner's last start may be sent after the next claim, in milliseconds: the owner may
 * start tasks for a while after its last renewal, and the order may then be on its way.
 */
const LAST_START_DELAY_MILLISECONDS = 2_600;

/** The longest leases that owners up to a claim's holder may have left, in milliseconds. */
export interface EarlierLeases {
  /** At executors whose clocks the owners knew, since the claim's last append. */
  reckonedMilliseconds: number;
  /**
   * At any executor, since the next claim. An executor that has restarted under its id reads the
   * deadline of an order on a clock that the owner did not know.
   */
  longestMilliseconds: number;
}

/** Gets the lease that an owner grants at an age of its claim; 0 or less if it grants none. */
export function getGrantedLeaseMilliseconds(claimAge: number): number {
  return claimAge < STORE_OUTAGE_CLAIM_AGE_MILLISECONDS
    ? LEASE_MILLISECONDS
    : MAXIMUM_LEASE_END_CLAIM_AGE_MILLISECONDS - claimAge;
}

/**
 * Gets the longest leases that owners up to a claim's holder may have left at executors, which grant
 * none beyond a maximum; 0 if there was no claim.
 */
export function getEarlierLeases(
  claim: Claim | undefined,
  maximumMilliseconds: number,
): EarlierLeases {
  if (claim === undefined) return { reckonedMilliseconds: 0, longestMilliseconds: 0 };
  const stated = claim.isReleased ? claim.leaseMilliseconds : undefined;
  const isValid = typeof stated === "number" && stated >= 0 && stated < Infinity;
  const longest = isValid ? stated : maximumMilliseconds + LAST_START_DELAY_MILLISECONDS;
  return {
    reckonedMilliseconds: Math.min(longest, MAXIMUM_LEASE_END_CLAIM_AGE_MILLISECONDS),
    longestMilliseconds: longest,
  };
}

/** Gets how long a lease may last by this host's clock, in milliseconds. */
export function getLeaseWaitMilliseconds(leaseMilliseconds: number): number {
  return leaseMilliseconds * CLOCK_DRIFT_FACTOR;
}
