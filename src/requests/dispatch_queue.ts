/** The requests of one team that wait for one pool: the earliest deadline goes first. */

import type { Fleet } from "../records/fleet.ts";
import type { Arrival } from "./dispatch_messages.ts";

/** A request that waits. */
export interface WaitingRequest {
  /** The request. */
  arrival: Arrival;
  /** The team under whose rights it may run. */
  team: string;
  /** When the caller stops waiting, in elapsed milliseconds. */
  deadline: number;
  /** The fleet under which its access was checked last. */
  checkedFleet: Fleet;
  /** Whether it no longer waits. */
  isRemoved: boolean;
}

/** A binary heap by deadline; requests that are gone leave it when they reach the top. */
export class DispatchQueue {
  readonly #heap: WaitingRequest[] = [];
  #length = 0;

  private constructor() {}

  /** Creates an empty queue. */
  static create(): DispatchQueue {
    return new DispatchQueue();
  }

  /** Gets the number of requests that wait. */
  getLength(): number {
    return this.#length;
  }

  /** Adds a request. */
  add(request: WaitingRequest): void {
    this.#length += 1;
    this.#heap.push(request);
    this.#rise(this.#heap.length - 1);
  }

  /** Removes a request that waits. */
  remove(request: WaitingRequest): void {
    if (request.isRemoved) return;
    request.isRemoved = true;
    this.#length -= 1;
  }

  /** Gets the request with the earliest deadline. */
  getFirst(): WaitingRequest | undefined {
    while (this.#heap[0]?.isRemoved === true) this.#dropTop();
    return this.#heap[0];
  }

  /** Gets and removes the request with the earliest deadline. */
  takeFirst(): WaitingRequest | undefined {
    const first = this.getFirst();
    if (first !== undefined) this.remove(first);
    return first;
  }

  #dropTop(): void {
    const last = this.#heap.pop();
    if (this.#heap.length === 0 || last === undefined) return;
    this.#heap[0] = last;
    this.#sink(0);
  }

  #rise(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.#heap[parent]!.deadline <= this.#heap[index]!.deadline) return;
      this.#swap(index, parent);
      index = parent;
    }
  }

  #sink(start: number): void {
    let index = start;
    for (;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        const candidate = this.#heap[child];
        if (candidate !== undefined && candidate.deadline < this.#heap[least]!.deadline) {
          least = child;
        }
      }
      if (least === index) return;
      this.#swap(index, least);
      index = least;
    }
  }

  #swap(first: number, second: number): void {
    const held = this.#heap[first]!;
    this.#heap[first] = this.#heap[second]!;
    this.#heap[second] = held;
  }
}
