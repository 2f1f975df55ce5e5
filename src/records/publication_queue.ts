/** The publications of one host that wait for an append or for their verdict. */

import type { Reply } from "../tasks/mod.ts";
import type { DraftRecord } from "./record.ts";
import type { PublicationResult } from "./record_messages.ts";

/** The maximum number of pending publications. */
export const MAXIMUM_PUBLICATIONS = 20_000;

interface Publication {
  draft: DraftRecord;
  replies: Reply<PublicationResult>[];
}

/** Keeps publications until their verdict is known or they time out. */
export class PublicationQueue {
  readonly #publications = new Map<string, Publication>();
  readonly #unsent = new Set<string>();

  private constructor() {}

  static create(): PublicationQueue {
    return new PublicationQueue();
  }

  /** Gets the number of pending publications. */
  getLength(): number {
    return this.#publications.size;
  }

  /** Adds a publication. One with the id of a pending one gets the same verdict. */
  add(draft: DraftRecord, reply: Reply<PublicationResult>): void {
    const pending = this.#publications.get(draft.id);
    if (pending !== undefined) {
      pending.replies.push(reply);
      return;
    }
    if (this.#publications.size >= MAXIMUM_PUBLICATIONS) {
      reply({ outcome: "unknown", reason: "too many pending publications" });
      return;
    }
    this.#publications.set(draft.id, { draft, replies: [reply] });
    this.#unsent.add(draft.id);
  }

  /** Removes the oldest drafts from the queue for one append. */
  takeBatch(limit: number): DraftRecord[] {
    const batch: DraftRecord[] = [];
    for (const id of this.#unsent) {
      if (batch.length === limit) break;
      const publication = this.#publications.get(id);
      this.#unsent.delete(id);
      if (publication !== undefined) batch.push(publication.draft);
    }
    return batch;
  }

  /** Queues drafts whose append may have failed again; repeated appends are detected by record id. */
  requeue(drafts: readonly DraftRecord[]): void {
    for (const draft of drafts) {
      if (this.#publications.has(draft.id)) this.#unsent.add(draft.id);
    }
  }

  /** Removes a publication and sends its result to all callers that wait for it. */
  complete(recordId: string, result: PublicationResult): void {
    const publication = this.#publications.get(recordId);
    if (publication === undefined) return;
    this.#publications.delete(recordId);
    this.#unsent.delete(recordId);
    for (const reply of publication.replies) reply(result);
  }
}
