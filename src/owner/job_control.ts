/** Serves callers' requests about jobs: submit, get state, cancel, and count queued jobs. */

import { Job, JobState, TaskState } from "../fleet/job.ts";
import type { JobSpecification } from "../fleet/job_specification.ts";
import { addResources, NO_RESOURCES } from "../fleet/resources.ts";
import type { FleetState } from "./fleet_state.ts";
import { getCriticalPathMilliseconds } from "./critical_path.ts";
import { createAcceptedEntry, createDeletionEntries, createProgressEntry } from "./job_records.ts";
import { OccurrenceControl } from "./occurrence_control.ts";
import { ShareMeter } from "./share_meter.ts";
import type { RunControl } from "./run_control.ts";

/** A job submitted by a caller. */
export interface Submission {
  /** The id that the caller chose. */
  id: string;
  /** The name of the queue. */
  queue: string;
  /** The name of the customer; empty on a public queue without a key. */
  customer: string;
  /** What the job consists of. */
  specification: JobSpecification;
}

/** Counts of jobs that have not ended. */
export interface JobCounts {
  /** The jobs. */
  jobs: number;
  /** The jobs with a task whose start was ordered. */
  ordered: number;
  /** The jobs with a run that its executor has confirmed. */
  confirmed: number;
}

/** A job that is being stored. */
interface JobBeingStored {
  job: Job;
  /** Called once it is stored, or turns out not to be storable. */
  callbacks: { onAccepted: () => void; onRejected: () => void }[];
}

/** Accepts, cancels, schedules and expires jobs. */
export class JobControl {
  readonly #state: FleetState;
  readonly #runs: RunControl;
  /** The jobs that are being stored, by id. */
  readonly #accepting = new Map<string, JobBeingStored>();
  readonly #shares = ShareMeter.create();
  /** The callbacks of the cancellations that are being stored, by job id. */
  readonly #cancelling = new Map<string, (() => void)[]>();
  readonly #occurrences: OccurrenceControl;

  private constructor(state: FleetState, runs: RunControl) {
    this.#state = state;
    this.#runs = runs;
    this.#occurrences = OccurrenceControl.create(state);
  }

  /** Creates a `JobControl` that works on a fleet state. */
  static create(state: FleetState, runs: RunControl): JobControl {
    return new JobControl(state, runs);
  }

  /**
   * Stores a job and calls back when it is accepted, or rejected because it can't be stored; a known
   * job is accepted at once.
   */
  submit(submission: Submission, onAccepted: () => void, onRejected = () => {}): void {
    const state = this.#state;
    if (state.jobs.has(submission.id)) return onAccepted();
    const accepting = this.#accepting.get(submission.id);
    if (accepting !== undefined) {
      accepting.callbacks.push({ onAccepted, onRejected });
      return;
    }
    const callbacks = [{ onAccepted, onRejected }];
    const job = Job.create({ ...submission, acceptedAt: state.timeOfDay });
    this.#accepting.set(submission.id, { job, callbacks });
    state.jobMemory.update(job);
    // A later owner needs the queue to execute the job, even if operators have removed it since.
    const queue = state.createQueueEntry(job.queue);
    const entries = [createAcceptedEntry(job), ...(queue === undefined ? [] : [queue.entry])];
    state.ports.write(entries, () => {
      this.#accepting.delete(job.id);
      queue?.onStored();
      state.jobs.set(job.id, job);
      state.storeQueue(job.queue);
      this.#recordArrival(job);
      state.log("job-accepted", {
        request: job.id,
        queue: job.queue,
        customer: job.customer,
        steps: job.specification.steps.length,
        repeats: job.specification.repeats,
        beyondShare: job.exceedsFairShare,
        version: state.configuration.version,
      });
      this.#occurrences.addJob(job, TaskState.Waiting);
      this.#occurrences.addDueOf(job);
      for (const callback of callbacks) callback.onAccepted();
    }, () => {
      this.#accepting.delete(job.id);
      state.jobMemory.remove(job);
      queue?.onRejected();
      for (const callback of callbacks) callback.onRejected();
    });
  }

  /** Restores the jobs in the journal. */
  restore(jobs: readonly Job[]): void {
    const state = this.#state;
    for (const job of jobs) {
      state.jobs.set(job.id, job);
      job.outcomeKnownSince = state.now;
      // All jobs are counted before an occurrence is added to one of them.
      state.jobMemory.update(job);
    }
    for (const job of jobs) {
      if (job.outcome !== undefined) continue;
      for (const steps of job.occurrences.values()) {
        for (const step of steps) state.addIfReady(step);
      }
      this.#occurrences.addJob(job, TaskState.Unknown);
    }
    this.#occurrences.addDue();
  }

  /** Gets the state of a job as reported to callers, or undefined if the job is not known. */
  getState(id: string): JobState | undefined {
    return this.#state.jobs.get(id)?.getVisibleState();
  }

  /** Gets the figures for the metrics. */
  getSummary(): Readonly<Record<string, number>> {
    return this.#occurrences.getSummary();
  }

  /** Gets the customer of a job that is accepted or being stored, and so may run. */
  findCustomer(id: string): string | undefined {
    return (this.#state.jobs.get(id) ?? this.#accepting.get(id)?.job)?.customer;
  }

  /** Gets the number of a queue's jobs of which no task has started. */
  getQueuedJobCount(queue: string): number {
    let count = 0;
    for (const job of this.#state.jobs.values()) {
      if (job.queue === queue && job.getVisibleState() === JobState.Queued) count += 1;
    }
    return count;
  }

  /** Gets the counts for a single job: each is 0 or 1. */
  countJob(id: string): JobCounts {
    const job = this.#state.jobs.get(id);
    return countJobs(job === undefined ? [] : [job]);
  }

  /** Counts the jobs of a queue that have not ended. */
  countQueue(queue: string): JobCounts {
    return countJobs([...this.#state.jobs.values()].filter((job) => job.queue === queue));
  }

  /**
   * Cancels a job and calls back when the cancellation is stored. A job that is still being stored is
   * cancelled after that.
   */
  cancel(id: string, onCancelled: () => void): void {
    const state = this.#state;
    const accepting = this.#accepting.get(id);
    if (accepting !== undefined) {
      accepting.callbacks.push({
        onAccepted: () => this.cancel(id, onCancelled),
        onRejected: onCancelled,
      });
      return;
    }
    const job = state.jobs.get(id);
    if (job === undefined) return onCancelled();
    const pendingCallbacks = this.#cancelling.get(id);
    if (pendingCallbacks !== undefined) {
      pendingCallbacks.push(onCancelled);
      return;
    }
    if (job.outcome !== undefined && job.isOutcomeStored) return onCancelled();
    const callbacks = [onCancelled];
    this.#cancelling.set(id, callbacks);
    this.#runs.endJob(job, JobState.Cancelled, "cancelled by caller");
    state.changedJobs.delete(job);
    const entry = createProgressEntry(job, state.limits.jobLimits.maximumValueBytes);
    state.ports.write([entry], () => {
      job.isOutcomeStored = true;
      this.#cancelling.delete(id);
      for (const callback of callbacks) callback();
    });
  }

  /** Adds the occurrences that are due. */
  tick(): void {
    this.#occurrences.addDue();
  }

  /** Removes ended jobs whose retention period is over. */
  removeExpired(): void {
    const state = this.#state;
    // Uses the monotonic clock, since the time of day may step and differs between owners.
    const oldest = state.now - state.limits.retentionMilliseconds;
    for (const job of state.jobs.values()) {
      const isExpired = job.outcome !== undefined && job.isOutcomeStored &&
        job.outcomeKnownSince < oldest;
      if (!isExpired || [...job.getTasks()].some((task) => task.run !== undefined)) continue;
      state.jobs.delete(job.id);
      state.jobMemory.remove(job);
      state.ports.write(createDeletionEntries(job), () => {});
    }
  }

  /**
   * Counts a new job against its customer's fair share of recent arrivals, and adds its demand to the
   * arrival forecast.
   */
  #recordArrival(job: Job): void {
    const state = this.#state;
    const customer = state.configuration.customers.get(job.customer);
    if (customer !== undefined) {
      job.exceedsFairShare = this.#shares.exceedsFairShare(
        customer.name,
        customer.weight,
        state.now,
      );
    }
    const service = state.getService(job);
    if (service === undefined || job.specification.repeats > 0) return;
    const resourceMilliseconds = { ...NO_RESOURCES };
    for (const specification of job.specification.steps) {
      if (specification.isLasting) continue;
      const milliseconds = state.durationEstimator.estimateMilliseconds({ job, specification });
      addResources(resourceMilliseconds, specification.demand, specification.count * milliseconds);
    }
    const criticalPath = getCriticalPathMilliseconds(state.durationEstimator, job, 0);
    state.arrivals.add({
      service,
      resourceMilliseconds,
      criticalPathMilliseconds: criticalPath,
      now: state.now,
    });
    if (!state.features.anticipatesDemand) return;
    state.demandHistory.add(service, { at: state.now, resourceMilliseconds });
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
