/** The order in which calls are handled: a connection that pipelines waits behind all others. */

import type { CallerAccount } from "./caller_account.ts";

/** The open requests of a connection up to which its calls are handled at once. */
const IMMEDIATE_REQUESTS = 2;
/**
 * The maximum number of calls of other connections that are handled at a time, so that a call of an
 * ordinary caller waits for no more of them.
 */
const MAXIMUM_HANDLED = 32;

/** Handles a call, and calls back when it is answered. */
export type HandleCall = (onAnswered: () => void) => void;

/** Owns the calls of connections that pipeline, and takes them in turn: one of each connection. */
export class CallQueue {
  readonly #waiting = new Map<CallerAccount, HandleCall[]>();
  #handled = 0;
  #isOpen = false;

  private constructor() {}

  static create(): CallQueue {
    return new CallQueue();
  }

  /** Gets the number of calls that wait. */
  getLength(): number {
    let length = 0;
    for (const calls of this.#waiting.values()) length += calls.length;
    return length;
  }

  /** Handles a call at once if it is one of few of its connection, otherwise in turn. */
  add(account: CallerAccount, handle: HandleCall): void {
    const calls = this.#waiting.get(account);
    if (calls !== undefined) {
      calls.push(handle);
    } else if (this.#isOpen || account.openRequests <= IMMEDIATE_REQUESTS) {
      handle(() => {});
    } else {
      this.#waiting.set(account, [handle]);
      this.#handleNext();
    }
  }

  /** Drops the calls of a connection that is closed. They were not delivered. */
  drop(account: CallerAccount): void {
    this.#waiting.delete(account);
  }

  /** Handles all calls at once, those that wait and later ones. */
  open(): void {
    this.#isOpen = true;
    const waiting = [...this.#waiting.values()];
    this.#waiting.clear();
    for (const handle of waiting.flat()) handle(() => {});
  }

  #handleNext(): void {
    while (this.#handled < MAXIMUM_HANDLED) {
      const [first] = this.#waiting;
      if (first === undefined) return;
      const [account, calls] = first;
      this.#waiting.delete(account);
      const handle = calls.shift()!;
      if (calls.length > 0) this.#waiting.set(account, calls);
      this.#handled += 1;
      let isAnswered = false;
      handle(() => {
        if (isAnswered) return;
        isAnswered = true;
        this.#handled -= 1;
        // Answers may come while this loop runs.
        queueMicrotask(() => this.#handleNext());
      });
    }
  }
}
