/** Chooses the members that hold the claim of an idempotency key by rendezvous hashing over the roster. */

import { createHash } from "node:crypto";
import { rankByRendezvous } from "../../contracts/rendezvous.ts";

/** The number of members that hold each claim. */
export const HOLDERS_PER_KEY = 3;

/** Options of `createClaimKey`. */
export interface ClaimKeyOptions {
  /** The team of the caller. */
  team: string;
  /** The name of the service. */
  service: string;
  /** The idempotency key as the caller sent it. */
  idempotencyKey: string;
}

/** Gets the hash by which holders identify the claim. */
export function createClaimKey(options: ClaimKeyOptions): string {
  return hash([options.team, options.service, options.idempotencyKey]);
}

/** Gets the members that hold the claim of a key. */
export function getHolders(key: string, members: readonly string[]): readonly string[] {
  if (members.length <= HOLDERS_PER_KEY) return [...members].sort();
  return rankByRendezvous(key, members).slice(0, HOLDERS_PER_KEY);
}

/** Gets the number of holders that must grant a claim. Any two quorums have a member in common. */
export function getQuorum(holderCount: number): number {
  return Math.floor(holderCount / 2) + 1;
}

function hash(parts: readonly string[]): string {
  return createHash("sha1").update(JSON.stringify(parts)).digest("hex");
}
