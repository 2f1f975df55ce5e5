/** The bounded message queue of a task. */

/** The number of taken messages from which on their places are given back. */
const MINIMUM_TAKEN_PLACES = 256;

/** Options of a `Mailbox`. */
export interface MailboxOptions {
  /** The maximum number of queued messages. */
  capacity: number;
}

/** A bounded first-in, first-out queue that rejects messages when it is full. */
export class Mailbox<Message> {
  readonly #capacity: number;
  /** The queued messages; the places before `#next` are empty. */
  #messages: (Message | undefined)[] = [];
  #next = 0;
  #rejectedCount = 0;

  private constructor(options: MailboxOptions) {
    this.#capacity = options.capacity;
  }

  static create<Message>(options: MailboxOptions): Mailbox<Message> {
    return new Mailbox<Message>(options);
  }

  /** Adds a message. Returns false if the mailbox is full. */
  add(message: Message): boolean {
    if (this.getLength() >= this.#capacity) {
      this.#rejectedCount += 1;
      return false;
    }
    this.#messages.push(message);
    return true;
  }

  /** Removes and returns the oldest message, or undefined if the mailbox is empty. */
  take(): Message | undefined {
    const message = this.#messages[this.#next];
    if (message === undefined) return undefined;
    this.#messages[this.#next] = undefined;
    this.#next += 1;
    if (this.#next === this.#messages.length) this.clear();
    else if (this.#next >= MINIMUM_TAKEN_PLACES && 2 * this.#next >= this.#messages.length) {
      // A mailbox that is never empty would otherwise keep a place for each message ever taken.
      this.#messages.splice(0, this.#next);
      this.#next = 0;
    }
    return message;
  }

  /** Removes all messages. */
  clear(): void {
    this.#messages = [];
    this.#next = 0;
  }

  /** Gets the number of queued messages. */
  getLength(): number {
    return this.#messages.length - this.#next;
  }

  /** Gets the number of messages rejected since the mailbox was created. */
  getRejectedCount(): number {
    return this.#rejectedCount;
  }
}
