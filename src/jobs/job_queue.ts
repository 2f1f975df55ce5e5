/** The decisions of the member that owns a queue, free of clocks and sockets. */

import type { Fleet } from "../records/fleet.ts";
import type { PublicationResult } from "../records/record_messages.ts";
import { type AttemptWatch, decideWatch, StopCause, WatchAction } from "./attempt_watch.ts";
import { AttemptWatches, getUsage, type WatchedAttempt } from "./attempt_watches.ts";
import { type JobData, JobTaskState } from "./job_data.ts";
import type { QueueEffect } from "./job_queue_messages.ts";
import { type AttemptEnd, AttemptResult, JobRecordKind } from "./job_record_data.ts";
import type { JobTimings } from "./job_timings.ts";
import type { ChooseWorker } from "./placement.ts";
import type { RankTeam } from "./queue_plan.ts";
import { OverrunMonitor } from "./overrun_monitor.ts";
import { QueuePublications } from "./queue_publications.ts";
import { StartPlanner } from "./start_planner.ts";
import { UsageEstimator } from "./usage_estimator.ts";
import { WorkerContacts } from "./worker_contacts.ts";
import { FAILED_JOB_LIMIT } from "./worker_fold.ts";
import type { AttemptId, WorkerCall, WorkerResult } from "./worker_protocol.ts";

/** The maximum number of ended attempts in one record. */
const MAXIMUM_ENDS_PER_RECORD = 200;

/** The maximum delay in detecting the end of an attempt, as a fraction of its run time. */
const END_DETECTION_DELAY_RATIO = 0.1;

/** The maximum time between two planning runs. */
const MAXIMUM_PLAN_INTERVAL_MILLISECONDS = 250;

/** Options of a `JobQueue`. */
export interface JobQueueOptions {
  /** The name of the queue. */
  queue: string;
  /** The author of its records, unique for each process and each take-over of the queue. */
  author: string;
  timings: JobTimings;
  /** Chooses the worker for one task. */
  chooseWorker: ChooseWorker;
  /** Orders the teams. */
  rankTeam: RankTeam;
}

/** The context of one step of the queue. */
export interface QueueStep {
  /** The latest state of the fleet. */
  fleet: Fleet;
  /** The monotonic time in milliseconds. */
  now: number;
  /** Whether this member's standing allows it to start work now. */
  isStartAllowed: boolean;
}

/** Schedules one queue: starts its tasks, renews their leases and publishes their ends. */
export class JobQueue {
  readonly #options: JobQueueOptions;
  readonly #watches = AttemptWatches.create();
  readonly #contacts: WorkerContacts;
  readonly #publications: QueuePublications;
  readonly #usage = UsageEstimator.create();
  readonly #startPlanner: StartPlanner;
  readonly #overrunMonitor: OverrunMonitor;
  #fleet: Fleet | undefined;
  #jobs: JobData[] = [];
  #hasLoadedUsage = false;
  #isPlanDue = true;
  #plannedAt = -Infinity;

  private constructor(options: JobQueueOptions) {
    const { queue, author, timings, chooseWorker, rankTeam } = options;
    this.#options = options;
    this.#contacts = WorkerContacts.create(timings);
    this.#publications = QueuePublications.create(author);
    this.#overrunMonitor = OverrunMonitor.create({ contacts: this.#contacts, usage: this.#usage });
    this.#startPlanner = StartPlanner.create({
      queue,
      timings,
      chooseWorker,
      rankTeam,
      contacts: this.#contacts,
      publications: this.#publications,
      usage: this.#usage,
    });
  }

  /** Creates the queue's decisions, with no information about its workers yet. */
  static create(options: JobQueueOptions): JobQueue {
    return new JobQueue(options);
  }

  /** Decides on the effects to carry out now. */
  step(step: QueueStep): QueueEffect[] {
    this.#publications.removeApplied(step.fleet.offset);
    if (step.fleet !== this.#fleet) this.#updateFleet(step);
    for (const watched of this.#watches.getAll()) requestStop(watched, step);
    const effects = this.#overrunMonitor.check(step.fleet, this.#watches.getByWorker(), step.now);
    effects.push(...this.#publishEnds());
    if (step.isStartAllowed && this.#beginPlanIfDue(step.now)) {
      effects.push(...this.#startPlanner.start(step, this.#jobs, [...this.#watches.getAll()]));
      effects.push(...this.#setWorkersAside(step));
    }
    effects.push(...this.#callAboutAttempts(step), ...this.#renew(step));
    return effects;
  }

  /** Handles the result of a call to a worker. */
  handleWorkerResult(worker: string, call: WorkerCall, result: WorkerResult, now: number): void {
    const names = getNames(call);
    if (call.kind !== "renew") this.#isPlanDue = true;
    const incarnation = result.outcome === "answered" ? result.answer.incarnation : undefined;
    this.#contacts.handleCallEnd(worker, call.kind, incarnation, now);
    for (const name of names) {
      const watch = this.#watches.getWatch(name);
      if (watch === undefined) continue;
      if (isAttemptCall(call)) watch.isCallInFlight = false;
      if (result.outcome === "failed") watch.failedAt = now;
    }
    if (result.outcome === "failed") return;
    this.#watches.applyAnswer(names, result.answer, now);
    this.#overrunMonitor.markReported(worker);
    if (call.kind === "start" || call.kind === "fence") this.#delayRetry(call, now);
  }

  /** Handles the result of publishing a record. */
  handlePublicationResult(recordId: string, result: PublicationResult): void {
    this.#isPlanDue = true;
    this.#publications.handleResult(recordId, result);
  }

  /** Gets the queue's part of the state dump. */
  getState(): unknown {
    return {
      attempts: this.#watches.getSize(),
      recordsInFlight: this.#publications.getSize(),
      workers: this.#contacts.getState(),
      learnedRatios: this.#usage.getState(),
      ...this.#startPlanner.getState(),
    };
  }

  /** Begins a plan after each change that may affect starts, and periodically without one. */
  #beginPlanIfDue(now: number): boolean {
    if (!this.#isPlanDue && now - this.#plannedAt < MAXIMUM_PLAN_INTERVAL_MILLISECONDS) {
      return false;
    }
    this.#isPlanDue = false;
    this.#plannedAt = now;
    return true;
  }

  #updateFleet({ fleet, now }: QueueStep): void {
    const { queue } = this.#options;
    this.#fleet = fleet;
    this.#isPlanDue = true;
    this.#jobs = [...fleet.tables.jobs.values()].filter((job) => job.queue === queue);
    const dropped = this.#watches.reconcile(this.#jobs, now);
    for (const watch of dropped) this.#addUsage(fleet, watch);
    if (this.#hasLoadedUsage) return;
    this.#hasLoadedUsage = true;
    for (const job of [...fleet.tables.endedJobs.values(), ...fleet.tables.jobs.values()]) {
      if (job.queue !== this.#options.queue) continue;
      for (const task of job.tasks) {
        if (task.state !== JobTaskState.Completed || task.used === undefined) continue;
        this.#usage.add(job.team, task, task.used);
      }
    }
  }

  #addUsage(fleet: Fleet, watch: AttemptWatch): void {
    const job = fleet.getJob(watch.jobId)?.getData();
    const task = job?.tasks[watch.task];
    if (job === undefined || task?.used === undefined) return;
    if (task.state === JobTaskState.Completed) this.#usage.add(job.team, task, task.used);
  }

  /** Delays the repetition of a call whose answer did not give a result. */
  #delayRetry(name: AttemptId, now: number): void {
    const watch = this.#watches.getWatch(name);
    if (watch !== undefined && watch.result === undefined) watch.failedAt = now;
  }

  #publishEnds(): QueueEffect[] {
    const ended = [...this.#watches.getAll()].filter(({ watch }) =>
      watch.result !== undefined && !this.#publications.isInFlight(watch.recordId)
    ).slice(0, MAXIMUM_ENDS_PER_RECORD);
    if (ended.length === 0) return [];
    this.#isPlanDue = true;
    const recordId = this.#publications.add();
    for (const { watch } of ended) watch.recordId = recordId;
    const body = { ends: ended.map(({ watch }) => createEnd(watch)) };
    return [{ kind: "publish", recordId, recordKind: JobRecordKind.AttemptEnded, body }];
  }

  #setWorkersAside({ fleet }: QueueStep): QueueEffect[] {
    return this.#startPlanner.chooseWorkersToSetAside(fleet, FAILED_JOB_LIMIT).map((
      worker,
    ) => ({
      kind: "publish",
      recordId: this.#publications.add(),
      recordKind: JobRecordKind.WorkerSetAside,
      body: { worker },
    }));
  }

  #callAboutAttempts(step: QueueStep): QueueEffect[] {
    const effects: QueueEffect[] = [];
    for (const watched of this.#watches.getAll()) {
      const { watch } = watched;
      const action = this.#decide(watch, step);
      if (action === WatchAction.MarkLost) watch.result = AttemptResult.Lost;
      const call = this.#createCall(watched, action);
      const address = step.fleet.getHost(watch.worker)?.getAddress();
      if (call === undefined || address === undefined) continue;
      watch.isCallInFlight = true;
      effects.push({ kind: "call", worker: watch.worker, address, call });
    }
    return effects;
  }

  #decide(watch: AttemptWatch, { fleet, now, isStartAllowed }: QueueStep): WatchAction {
    const { retryMilliseconds, workerTimeoutMilliseconds: timeout } = this.#options.timings;
    const isWorkerOpen = fleet.getHost(watch.worker)?.isSchedulable() === true;
    const times = { now, retryMilliseconds, workerTimeoutMilliseconds: timeout };
    return decideWatch({ watch, isStartAllowed, isWorkerAvailable: isWorkerOpen, ...times });
  }

  #createCall(
    { watch, job, running }: WatchedAttempt,
    action: WatchAction,
  ): WorkerCall | undefined {
    const { taskId, attempt, incarnation } = watch;
    if (action === WatchAction.Fence) return { kind: "fence", taskId, attempt };
    if (action === WatchAction.Stop) {
      return { kind: "stop", taskId, attempt, withCheckpoint: watch.stopCause === StopCause.Move };
    }
    if (action !== WatchAction.Start) return undefined;
    const { leaseMilliseconds } = this.#options.timings;
    const { checkpoint } = job.tasks[watch.task]!;
    const { reserved } = running;
    const { payload } = job;
    const name = { taskId, attempt, incarnation };
    return { kind: "start", ...name, leaseMilliseconds, reserved, payload, checkpoint };
  }

  /** The answer to a renewal reports ended attempts, so young attempts are renewed more often. */
  #getRenewalInterval(watched: readonly WatchedAttempt[], now: number): number {
    const youngest = Math.min(...watched.map(({ watch }) => now - watch.watchedSince));
    const { maximumRenewIntervalMilliseconds: maximum, minimumRenewIntervalMilliseconds: minimum } =
      this.#options.timings;
    const interval = youngest * END_DETECTION_DELAY_RATIO;
    return Math.min(maximum, Math.max(minimum, interval));
  }

  #renew({ fleet, now }: QueueStep): QueueEffect[] {
    const effects: QueueEffect[] = [];
    for (const [worker, watched] of this.#watches.getByWorker()) {
      const address = fleet.getHost(worker)?.getAddress();
      const interval = this.#getRenewalInterval(watched, now);
      if (address === undefined || !this.#contacts.isRenewalDue(worker, now, interval)) continue;
      const attempts = watched.filter(({ watch }) => watch.result === undefined)
        .map(({ watch: { taskId, attempt } }) => ({ taskId, attempt }));
      if (attempts.length === 0) continue;
      this.#contacts.startRenewal(worker, now);
      const { leaseMilliseconds } = this.#options.timings;
      const call: WorkerCall = { kind: "renew", attempts, leaseMilliseconds };
      effects.push({ kind: "call", worker, address, call });
    }
    return effects;
  }
}

/** Requests a stop if the job is stopping, or if the attempt can leave a worker closed to starts. */
function requestStop({ watch, job }: WatchedAttempt, { fleet }: QueueStep): void {
  if (job.stopReason !== undefined) watch.stopCause = StopCause.Cancel;
  if (watch.stopCause !== undefined || !watch.isIdempotent || watch.report === undefined) return;
  if (fleet.getHost(watch.worker)?.isSchedulable() !== true) watch.stopCause = StopCause.Move;
}

function createEnd(watch: AttemptWatch): AttemptEnd {
  const { jobId, task, attempt, result } = watch;
  const checkpoint = watch.report?.checkpoint;
  const used = getUsage(watch);
  return {
    jobId,
    task,
    attempt,
    result: result!,
    ...(checkpoint === undefined ? {} : { checkpoint }),
    ...(used === undefined ? {} : { used }),
  };
}

/** Gets whether a call is about one attempt, which has at most one such call in flight. */
function isAttemptCall(call: WorkerCall): boolean {
  return call.kind === "start" || call.kind === "fence" || call.kind === "stop";
}

function getNames(call: WorkerCall): readonly AttemptId[] {
  if (call.kind === "renew") return call.attempts;
  return call.kind === "status" ? [] : [{ taskId: call.taskId, attempt: call.attempt }];
}
