/** What this entry host has running, and what may still run. */

import type { Holding } from "../contracts/loans/holding.ts";
import { Ending } from "./dispatch_messages.ts";

/** How much longer than the longest run a permit is held, for clocks that differ in rate. */
const RUN_MARGIN = 1.05;

/** A request that was started. */
export interface RunningRequest {
  /** The id. */
  requestId: string;
  /** The name of the service. */
  service: string;
  /** The team under whose rights it runs. */
  team: string;
  /** The name of the executor. */
  executor: string;
  /** The permit of the team. */
  permit: Holding;
  /** The slot of the executor. */
  slot: Holding;
  /** When it started, in elapsed milliseconds. */
  startedAt: number;
  /** When it has ended at the latest, in monotonic milliseconds. */
  heldUntil: number;
  /** The run time that the team was charged for it. */
  charged: number;
}

/** Decides whether permit and slot of a request are free after this ending. */
export type ReleaseDecision = (ending: Ending) => boolean;

/** Frees them unless the executor may still be at work. */
export function isReleasedBy(ending: Ending): boolean {
  return ending !== Ending.MayBeRunning;
}

/** The requests that run or may run, by id. */
export class RunningRequests {
  readonly #running = new Map<string, RunningRequest>();
  #steady: number | undefined;

  private constructor() {}

  /** Creates an empty table. */
  static create(): RunningRequests {
    return new RunningRequests();
  }

  /** Notes the monotonic time; without it, elapsed time decides how long permits are held. */
  setMonotonicTime(steady: number): void {
    this.#steady = steady;
  }

  /** Gets until when a request that starts now may run. */
  getHeldUntil(now: number, longestRunMilliseconds: number): number {
    return (this.#steady ?? now) + longestRunMilliseconds * RUN_MARGIN;
  }

  /** Gets the number of requests. */
  getCount(): number {
    return this.#running.size;
  }

  /** Gets the requests. */
  getAll(): IterableIterator<RunningRequest> {
    return this.#running.values();
  }

  /** Adds a request that starts. */
  add(request: RunningRequest): void {
    this.#running.set(request.requestId, request);
  }

  /** Gets a request. */
  get(requestId: string): RunningRequest | undefined {
    return this.#running.get(requestId);
  }

  /** Removes a request that has ended. */
  remove(requestId: string): void {
    this.#running.delete(requestId);
  }

  /** Gets the requests that have ended at the latest by now. */
  getOverdue(now: number): RunningRequest[] {
    const time = this.#steady ?? now;
    return [...this.#running.values()].filter((request) => time >= request.heldUntil);
  }
}
