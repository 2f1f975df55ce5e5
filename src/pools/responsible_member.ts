/**
 * Selects the member that is responsible for a maintenance or a host. The roster determines it, so that
 * another member takes over when one is removed.
 */

import { getFirstByRendezvous } from "../contracts/rendezvous.ts";
import type { Fleet } from "../records/fleet.ts";

/**
 * Gets whether a member is responsible for a key. Members with different rosters may both be: their
 * actions are idempotent, whereas an action that no member takes would be lost.
 */
export function isResponsible(fleet: Fleet, memberId: string, key: string): boolean {
  const members = fleet.getMembers().map((member) => member.getId());
  return getFirstByRendezvous(key, members) === memberId;
}
