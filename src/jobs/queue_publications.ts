/** The records that the owner of a queue has published and whose effect it has not seen yet. */

import type { PublicationResult } from "../records/record_messages.ts";
import type { PlacedTask } from "./placement.ts";

/** Tasks that are about to start. */
export interface PendingStart {
  /** The record that starts them. */
  recordId: string;
  /** The id of the job. */
  jobId: string;
  /** The team. */
  team: string;
  /** The tasks with their workers. */
  placed: readonly PlacedTask[];
}

/** Owns the records in flight; a record is in flight until the fold has passed its offset. */
export class QueuePublications {
  readonly #author: string;
  readonly #judgedAt = new Map<string, number | undefined>();
  #pending: PendingStart[] = [];
  #count = 0;

  private constructor(author: string) {
    this.#author = author;
  }

  /** Creates the publications of a queue by one author, whose identity is new at each start. */
  static create(author: string): QueuePublications {
    return new QueuePublications(author);
  }

  /** Creates the id of a record that goes into flight now. */
  add(): string {
    this.#count += 1;
    const recordId = `${this.#author}-${this.#count}`;
    this.#judgedAt.set(recordId, undefined);
    return recordId;
  }

  /** Adds tasks that are about to start. */
  addPendingStart(pending: PendingStart): void {
    this.#pending.push(pending);
  }

  /** Notes what became of a record; one whose outcome is unknown is left to the fold to tell. */
  handleResult(recordId: string, result: PublicationResult): void {
    if (!this.#judgedAt.has(recordId)) return;
    if (result.outcome === "judged") this.#judgedAt.set(recordId, result.offset);
    else this.#judgedAt.delete(recordId);
  }

  /** Forgets the records that the fold has passed. */
  removeApplied(offset: number): void {
    for (const [recordId, judgedAt] of this.#judgedAt) {
      if (judgedAt !== undefined && judgedAt <= offset) this.#judgedAt.delete(recordId);
    }
    this.#pending = this.#pending.filter((pending) => this.isInFlight(pending.recordId));
  }

  /** Gets whether a record is in flight. */
  isInFlight(recordId: string | undefined): boolean {
    return recordId !== undefined && this.#judgedAt.has(recordId);
  }

  /** Gets the tasks that are about to start. */
  getPendingStarts(): readonly PendingStart[] {
    return this.#pending;
  }

  /** Gets whether a task is about to start. */
  isStartPending(jobId: string, task: number): boolean {
    return this.#pending.some((pending) =>
      pending.jobId === jobId && pending.placed.some((placed) => placed.task === task)
    );
  }

  /** Gets the number of records in flight. */
  getSize(): number {
    return this.#judgedAt.size;
  }
}
