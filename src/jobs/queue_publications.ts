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

/** Tracks the records in flight: those whose offset the state of the fleet has not reached. */
export class QueuePublications {
  readonly #recordIdPrefix: string;
  readonly #verdictOffsets = new Map<string, number | undefined>();
  #pending: PendingStart[] = [];
  #count = 0;

  private constructor(recordIdPrefix: string) {
    this.#recordIdPrefix = recordIdPrefix;
  }

  /** Creates an empty set of records, whose ids start with a prefix that no other owner uses. */
  static create(recordIdPrefix: string): QueuePublications {
    return new QueuePublications(recordIdPrefix);
  }

  /** Creates the id of a record, which is in flight from now on. */
  add(): string {
    this.#count += 1;
    const recordId = `${this.#recordIdPrefix}-${this.#count}`;
    this.#verdictOffsets.set(recordId, undefined);
    return recordId;
  }

  /** Adds tasks whose start is pending. */
  addPendingStart(pending: PendingStart): void {
    this.#pending.push(pending);
  }

  /**
   * Handles the result of a publication. A record with an unknown result is no longer in flight;
   * the state of the fleet shows whether it was applied.
   */
  handleResult(recordId: string, result: PublicationResult): void {
    if (!this.#verdictOffsets.has(recordId)) return;
    if (result.outcome === "judged") this.#verdictOffsets.set(recordId, result.offset);
    else this.#verdictOffsets.delete(recordId);
  }

  /** Removes the records that the state of the fleet at an offset includes. */
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
