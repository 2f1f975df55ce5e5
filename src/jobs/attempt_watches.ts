/** The attempts of one queue that run by the fold, as its owner follows them. */

import { type AttemptWatch, getResult } from "./attempt_watch.ts";
import { formatTaskId, type JobData, type RunningAttempt, type TaskUsage } from "./job_data.ts";
import { AttemptResult } from "./job_record_data.ts";
import type { AttemptId, AttemptReport, WorkerAnswer } from "./worker_protocol.ts";

/** A watched attempt with its rows in the fold. */
export interface WatchedAttempt {
  /** What is known of it. */
  watch: AttemptWatch;
  /** Its job. */
  job: JobData;
  /** Its row in the fold. */
  running: RunningAttempt;
}

/** Owns what is known of the attempts of one queue. */
export class AttemptWatches {
  readonly #watched = new Map<string, WatchedAttempt>();

  private constructor() {}

  /** Creates the watches, of which there are none. */
  static create(): AttemptWatches {
    return new AttemptWatches();
  }

  /** Follows the fold: gets the watches whose attempts have ended by it. */
  reconcile(jobs: readonly JobData[], now: number): AttemptWatch[] {
    const seen = new Set<string>();
    for (const job of jobs) {
      for (const [task, data] of job.tasks.entries()) {
        if (data.running === undefined) continue;
        const name = { taskId: formatTaskId(job.jobId, task), attempt: data.attempt };
        seen.add(getKey(name));
        this.#put(name, job, task, data.running, now);
      }
    }
    return this.#dropUnseen(seen);
  }

  /** Gets the watched attempts. */
  getAll(): Iterable<WatchedAttempt> {
    return this.#watched.values();
  }

  /** Gets the number of watched attempts. */
  getSize(): number {
    return this.#watched.size;
  }

  /** Gets the watch of an attempt. */
  getWatch(name: AttemptId): AttemptWatch | undefined {
    return this.#watched.get(getKey(name))?.watch;
  }

  /** Gets the watched attempts by worker. */
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

  /** Notes a worker's answer about some attempts. */
  applyAnswer(names: readonly AttemptId[], answer: WorkerAnswer, now: number): void {
    const reports = new Map(answer.reports.map((report) => [getKey(report), report]));
    for (const name of names) {
      const watch = this.getWatch(name);
      if (watch === undefined || watch.result !== undefined) continue;
      watch.answeredAt = now;
      watch.failedAt = undefined;
      if (answer.incarnation !== watch.incarnation) watch.result = AttemptResult.Lost;
      else noteReport(watch, reports.get(getKey(name)), now);
    }
  }

  #put(
    name: AttemptId,
    job: JobData,
    task: number,
    running: RunningAttempt,
    now: number,
  ): void {
    const known = this.#watched.get(getKey(name));
    const watch = known?.watch ?? createWatch(name, job, task, running, now);
    this.#watched.set(getKey(name), { watch, job, running });
  }

  #dropUnseen(seen: ReadonlySet<string>): AttemptWatch[] {
    const dropped: AttemptWatch[] = [];
    for (const [key, { watch }] of this.#watched) {
      if (seen.has(key)) continue;
      this.#watched.delete(key);
      dropped.push(watch);
    }
    return dropped;
  }
}

/** Gets what an attempt used, by its worker's newest report. */
export function getUsage(watch: AttemptWatch): TaskUsage | undefined {
  const usage = watch.report?.usage;
  if (usage === undefined) return undefined;
  const { cores, memoryGigabytes, runMilliseconds } = usage;
  return { cores, memoryGigabytes, runMilliseconds };
}

function noteReport(watch: AttemptWatch, report: AttemptReport | undefined, now: number): void {
  if (report === undefined) return;
  watch.report = report;
  watch.measuredAt = now - (report.usage?.measuredAgoMilliseconds ?? 0);
  watch.result = getResult(watch, report);
}

function createWatch(
  name: AttemptId,
  job: JobData,
  task: number,
  running: RunningAttempt,
  now: number,
): AttemptWatch {
  const { worker, incarnation } = running;
  return {
    ...name,
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

function getKey(name: AttemptId): string {
  return `${name.taskId}#${name.attempt}`;
}
