/** The choice of the executor on which a request starts. */

import type { Host } from "./host.ts";

/** An executor on which a request may start now. */
export interface ExecutorCandidate {
  /** The executor. */
  host: Host;
  /** The slots that this entry host may still use on it; at least one. */
  freeSlots: number;
  /** The requests of this entry host that run on it. */
  running: number;
}

/** Options of a choice. */
export interface ExecutorChoiceOptions {
  /** The executors with a free slot. */
  candidates: readonly ExecutorCandidate[];
  /** The availability zone of this entry host. */
  zone: string;
  /** The executors that earlier attempts were sent to. */
  triedExecutors: readonly string[];
  /** The availability zones of those executors, as far as they are known. */
  triedZones?: readonly string[];
  /** The time, in elapsed milliseconds. */
  now: number;
  /** Gets a random number from 0 up to 1. */
  random: () => number;
}

/** Chooses one of the candidates, or none if the request should rather wait. */
export type ExecutorChooser = (options: ExecutorChoiceOptions) => ExecutorCandidate | undefined;

/** Chooses the candidate with the most free slots, and one that was tried only if there is no other. */
export function chooseLeastLoadedExecutor(
  options: ExecutorChoiceOptions,
): ExecutorCandidate | undefined {
  const { candidates, triedExecutors } = options;
  const fresh = triedExecutors.length === 0
    ? candidates
    : candidates.filter((candidate) => !triedExecutors.includes(candidate.host.getName()));
  return findFreest(fresh) ?? findFreest(candidates);
}

function findFreest(candidates: readonly ExecutorCandidate[]): ExecutorCandidate | undefined {
  let freest: ExecutorCandidate | undefined;
  for (const candidate of candidates) {
    if (freest === undefined || candidate.freeSlots > freest.freeSlots) freest = candidate;
  }
  return freest;
}
