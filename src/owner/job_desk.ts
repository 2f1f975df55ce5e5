/** What callers ask of jobs: submit, state, cancel, and the number that waits. */

import { Job, JobState, TaskState } from "../fleet/job.ts";
import type { JobSpecification } from "../fleet/job_specification.ts";
import type { FleetState } from "./fleet_state.ts";
import { getChain } from "./job_chain.ts";
import { createAcceptedEntry, createForgottenEntries, createProgressEntry } from "./job_records.ts";
import { ShareMeter } from "./share_meter.ts";
import type { RunControl } from "./run_control.ts";

/** A job that a caller hands in. */
export interface Submission {
  /** The id that the caller chose. */
  id: string;
  /** The name of the queue. */
  queue: string;
  /** The name of the customer; empty on a public queue without a key. */
  customer: string;
  /** What the caller asks for. */
  specification: JobSpecification;
}

/** How far jobs have come that have not ended, for logs. */
export interface JobCounts {
  /** The jobs. */
  jobs: number;
  /** The ones with a run that was ordered. */
  ordered: number;
  /** The ones with a run that its executor has confirmed. */
  confirmed: number;
}

/** The next occurrence of a job that is to come. */
interface NextOccurrence {
  occurrence: number;
  /** Unknown where an owner with a clock ahead of this one's may have begun it. */
  state: TaskState;
}

/** The decisions about whole jobs. */
export class JobDesk {
  readonly #state: FleetState;
  readonly #runs: RunControl;
  /** The jobs that are being stored, with those that wait for it. */
  readonly #accepting = new Map<string, (() => void)[]>();
  readonly #shares = ShareMeter.create();
  readonly #cancelling = new Map<string, (() => void)[]>();
  /** Jobs with occurrences that are not due yet. */
  readonly #timed = new Map<Job, NextOccurrence>();

  private constructor(state: FleetState, runs: RunControl) {
    this.#state = state;
    this.#runs = runs;
  }

  /** Creates the decisions on a state. */
  static create(state: FleetState, runs: RunControl): JobDesk {
    return new JobDesk(state, runs);
  }

  /** Stores a job, and tells when it is accepted; a job that is known already is accepted at once. */
  submit(submission: Submission, onAccepted: () => void): void {
    const state = this.#state;
    if (state.jobs.has(submission.id)) return onAccepted();
    const waiting = this.#accepting.get(submission.id);
    if (waiting !== undefined) {
      waiting.push(onAccepted);
      return;
    }
    const callbacks = [onAccepted];
    this.#accepting.set(submission.id, callbacks);
    const job = Job.create({ ...submission, acceptedAt: state.timeOfDay });
    // A later owner needs the queue to carry the job out, even if operators have removed it.
    const entries = [createAcceptedEntry(job), ...state.createQueueEntries(job.queue)];
    state.ports.write(entries, () => {
      this.#accepting.delete(job.id);
      state.jobs.set(job.id, job);
      this.#measure(job);
      state.log("job-accepted", {
        request: job.id,
        queue: job.queue,
        customer: job.customer,
        steps: job.specification.steps.length,
        repeats: job.specification.repeats,
        version: state.configuration.version,
      });
      this.#schedule(job, TaskState.Waiting);
      for (const callback of callbacks) callback();
    });
  }

  /** Adds a job that an earlier owner stored. */
  restore(job: Job): void {
    this.#state.jobs.set(job.id, job);
    job.outcomeKnownSince = this.#state.now;
    if (job.outcome !== undefined) return;
    for (const steps of job.occurrences.values()) {
      for (const step of steps) this.#state.addIfReady(step);
    }
    this.#schedule(job, TaskState.Unknown);
  }

  /** Gets what a caller is told of a job, or undefined if there is none. */
  getState(id: string): JobState | undefined {
    return this.#state.jobs.get(id)?.getVisibleState();
  }

  /** Gets whether a job is being stored. */
  isAccepting(id: string): boolean {
    return this.#accepting.has(id);
  }

  /** Gets the number of a queue's jobs of which no task has started. */
  getWaitingCount(queue: string): number {
    let count = 0;
    for (const job of this.#state.jobs.values()) {
      if (job.queue === queue && job.getVisibleState() === JobState.Queued) count += 1;
    }
    return count;
  }

  /** Counts how far a job has come, for logs. */
  countJob(id: string): JobCounts {
    const job = this.#state.jobs.get(id);
    return countJobs(job === undefined ? [] : [job]);
  }

  /** Counts how far the jobs of a queue have come, for logs. */
  countQueue(queue: string): JobCounts {
    return countJobs([...this.#state.jobs.values()].filter((job) => job.queue === queue));
  }

  /** Cancels a job, once it is stored where it is being stored, and tells when that is stored. */
  cancel(id: string, onCancelled: () => void): void {
    const state = this.#state;
    const accepting = this.#accepting.get(id);
    if (accepting !== undefined) {
      accepting.push(() => this.cancel(id, onCancelled));
      return;
    }
    const job = state.jobs.get(id);
    if (job === undefined) return onCancelled();
    const waiting = this.#cancelling.get(id);
    if (waiting !== undefined) {
      waiting.push(onCancelled);
      return;
    }
    if (job.outcome !== undefined && job.isOutcomeStored) return onCancelled();
    const callbacks = [onCancelled];
    this.#cancelling.set(id, callbacks);
    this.#runs.endJob(job, JobState.Cancelled, "cancelled by its caller");
    state.changedJobs.delete(job);
    state.ports.write([createProgressEntry(job)], () => {
      job.isOutcomeStored = true;
      this.#cancelling.delete(id);
      for (const callback of callbacks) callback();
    });
  }

  /** Starts the occurrences that are due, and forgets jobs that ended long ago. */
  tick(): void {
    for (const [job, next] of this.#timed) {
      if (job.outcome !== undefined) this.#timed.delete(job);
      else this.#addDue(job, next);
    }
  }

  /** Forgets the jobs that ended long ago. */
  forget(): void {
    const state = this.#state;
    // The time of day may step, and differs between owners.
    const oldest = state.now - state.limits.rememberMilliseconds;
    for (const job of state.jobs.values()) {
      const isOld = job.outcome !== undefined && job.isOutcomeStored &&
        job.outcomeKnownSince < oldest;
      if (!isOld || [...job.getTasks()].some((task) => task.run !== undefined)) continue;
      state.jobs.delete(job.id);
      state.ports.write(createForgottenEntries(job), () => {});
    }
  }

  /** Takes account of a new job in the shares of customers and the work that arrives. */
  #measure(job: Job): void {
    const state = this.#state;
    const customer = state.configuration.customers.get(job.customer);
    if (customer !== undefined) {
      job.isBeyondShare = this.#shares.isBeyondShare(customer.name, customer.weight, state.now);
    }
    const service = state.getService(job);
    if (service === undefined || job.specification.repeats > 0) return;
    let work = 0;
    for (const specification of job.specification.steps) {
      if (specification.isLasting) continue;
      const milliseconds = state.durations.getDuration({ job, specification });
      work += specification.count * specification.demand.cpu * milliseconds;
    }
    const chainMilliseconds = getChain(state.durations, job, 0);
    state.arrivals.add({ service, work, chainMilliseconds, now: state.now });
  }

  #schedule(job: Job, state: TaskState): void {
    if (job.specification.repeats === 0) {
      if (!job.occurrences.has(0) && !job.doneOccurrences.has(0)) {
        this.#state.addOccurrence(job, 0, state);
      }
      return;
    }
    this.#addDue(job, { occurrence: 0, state });
  }

  #addDue(job: Job, first: NextOccurrence): void {
    const { state } = first;
    let next = first.occurrence;
    while (next < job.getOccurrenceCount() && job.getDueAt(next) <= this.#state.timeOfDay) {
      if (!job.occurrences.has(next) && !job.doneOccurrences.has(next)) {
        this.#state.addOccurrence(job, next, state);
      }
      next += 1;
    }
    if (next < job.getOccurrenceCount()) this.#timed.set(job, { occurrence: next, state });
    else this.#timed.delete(job);
  }
}

function countJobs(jobs: readonly Job[]): JobCounts {
  const counts: JobCounts = { jobs: 0, ordered: 0, confirmed: 0 };
  for (const job of jobs) {
    if (job.outcome !== undefined) continue;
    const runs = [...job.getTasks()].flatMap(({ run }) => run === undefined ? [] : [run]);
    counts.jobs += 1;
    if (runs.length > 0) counts.ordered += 1;
    if (runs.some(({ confirmedAt }) => confirmedAt > 0)) counts.confirmed += 1;
  }
  return counts;
}
