/** The records that the owner of a queue has published and whose effect it has not applied yet. */

import type { PublicationResult } from "../records/record_messages.ts";
import type { PlacedTask } from "./placement.ts";

/** Tasks of one job whose start is pending. */
export interface PendingStart {
  /** The id of the record that starts them. */
  recordId: string;
  jobId: string;
  team: string;
  /** The tasks with their workers. */
  placed: readonly PlacedTask[];
}

/** Tracks the records in flight; a record is in flight until the fold has reached its offset. */
export class QueuePublications {
  readonly #author: string;
  readonly #verdictOffsets = new Map<string, number | undefined>();
  #pending: PendingStart[] = [];
  #count = 0;

  private constructor(author: string) {
    this.#author = author;
  }

  /** Creates the publications of one author, whose id must be unique to keep record ids unique. */
  static create(author: string): QueuePublications {
    return new QueuePublications(author);
  }

  /** Creates the id of a record, which is in flight from now on. */
  add(): string {
    this.#count += 1;
    const recordId = `${this.#author}-${this.#count}`;
    this.#verdictOffsets.set(recordId, undefined);
    return recordId;
  }

  /** Adds tasks whose start is pending. */
  addPendingStart(pending: PendingStart): void {
    this.#pending.push(pending);
  }

  /**
   * Handles the result of a publication. A record with an unknown result is no longer in flight;
   * the fold shows whether it was applied.
   */
  handleResult(recordId: string, result: PublicationResult): void {
    if (!this.#verdictOffsets.has(recordId)) return;
    if (result.outcome === "judged") this.#verdictOffsets.set(recordId, result.offset);
    else this.#verdictOffsets.delete(recordId);
  }

  /** Removes the records that the fold has applied up to an offset. */
  removeApplied(offset: number): void {
    for (const [recordId, verdictOffset] of this.#verdictOffsets) {
      if (verdictOffset !== undefined && verdictOffset <= offset) {
        this.#verdictOffsets.delete(recordId);
      }
    }
    this.#pending = this.#pending.filter((pending) => this.isInFlight(pending.recordId));
  }

  /** Gets whether a record is in flight. */
  isInFlight(recordId: string | undefined): boolean {
    return recordId !== undefined && this.#verdictOffsets.has(recordId);
  }

  /** Gets the tasks whose start is pending. */
  getPendingStarts(): readonly PendingStart[] {
    return this.#pending;
  }

  /** Gets whether the start of a task is pending. */
  isStartPending(jobId: string, task: number): boolean {
    return this.#pending.some((pending) =>
      pending.jobId === jobId && pending.placed.some((placed) => placed.task === task)
    );
  }

  /** Gets the number of records in flight. */
  getSize(): number {
    return this.#verdictOffsets.size;
  }
}
