/** The publications of one host: what waits for its append, and what waits for its verdict. */

import type { Reply } from "../tasks/mod.ts";
import type { DraftRecord } from "./record.ts";
import type { PublicationResult } from "./record_messages.ts";

/** The most publications that may wait. */
export const MAXIMUM_PUBLICATIONS = 20_000;

interface Publication {
  draft: DraftRecord;
  replies: Reply<PublicationResult>[];
}

/** Keeps publications until the fold has judged them or their time is up. */
export class PublicationQueue {
  readonly #publications = new Map<string, Publication>();
  readonly #unsent = new Set<string>();

  private constructor() {}

  /** Creates an empty queue. */
  static create(): PublicationQueue {
    return new PublicationQueue();
  }

  /** Gets the number of publications. */
  getLength(): number {
    return this.#publications.size;
  }

  /** Adds a publication; one with the id of another waits for the same verdict. */
  add(draft: DraftRecord, reply: Reply<PublicationResult>): void {
    const waiting = this.#publications.get(draft.id);
    if (waiting !== undefined) {
      waiting.replies.push(reply);
      return;
    }
    if (this.#publications.size >= MAXIMUM_PUBLICATIONS) {
      reply({ outcome: "unknown", reason: "too many publications wait" });
      return;
    }
    this.#publications.set(draft.id, { draft, replies: [reply] });
    this.#unsent.add(draft.id);
  }

  /** Takes the oldest drafts for one append. */
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

  /** Puts back drafts whose append may have failed; their ids make a second append harmless. */
  requeue(drafts: readonly DraftRecord[]): void {
    for (const draft of drafts) {
      if (this.#publications.has(draft.id)) this.#unsent.add(draft.id);
    }
  }

  /** Answers those who wait for a record. */
  complete(recordId: string, result: PublicationResult): void {
    const publication = this.#publications.get(recordId);
    if (publication === undefined) return;
    this.#publications.delete(recordId);
    this.#unsent.delete(recordId);
    for (const reply of publication.replies) reply(result);
  }
}
