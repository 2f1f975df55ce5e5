/**
 * Rendezvous hashing for keepers: all members choose the same one for a key without
 * communication, and a change of the roster moves few keys. The ranking in `../rendezvous.ts` uses
 * another hash, so it ranks the members of a key differently.
 */

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Gets the member with the highest hash for a key, or undefined if there are no members. */
export function findRendezvousMember(members: readonly string[], key: string): string | undefined {
  let found: string | undefined;
  let highest = -1;
  for (const member of members) {
    const hash = hashMemberAndKey(member, key);
    if (hash < highest || (hash === highest && found !== undefined && member < found)) continue;
    highest = hash;
    found = member;
  }
  return found;
}

/** Gets a 32-bit hash of a member and a key: FNV-1a with the finalizer of MurmurHash3. */
export function hashMemberAndKey(member: string, key: string): number {
  let hash = updateHash(updateHash(FNV_OFFSET_BASIS, member), "\u0000");
  hash = updateHash(hash, key);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

function updateHash(start: number, text: string): number {
  let hash = start;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash;
}
