/**
 * Rendezvous hashing: every host ranks the members for a key in the same way without communication.
 * Keepers are not chosen by this ranking but by the one in `loans/rendezvous.ts`, which uses another
 * hash.
 */

import createHasher from "xxhash-wasm";

const { h64 } = await createHasher();

/**
 * Gets the candidates in descending order of their weights for a key; the first is responsible for
 * it.
 */
export function rankByRendezvous(key: string, candidates: readonly string[]): string[] {
  const weighted = candidates.map((candidate) => ({
    candidate,
    weight: h64(`${key}\u0000${candidate}`),
  }));
  weighted.sort((first, second) => compareWeights(second, first));
  return weighted.map(({ candidate }) => candidate);
}

/** Gets the candidate that is responsible for a key, or undefined if there are none. */
export function getFirstByRendezvous(
  key: string,
  candidates: readonly string[],
): string | undefined {
  return rankByRendezvous(key, candidates)[0];
}

interface WeightedCandidate {
  candidate: string;
  weight: bigint;
}

function compareWeights(first: WeightedCandidate, second: WeightedCandidate): number {
  if (first.weight !== second.weight) return first.weight < second.weight ? -1 : 1;
  return first.candidate < second.candidate ? -1 : 1;
}
