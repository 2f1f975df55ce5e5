/** The events of a simulation, in order of time. */

interface QueuedEvent {
  at: number;
  order: number;
  run: () => void;
}

/** A priority queue of events; those at the same time run in the order in which they were added. */
export class EventQueue {
  readonly #heap: QueuedEvent[] = [];
  #now = 0;
  #added = 0;

  private constructor() {}

  /** Creates an empty queue at time zero. */
  static create(): EventQueue {
    return new EventQueue();
  }

  /** Gets the simulated time, in milliseconds. */
  getNow(): number {
    return this.#now;
  }

  /** Adds an event that runs after a delay. */
  add(delayMilliseconds: number, run: () => void): void {
    this.addAt(this.#now + Math.max(0, delayMilliseconds), run);
  }

  /** Adds an event that runs at a simulated time, in milliseconds. */
  addAt(at: number, run: () => void): void {
    const event = { at, order: this.#added++, run };
    let index = this.#heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, this.#heap[parent]!)) break;
      this.#heap[index] = this.#heap[parent]!;
      index = parent;
    }
    this.#heap[index] = event;
  }

  /** Runs the next event; returns `false` if there is none up to the end time. */
  runNext(end: number): boolean {
    const first = this.#heap[0];
    if (first === undefined || first.at > end) return false;
    const last = this.#heap.pop()!;
    if (last !== first) this.#siftDown(last);
    this.#now = first.at;
    first.run();
    return true;
  }

  #siftDown(event: QueuedEvent): void {
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= this.#heap.length) break;
      const right = this.#heap[child + 1];
      if (right !== undefined && isBefore(right, this.#heap[child]!)) child += 1;
      if (!isBefore(this.#heap[child]!, event)) break;
      this.#heap[index] = this.#heap[child]!;
      index = child;
    }
    this.#heap[index] = event;
  }
}

function isBefore(one: QueuedEvent, other: QueuedEvent): boolean {
  return one.at < other.at || (one.at === other.at && one.order < other.order);
}
