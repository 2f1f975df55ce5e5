/** Rendezvous hashing: every member names the same one for a key, and a change of roster moves few keys. */

const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;

/** Gets the member with the highest hash for a key, or none if there are no members. */
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
  let hash = addText(addText(OFFSET_BASIS, member), "\u0000");
  hash = addText(hash, key);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

function addText(start: number, text: string): number {
  let hash = start;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), PRIME);
  }
  return hash;
}
