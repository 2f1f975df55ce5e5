/** The requests of this entry host that are running or may be running. */

import type { Holding } from "../contracts/loans/holding.ts";
import { Ending } from "./dispatch_messages.ts";

/** The factor on the maximum run time for which a permit is held: allows for clocks of different rates. */
const CLOCK_RATE_FACTOR = 1.05;

/** A started request. */
export interface RunningRequest {
  /** The id of the request. */
  requestId: string;
  /** The name of the service. */
  service: string;
  /** The name of the team under whose rights it runs. */
  team: string;
  /** The name of the executor. */
  executor: string;
  /** The holding from which the permit of the team was taken. */
  teamHolding: Holding;
  /** The holding from which the slot of the executor was taken. */
  executorHolding: Holding;
  /** The time of its start in elapsed milliseconds. */
  startedAt: number;
  /** The time by which it has certainly ended, in monotonic milliseconds. */
  heldUntilMonotonic: number;
  /** The run time in milliseconds that the team was charged for it. */
  charged: number;
}

/** Decides whether the result of an attempt releases the permit and slot of the request. */
export type ReleaseDecision = (ending: Ending) => boolean;

/** Releases permit and slot unless the executor may still be running the request. */
export function isReleasedBy(ending: Ending): boolean {
  return ending !== Ending.MayBeRunning;
}

/** The requests that are running or may be running, by id. */
export class RunningRequests {
  readonly #running = new Map<string, RunningRequest>();
  #monotonic: number | undefined;

  private constructor() {}

  static create(): RunningRequests {
    return new RunningRequests();
  }

  /** Sets the monotonic time. Until it is set, elapsed time decides how long permits are held. */
  setMonotonicTime(monotonic: number): void {
    this.#monotonic = monotonic;
  }

  /**
   * Gets the monotonic time until which a request that starts now holds its permit. It is elapsed
   * time until `setMonotonicTime` was called.
   */
  getHeldUntil(elapsed: number, longestRunMilliseconds: number): number {
    return (this.#monotonic ?? elapsed) + longestRunMilliseconds * CLOCK_RATE_FACTOR;
  }

  getCount(): number {
    return this.#running.size;
  }

  getAll(): IterableIterator<RunningRequest> {
    return this.#running.values();
  }

  /** Adds a started request. */
  add(request: RunningRequest): void {
    this.#running.set(request.requestId, request);
  }

  get(requestId: string): RunningRequest | undefined {
    return this.#running.get(requestId);
  }

  /** Removes an ended request. */
  remove(requestId: string): void {
    this.#running.delete(requestId);
  }

  /**
   * Gets the requests that have certainly ended by the monotonic time, so that their permits can be
   * released. Elapsed time counts until `setMonotonicTime` was called.
   */
  getExpired(elapsed: number): RunningRequest[] {
    const time = this.#monotonic ?? elapsed;
    return [...this.#running.values()].filter((request) => time >= request.heldUntilMonotonic);
  }
}
