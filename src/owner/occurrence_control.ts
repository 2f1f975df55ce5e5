/** Creates the occurrences of accepted jobs when they are due and there is memory for them. */

import { type Job, TaskState } from "../fleet/job.ts";
import type { FleetState } from "./fleet_state.ts";

/** The minimum interval between log lines about delayed occurrences, in milliseconds. */
const LOG_INTERVAL_MILLISECONDS = 5_000;

/** What became of the next occurrence of a job. */
const AddResult = {
  Added: "added",
  /** The job has no occurrence that is due and was not added. */
  NotDue: "not due",
  NoRoom: "no room",
} as const;
type AddResult = typeof AddResult[keyof typeof AddResult];

/** The next occurrence of a job. */
interface NextOccurrence {
  occurrence: number;
  /** The initial state of its tasks: unknown if an owner with a faster clock may have started it. */
  state: TaskState;
}

/**
 * Holds for each job the number of its next occurrence. Occurrences for whose steps and tasks there is
 * no memory wait as part of that number, and are added in turn as others are completed.
 */
export class OccurrenceControl {
  readonly #state: FleetState;
  /** The jobs that have occurrences to come, in the order of their turns. */
  readonly #next = new Map<Job, NextOccurrence>();
  /** The jobs with occurrences that are due and wait for memory. */
  #delayedJobs = 0;
  #loggedAt = -Infinity;

  private constructor(state: FleetState) {
    this.#state = state;
  }

  /** Creates a control without jobs. */
  static create(state: FleetState): OccurrenceControl {
    return new OccurrenceControl(state);
  }

  /** Adds a job. The tasks of its occurrences get an initial state. */
  addJob(job: Job, state: TaskState): void {
    this.#next.set(job, { occurrence: 0, state });
  }

  /** Adds the occurrences of a job that are due and have room. */
  addDueOf(job: Job): void {
    while (this.#addNext(job) === AddResult.Added);
  }

  /**
   * Adds the occurrences of all jobs that are due and have room, one of each job at a time, so that no
   * job takes the room of others.
   */
  addDue(): void {
    let delayedJobs = 0;
    // A job that gets an occurrence moves to the end of the map, and so takes another turn.
    for (const job of this.#next.keys()) {
      if (this.#addNext(job) === AddResult.NoRoom) delayedJobs += 1;
    }
    this.#recordDelayed(delayedJobs);
  }

  /** Gets the figures for the metrics. */
  getSummary(): Readonly<Record<string, number>> {
    return {
      delayedJobs: this.#delayedJobs,
      heldOccurrenceBytes: this.#state.jobMemory.getOccurrenceBytes(),
    };
  }

  /** Adds the next occurrence of a job if it is due and has room. */
  #addNext(job: Job): AddResult {
    const next = this.#next.get(job);
    if (next === undefined) return AddResult.NotDue;
    this.#skipKnown(job, next);
    if (job.outcome !== undefined || next.occurrence >= job.getOccurrenceCount()) {
      this.#next.delete(job);
      return AddResult.NotDue;
    }
    if (job.getDueAt(next.occurrence) > this.#state.timeOfDay) return AddResult.NotDue;
    if (!this.#hasRoom(job)) return AddResult.NoRoom;
    this.#state.addOccurrence(job, next.occurrence, next.state);
    next.occurrence += 1;
    this.#next.delete(job);
    this.#next.set(job, next);
    return AddResult.Added;
  }

  /** Skips occurrences that are completed, or that were added since an executor reported them. */
  #skipKnown(job: Job, next: NextOccurrence): void {
    next.occurrence = job.doneOccurrences.findMissing(next.occurrence);
    while (job.occurrences.has(next.occurrence)) {
      next.occurrence = job.doneOccurrences.findMissing(next.occurrence + 1);
    }
  }

  #hasRoom(job: Job): boolean {
    const { jobMemory, limits } = this.#state;
    return jobMemory.hasRoomForOccurrence(job) &&
      limits.jobLimits.canHold(job.specification, job.occurrences.size + 1);
  }

  #recordDelayed(delayedJobs: number): void {
    const { jobMemory, log, now } = this.#state;
    const isLogged = delayedJobs > 0 && now - this.#loggedAt >= LOG_INTERVAL_MILLISECONDS;
    const hasEnded = delayedJobs === 0 && this.#delayedJobs > 0;
    this.#delayedJobs = delayedJobs;
    if (!isLogged && !hasEnded) return;
    this.#loggedAt = now;
    log(hasEnded ? "occurrences-resumed" : "occurrences-delayed", {
      jobs: delayedJobs,
      occurrenceBytes: jobMemory.getOccurrenceBytes(),
      jobBytes: jobMemory.getBytes(),
    });
  }
}
