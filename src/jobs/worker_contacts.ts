/** What the owner of a queue knows of the workers' processes. */

/** What is known of one worker's process. */
interface WorkerContact {
  incarnation: string | undefined;
  heardAt: number;
  askedAt: number;
  failedAt: number;
  renewedAt: number;
  actedAt: number;
  isAsking: boolean;
  isRenewing: boolean;
}

/** Options of a `WorkerContacts`. */
export interface WorkerContactsOptions {
  /** For how long a worker's answer is good for a start on it. */
  answerValidityMilliseconds: number;
  /** The wait after a call that failed. */
  retryMilliseconds: number;
}

/** Owns what is known of the workers of one queue. */
export class WorkerContacts {
  readonly #options: WorkerContactsOptions;
  readonly #contacts = new Map<string, WorkerContact>();

  private constructor(options: WorkerContactsOptions) {
    this.#options = options;
  }

  /** Creates the contacts, of which nothing is known. */
  static create(options: WorkerContactsOptions): WorkerContacts {
    return new WorkerContacts(options);
  }

  /** Gets the identity of a worker's process, if it answered a short while ago and not failed since. */
  getIncarnation(worker: string, now: number): string | undefined {
    const contact = this.#contacts.get(worker);
    if (contact === undefined || contact.failedAt > contact.heardAt) return undefined;
    return now - contact.heardAt <= this.#options.answerValidityMilliseconds
      ? contact.incarnation
      : undefined;
  }

  /** Gets whether a worker is to be asked for its status before a start on it. */
  isStatusCallDue(worker: string, now: number): boolean {
    const contact = this.#contacts.get(worker);
    if (contact === undefined) return true;
    if (contact.isAsking || this.getIncarnation(worker, now) !== undefined) return false;
    return now - contact.askedAt >= this.#options.retryMilliseconds;
  }

  /** Gets whether it is not known yet if a worker answers. */
  isUnconfirmed(worker: string, now: number): boolean {
    if (this.getIncarnation(worker, now) !== undefined) return false;
    const contact = this.#contacts.get(worker);
    return contact === undefined || contact.failedAt <= contact.heardAt;
  }

  /** Gets whether the leases on a worker are to be renewed, at the latest after an interval. */
  isRenewalDue(worker: string, now: number, intervalMilliseconds: number): boolean {
    const contact = this.#contacts.get(worker);
    if (contact === undefined) return true;
    if (contact.isRenewing) return false;
    const isFailing = contact.failedAt > contact.heardAt;
    const interval = isFailing ? this.#options.retryMilliseconds : intervalMilliseconds;
    return now - contact.renewedAt >= interval;
  }

  /** Gets when something was last done about an overrun on a worker. */
  getOverrunActionTime(worker: string): number {
    return this.#contacts.get(worker)?.actedAt ?? -Infinity;
  }

  /** Notes that something is done about an overrun. */
  setOverrunActionTime(worker: string, now: number): void {
    this.#getContact(worker).actedAt = now;
  }

  /** Notes that a worker is asked for its status. */
  startStatusCall(worker: string, now: number): void {
    const contact = this.#getContact(worker);
    contact.isAsking = true;
    contact.askedAt = now;
  }

  /** Notes that the leases on a worker are being renewed. */
  startRenewal(worker: string, now: number): void {
    const contact = this.#getContact(worker);
    contact.isRenewing = true;
    contact.renewedAt = now;
  }

  /** Notes that a call of a kind has ended, with the identity of the process that answered it. */
  handleCallEnd(worker: string, kind: string, incarnation: string | undefined, now: number): void {
    const contact = this.#getContact(worker);
    if (kind === "status") contact.isAsking = false;
    if (kind === "renew") contact.isRenewing = false;
    if (incarnation === undefined) {
      contact.failedAt = now;
      return;
    }
    contact.incarnation = incarnation;
    contact.heardAt = now;
    contact.failedAt = -Infinity;
  }

  /** Forgets the workers that are not among these. */
  retain(workers: ReadonlySet<string>): void {
    for (const worker of this.#contacts.keys()) {
      if (!workers.has(worker)) this.#contacts.delete(worker);
    }
  }

  /** Gets the numbers of workers that answer and of those that do not. */
  getState(): { answering: number; failing: number } {
    const all = [...this.#contacts.values()];
    const failing = all.filter((contact) => contact.failedAt > contact.heardAt).length;
    return { answering: all.length - failing, failing };
  }

  #getContact(worker: string): WorkerContact {
    const known = this.#contacts.get(worker);
    if (known !== undefined) return known;
    const contact = {
      incarnation: undefined,
      heardAt: -Infinity,
      askedAt: -Infinity,
      failedAt: -Infinity,
      renewedAt: -Infinity,
      actedAt: -Infinity,
      isAsking: false,
      isRenewing: false,
    };
    this.#contacts.set(worker, contact);
    return contact;
  }
}
