/** The bounded message queue of a task. */

/** Options of a `Mailbox`. */
export interface MailboxOptions {
  /** The maximum number of queued messages. */
  capacity: number;
}

/** A bounded first-in, first-out queue that rejects messages when it is full. */
export class Mailbox<Message> {
  readonly #capacity: number;
  #waiting: Message[] = [];
  #next = 0;
  #refused = 0;

  private constructor(options: MailboxOptions) {
    this.#capacity = options.capacity;
  }

  static create<Message>(options: MailboxOptions): Mailbox<Message> {
    return new Mailbox<Message>(options);
  }

  /** Adds a message. Returns false if the mailbox is full. */
  add(message: Message): boolean {
    if (this.getLength() >= this.#capacity) {
      this.#refused += 1;
      return false;
    }
    this.#waiting.push(message);
    return true;
  }

  /** Removes and returns the oldest message, or undefined if the mailbox is empty. */
  take(): Message | undefined {
    const message = this.#waiting[this.#next];
    if (message === undefined) return undefined;
    this.#next += 1;
    if (this.#next === this.#waiting.length) this.clear();
    return message;
  }

  /** Removes all messages. */
  clear(): void {
    this.#waiting = [];
    this.#next = 0;
  }

  /** Gets the number of queued messages. */
  getLength(): number {
    return this.#waiting.length - this.#next;
  }

  /** Gets the number of messages rejected since the mailbox was created. */
  getRejectedCount(): number {
    return this.#refused;
  }
}
