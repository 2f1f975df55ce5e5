/** The events of a modelled run in the order of their times. */

interface QueuedEvent {
  at: number;
  order: number;
  run: () => void;
}

/** A priority queue: events at the same time run in the order in which they were added. */
export class EventQueue {
  readonly #heap: QueuedEvent[] = [];
  #now = 0;
  #added = 0;

  private constructor() {}

  /** Creates an empty queue at time zero. */
  static create(): EventQueue {
    return new EventQueue();
  }

  /** Gets the time, in milliseconds of the model. */
  getNow(): number {
    return this.#now;
  }

  /** Adds an event after a delay. */
  add(delayMilliseconds: number, run: () => void): void {
    this.addAt(this.#now + Math.max(0, delayMilliseconds), run);
  }

  /** Adds an event at a time of the model, in milliseconds. */
  addAt(at: number, run: () => void): void {
    const event = { at, order: this.#added++, run };
    let place = this.#heap.push(event) - 1;
    while (place > 0) {
      const parent = (place - 1) >> 1;
      if (!isBefore(event, this.#heap[parent]!)) break;
      this.#heap[place] = this.#heap[parent]!;
      place = parent;
    }
    this.#heap[place] = event;
  }

  /** Runs the next event, and returns false if there is none before the end. */
  runNext(end: number): boolean {
    const first = this.#heap[0];
    if (first === undefined || first.at > end) return false;
    const last = this.#heap.pop()!;
    if (last !== first) this.#sink(last);
    this.#now = first.at;
    first.run();
    return true;
  }

  #sink(event: QueuedEvent): void {
    let place = 0;
    for (;;) {
      let child = 2 * place + 1;
      if (child >= this.#heap.length) break;
      const right = this.#heap[child + 1];
      if (right !== undefined && isBefore(right, this.#heap[child]!)) child += 1;
      if (!isBefore(this.#heap[child]!, event)) break;
      this.#heap[place] = this.#heap[child]!;
      place = child;
    }
    this.#heap[place] = event;
  }
}

function isBefore(one: QueuedEvent, other: QueuedEvent): boolean {
  return one.at < other.at || (one.at === other.at && one.order < other.order);
}
