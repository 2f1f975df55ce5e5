/** The queue owner's view of its workers: their incarnations, last answers and calls in flight. */

/**
 * The owner's view of one worker; times are in milliseconds of the monotonic clock, `-Infinity` for
 * never.
 */
interface WorkerContact {
  incarnation: string | undefined;
  answeredAt: number;
  statusCalledAt: number;
  failedAt: number;
  renewedAt: number;
  overrunActionAt: number;
  isStatusCallInFlight: boolean;
  isRenewalInFlight: boolean;
}

/** Options of a `WorkerContacts`. */
export interface WorkerContactsOptions {
  /** The validity of a worker's answer; tasks are started only on workers with a valid one. */
  answerValidityMilliseconds: number;
  /** The delay before a failed call is retried. */
  retryMilliseconds: number;
}

/** Owns the contact data of the workers of one queue. */
export class WorkerContacts {
  readonly #options: WorkerContactsOptions;
  readonly #contacts = new Map<string, WorkerContact>();

  private constructor(options: WorkerContactsOptions) {
    this.#options = options;
  }

  /** Creates the contacts, with no worker known. */
  static create(options: WorkerContactsOptions): WorkerContacts {
    return new WorkerContacts(options);
  }

  /** Gets a worker's incarnation if its last answer is recent and no call has failed since. */
  getIncarnation(worker: string, now: number): string | undefined {
    const contact = this.#contacts.get(worker);
    if (contact === undefined || contact.failedAt > contact.answeredAt) return undefined;
    return now - contact.answeredAt <= this.#options.answerValidityMilliseconds
      ? contact.incarnation
      : undefined;
  }

  /** Gets whether a status call is due before tasks can be started on a worker. */
  isStatusCallDue(worker: string, now: number): boolean {
    const contact = this.#contacts.get(worker);
    if (contact === undefined) return true;
    if (contact.isStatusCallInFlight || this.getIncarnation(worker, now) !== undefined) {
      return false;
    }
    return now - contact.statusCalledAt >= this.#options.retryMilliseconds;
  }

  /** Gets whether a worker has no recent answer, and no failed call since its last one. */
  isUnconfirmed(worker: string, now: number): boolean {
    if (this.getIncarnation(worker, now) !== undefined) return false;
    const contact = this.#contacts.get(worker);
    return contact === undefined || contact.failedAt <= contact.answeredAt;
  }

  /** Gets whether the leases on a worker are due for renewal; failed calls are retried sooner. */
  isRenewalDue(worker: string, now: number, intervalMilliseconds: number): boolean {
    const contact = this.#contacts.get(worker);
    if (contact === undefined) return true;
    if (contact.isRenewalInFlight) return false;
    const isFailing = contact.failedAt > contact.answeredAt;
    const interval = isFailing ? this.#options.retryMilliseconds : intervalMilliseconds;
    return now - contact.renewedAt >= interval;
  }

  /** Gets the time of the last action against an overrun on a worker. */
  getOverrunActionTime(worker: string): number {
    return this.#contacts.get(worker)?.overrunActionAt ?? -Infinity;
  }

  /** Sets the time of the last action against an overrun on a worker. */
  setOverrunActionTime(worker: string, now: number): void {
    this.#getContact(worker).overrunActionAt = now;
  }

  /** Marks a status call to a worker as in flight. */
  startStatusCall(worker: string, now: number): void {
    const contact = this.#getContact(worker);
    contact.isStatusCallInFlight = true;
    contact.statusCalledAt = now;
  }

  /** Marks a renewal of the leases on a worker as in flight. */
  startRenewal(worker: string, now: number): void {
    const contact = this.#getContact(worker);
    contact.isRenewalInFlight = true;
    contact.renewedAt = now;
  }

  /** Handles the end of a call; the incarnation is undefined if the call failed. */
  handleCallEnd(worker: string, kind: string, incarnation: string | undefined, now: number): void {
    const contact = this.#getContact(worker);
    if (kind === "status") contact.isStatusCallInFlight = false;
    if (kind === "renew") contact.isRenewalInFlight = false;
    if (incarnation === undefined) {
      contact.failedAt = now;
      return;
    }
    contact.incarnation = incarnation;
    contact.answeredAt = now;
    contact.failedAt = -Infinity;
  }

  /** Removes all other workers. */
  retain(workers: ReadonlySet<string>): void {
    for (const worker of this.#contacts.keys()) {
      if (!workers.has(worker)) this.#contacts.delete(worker);
    }
  }

  /**
   * Counts the workers whose last ended call failed, and all other workers that were called, also
   * those that have not answered yet.
   */
  getState(): { answering: number; failing: number } {
    const all = [...this.#contacts.values()];
    const failing = all.filter((contact) => contact.failedAt > contact.answeredAt).length;
    return { answering: all.length - failing, failing };
  }

  #getContact(worker: string): WorkerContact {
    const known = this.#contacts.get(worker);
    if (known !== undefined) return known;
    const contact = {
      incarnation: undefined,
      answeredAt: -Infinity,
      statusCalledAt: -Infinity,
      failedAt: -Infinity,
      renewedAt: -Infinity,
      overrunActionAt: -Infinity,
      isStatusCallInFlight: false,
      isRenewalInFlight: false,
    };
    this.#contacts.set(worker, contact);
    return contact;
  }
}
