/** The waiting requests of a team for a pool, ordered by earliest deadline first. */

import type { Fleet } from "../records/fleet.ts";
import type { Arrival } from "./dispatch_messages.ts";

/** A waiting request. */
export interface WaitingRequest {
  arrival: Arrival;
  /** The name of the team under whose rights it runs. */
  team: string;
  /** The caller's deadline in elapsed milliseconds. */
  deadline: number;
  /** The fleet against which its access was last checked. */
  checkedFleet: Fleet;
  /** Whether it was removed from the queue; the heap may still contain it. */
  isRemoved: boolean;
}

/** A binary heap by deadline. Removed requests stay in the heap until they reach the top. */
export class DispatchQueue {
  readonly #heap: WaitingRequest[] = [];
  #length = 0;

  private constructor() {}

  static create(): DispatchQueue {
    return new DispatchQueue();
  }

  /** Gets the number of waiting requests. */
  getLength(): number {
    return this.#length;
  }

  add(request: WaitingRequest): void {
    this.#length += 1;
    this.#heap.push(request);
    this.#siftUp(this.#heap.length - 1);
  }

  /** Marks a request as removed. */
  remove(request: WaitingRequest): void {
    if (request.isRemoved) return;
    request.isRemoved = true;
    this.#length -= 1;
  }

  /** Gets the request with the earliest deadline. */
  getFirst(): WaitingRequest | undefined {
    while (this.#heap[0]?.isRemoved === true) this.#removeTop();
    return this.#heap[0];
  }

  /** Gets and removes the request with the earliest deadline. */
  takeFirst(): WaitingRequest | undefined {
    const first = this.getFirst();
    if (first !== undefined) this.remove(first);
    return first;
  }

  #removeTop(): void {
    const last = this.#heap.pop();
    if (this.#heap.length === 0 || last === undefined) return;
    this.#heap[0] = last;
    this.#siftDown(0);
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.#heap[parent]!.deadline <= this.#heap[index]!.deadline) return;
      this.#swap(index, parent);
      index = parent;
    }
  }

  #siftDown(start: number): void {
    let index = start;
    for (;;) {
      let smallest = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        const candidate = this.#heap[child];
        if (candidate !== undefined && candidate.deadline < this.#heap[smallest]!.deadline) {
          smallest = child;
        }
      }
      if (smallest === index) return;
      this.#swap(index, smallest);
      index = smallest;
    }
  }

  #swap(first: number, second: number): void {
    const swapped = this.#heap[first]!;
    this.#heap[first] = this.#heap[second]!;
    this.#heap[second] = swapped;
  }
}
