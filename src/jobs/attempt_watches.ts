/** The running attempts of one queue, as its owner watches them. */

import { type AttemptWatch, getResult } from "./attempt_watch.ts";
import { formatTaskId, type JobData, type RunningAttempt, type TaskUsage } from "./job_data.ts";
import { AttemptResult } from "./job_record_data.ts";
import type { AttemptId, AttemptReport, WorkerAnswer } from "./worker_protocol.ts";

/** A watched attempt with its job's and its own row in the fleet. */
export interface WatchedAttempt {
  /** The owner's view of it. */
  watch: AttemptWatch;
  job: JobData;
  /** The attempt's row in the fleet. */
  running: RunningAttempt;
}

/** Owns the watches of the running attempts of one queue. */
export class AttemptWatches {
  readonly #watched = new Map<string, WatchedAttempt>();

  private constructor() {}

  /** Creates an empty set of watches. */
  static create(): AttemptWatches {
    return new AttemptWatches();
  }

  /** Adds and removes watches to match the jobs in the fleet, and gets the removed ones. */
  reconcile(jobs: readonly JobData[], now: number): AttemptWatch[] {
    const seen = new Set<string>();
    for (const job of jobs) {
      for (const [task, data] of job.tasks.entries()) {
        if (data.running === undefined) continue;
        const id = { taskId: formatTaskId(job.jobId, task), attempt: data.attempt };
        seen.add(getKey(id));
        this.#put(id, job, task, data.running, now);
      }
    }
    return this.#removeUnseen(seen);
  }

  /** Gets all watched attempts. */
  getAll(): Iterable<WatchedAttempt> {
    return this.#watched.values();
  }

  /** Gets the number of watched attempts. */
  getSize(): number {
    return this.#watched.size;
  }

  /** Gets the watch of an attempt, or undefined if the attempt is not watched. */
  getWatch(id: AttemptId): AttemptWatch | undefined {
    return this.#watched.get(getKey(id))?.watch;
  }

  /** Groups the watched attempts by worker. */
  getByWorker(): Map<string, WatchedAttempt[]> {
    const byWorker = new Map<string, WatchedAttempt[]>();
    for (const watched of this.#watched.values()) {
      const { worker } = watched.watch;
      const list = byWorker.get(worker);
      if (list === undefined) byWorker.set(worker, [watched]);
      else list.push(watched);
    }
    return byWorker;
  }

  /** Applies a worker's answer to the watches of the given attempts. */
  applyAnswer(ids: readonly AttemptId[], answer: WorkerAnswer, now: number): void {
    const reports = new Map(answer.reports.map((report) => [getKey(report), report]));
    for (const id of ids) {
      const watch = this.getWatch(id);
      if (watch === undefined || watch.result !== undefined) continue;
      watch.answeredAt = now;
      watch.failedAt = undefined;
      if (answer.incarnation !== watch.incarnation) watch.result = AttemptResult.Lost;
      else applyReport(watch, reports.get(getKey(id)), now);
    }
  }

  #put(
    id: AttemptId,
    job: JobData,
    task: number,
    running: RunningAttempt,
    now: number,
  ): void {
    const known = this.#watched.get(getKey(id));
    const watch = known?.watch ?? createWatch(id, job, task, running, now);
    this.#watched.set(getKey(id), { watch, job, running });
  }

  #removeUnseen(seen: ReadonlySet<string>): AttemptWatch[] {
    const removed: AttemptWatch[] = [];
    for (const [key, { watch }] of this.#watched) {
      if (seen.has(key)) continue;
      this.#watched.delete(key);
      removed.push(watch);
    }
    return removed;
  }
}

/** Gets the resource usage in the worker's latest report on an attempt. */
export function getUsage(watch: AttemptWatch): TaskUsage | undefined {
  const usage = watch.report?.usage;
  if (usage === undefined) return undefined;
  const { cores, memoryGigabytes, runMilliseconds } = usage;
  return { cores, memoryGigabytes, runMilliseconds };
}

function applyReport(watch: AttemptWatch, report: AttemptReport | undefined, now: number): void {
  if (report === undefined) return;
  watch.report = report;
  watch.measuredAt = now - (report.usage?.measuredAgoMilliseconds ?? 0);
  watch.result = getResult(watch, report);
}

function createWatch(
  id: AttemptId,
  job: JobData,
  task: number,
  running: RunningAttempt,
  now: number,
): AttemptWatch {
  const { worker, incarnation } = running;
  return {
    ...id,
    jobId: job.jobId,
    task,
    worker,
    incarnation,
    isIdempotent: job.isIdempotent,
    watchedSince: now,
    answeredAt: now,
    isCallInFlight: false,
    failedAt: undefined,
    report: undefined,
    measuredAt: now,
    stopCause: undefined,
    result: undefined,
    recordId: undefined,
    throttledAt: undefined,
  };
}

function getKey(id: AttemptId): string {
  return `${id.taskId}#${id.attempt}`;
}
