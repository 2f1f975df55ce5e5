/** The unit of concurrency: a task owns its sockets and state, and communicates by messages only. */

import { Mailbox } from "./mailbox.ts";

/** The mailbox capacity of tasks that specify none, in messages. */
export const DEFAULT_MAILBOX_CAPACITY = 10_000;

/** The maximum number of messages that a task handles before it yields to the event loop. */
const MESSAGES_PER_TURN = 256;

/** Options of a `Task`. */
export interface TaskOptions {
  /** The name shown in logs and state dumps. */
  name: string;
  /** The maximum number of queued messages. */
  mailboxCapacity?: number;
}

/** The interface through which other tasks send messages to a task. */
export interface Address<Message> {
  /** Posts a message. Returns false if the task has stopped or its mailbox is full. */
  post(message: Message): boolean;
}

/** Handles messages one at a time, in the order in which they were posted. */
export abstract class Task<Message> implements Address<Message> {
  /** The name shown in logs and state dumps. */
  readonly name: string;
  readonly #mailbox: Mailbox<Message>;
  #scheduled = false;
  #stopped = false;

  protected constructor(options: TaskOptions) {
    this.name = options.name;
    this.#mailbox = Mailbox.create<Message>({
      capacity: options.mailboxCapacity ?? DEFAULT_MAILBOX_CAPACITY,
    });
  }

  /** Posts a message. Returns false if the task has stopped or its mailbox is full. */
  post(message: Message): boolean {
    if (this.#stopped) return false;
    if (!this.#mailbox.add(message)) return false;
    if (!this.#scheduled) {
      this.#scheduled = true;
      queueMicrotask(() => this.#runTurn());
    }
    return true;
  }

  /** Handles one message synchronously; asynchronous work posts its result back as a message. */
  protected abstract receive(message: Message): void;

  /** Gets the state to show in the state dump, as plain data. */
  abstract getState(): unknown;

  /** Stops the task: queued messages are dropped, and later ones are rejected. */
  stop(): void {
    this.#stopped = true;
    this.#mailbox.clear();
  }

  /** Gets whether the task has stopped. */
  isStopped(): boolean {
    return this.#stopped;
  }

  /** Gets the numbers of queued and of rejected messages. */
  getMailboxState(): { waiting: number; refused: number } {
    return { waiting: this.#mailbox.getLength(), refused: this.#mailbox.getRejectedCount() };
  }

  #runTurn(): void {
    this.#scheduled = false;
    for (let count = 0; count < MESSAGES_PER_TURN; count += 1) {
      const message = this.#mailbox.take();
      if (message === undefined || this.#stopped) return;
      this.receive(message);
    }
    if (this.#mailbox.getLength() === 0) return;
    this.#scheduled = true;
    setImmediate(() => this.#runTurn());
  }
}

/** A reply callback of a message; the receiver calls it at most once. */
export type Reply<Answer> = (answer: Answer) => void;

/**
 * Posts a message with a reply callback and resolves with the answer, or with the result of
 * `refused` if the task rejects the message.
 */
export function ask<Message, Answer>(
  address: Address<Message>,
  build: (reply: Reply<Answer>) => Message,
  refused: () => Answer,
): Promise<Answer> {
  return new Promise((resolve) => {
    if (!address.post(build(resolve))) resolve(refused());
  });
}
