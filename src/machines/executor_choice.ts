/** The choice of an executor for a request. */

import type { Host } from "./host.ts";

/** An executor on which a request can start now. */
export interface ExecutorCandidate {
  host: Host;
  /** The free slots that this entry host may use on it; at least one. */
  freeSlots: number;
  /** The number of requests of this entry host that run on it. */
  running: number;
}

/** Options of a choice. */
export interface ExecutorChoiceOptions {
  /** The executors with a free slot. */
  candidates: readonly ExecutorCandidate[];
  /** The availability zone of this entry host. */
  zone: string;
  /** The executors of earlier attempts. */
  triedExecutors: readonly string[];
  /** The availability zones of those executors, if known. */
  triedZones?: readonly string[];
  /** The monotonic time, in milliseconds. */
  now: number;
  /** Gets a random number from 0 up to 1. */
  random: () => number;
}

/** Chooses one of the candidates, or none if the request should wait. */
export type ExecutorChooser = (options: ExecutorChoiceOptions) => ExecutorCandidate | undefined;

/** Chooses the candidate with the most free slots; one already tried only if there is no other. */
export function chooseLeastLoadedExecutor(
  options: ExecutorChoiceOptions,
): ExecutorCandidate | undefined {
  const { candidates, triedExecutors } = options;
  const untried = triedExecutors.length === 0
    ? candidates
    : candidates.filter((candidate) => !triedExecutors.includes(candidate.host.getName()));
  return findMostFreeSlots(untried) ?? findMostFreeSlots(candidates);
}

function findMostFreeSlots(
  candidates: readonly ExecutorCandidate[],
): ExecutorCandidate | undefined {
  let best: ExecutorCandidate | undefined;
  for (const candidate of candidates) {
    if (best === undefined || candidate.freeSlots > best.freeSlots) best = candidate;
  }
  return best;
}
