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
 * The longest lease after a claim whose holder stated none, in milliseconds: it may have been
 * granted during an outage of the store.
 */
export const UNSTATED_LEASE_MILLISECONDS = MAXIMUM_LEASE_END_CLAIM_AGE_MILLISECONDS;

/** Gets the lease that an owner grants at an age of its claim; 0 or less if it grants none. */
export function getGrantedLeaseMilliseconds(claimAge: number): number {
  return claimAge < STORE_OUTAGE_CLAIM_AGE_MILLISECONDS
    ? LEASE_MILLISECONDS
    : MAXIMUM_LEASE_END_CLAIM_AGE_MILLISECONDS - claimAge;
}

/**
 * Gets the longest lease that owners up to a claim's holder may have left at executors, in
 * milliseconds from the claim's last append; 0 if there was no claim.
 */
export function getLongestLeaseMilliseconds(claim: Claim | undefined): number {
  if (claim === undefined) return 0;
  const stated = claim.isReleased ? claim.leaseMilliseconds : undefined;
  const isValid = typeof stated === "number" && stated >= 0 && stated < Infinity;
  return isValid ? stated : UNSTATED_LEASE_MILLISECONDS;
}

/** Gets how long a lease may last by this host's clock, in milliseconds. */
export function getLeaseWaitMilliseconds(leaseMilliseconds: number): number {
  return leaseMilliseconds * CLOCK_DRIFT_FACTOR;
}
