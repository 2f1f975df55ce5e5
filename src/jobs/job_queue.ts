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

/**
 * The maximum number of ended attempts that one step publishes in a record; below the limit of the
 * record's schema, `MAXIMUM_ENTRIES_PER_RECORD`.
 */
const MAXIMUM_ENDS_PER_STEP = 200;

/** The maximum delay in detecting the end of an attempt, as a fraction of its run time. */
const END_DETECTION_DELAY_RATIO = 0.1;

/** The maximum time between two planning runs. */
const MAXIMUM_PLAN_INTERVAL_MILLISECONDS = 250;

/** Options of a `JobQueue`. */
export interface JobQueueOptions {
  /** The name of the queue. */
  queue: string;
  /** The prefix of the ids of its records, unique for each process and take-over of the queue. */
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
  readonly #usageEstimator = UsageEstimator.create();
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
    this.#overrunMonitor = OverrunMonitor.create({
      contacts: this.#contacts,
      usage: this.#usageEstimator,
    });
    this.#startPlanner = StartPlanner.create({
      queue,
      timings,
      chooseWorker,
      rankTeam,
      contacts: this.#contacts,
      publications: this.#publications,
      usage: this.#usageEstimator,
    });
  }

  /** Creates the queue's decisions, with no information about its workers yet. */
  static create(options: JobQueueOptions): JobQueue {
    return new JobQueue(options);
  }

  /** Decides on the effects to carry out now. */
  step(context: QueueStep): QueueEffect[] {
    this.#publications.removeApplied(context.fleet.offset);
    if (context.fleet !== this.#fleet) this.#updateFleet(context);
    for (const watched of this.#watches.getAll()) requestStop(watched, context);
    const effects = this.#overrunMonitor.check(
      context.fleet,
      this.#watches.getByWorker(),
      context.now,
    );
    effects.push(...this.#publishEnds());
    if (context.isStartAllowed && this.#beginPlanIfDue(context.now)) {
      effects.push(...this.#startPlanner.start(context, this.#jobs, [...this.#watches.getAll()]));
      effects.push(...this.#setWorkersAside(context));
    }
    effects.push(...this.#callAboutAttempts(context), ...this.#renew(context));
    return effects;
  }

  /** Handles the result of a call to a worker. */
  handleWorkerResult(worker: string, call: WorkerCall, result: WorkerResult, now: number): void {
    const attemptIds = getAttemptIds(call);
    if (call.kind !== "renew") this.#isPlanDue = true;
    const incarnation = result.outcome === "answered" ? result.answer.incarnation : undefined;
    this.#contacts.handleCallEnd(worker, call.kind, incarnation, now);
    for (const attemptId of attemptIds) {
      const watch = this.#watches.getWatch(attemptId);
      if (watch === undefined) continue;
      if (isAttemptCall(call)) watch.isCallInFlight = false;
      if (result.outcome === "failed") watch.failedAt = now;
    }
    if (result.outcome === "failed") return;
    this.#watches.applyAnswer(attemptIds, result.answer, now);
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
      learnedRatios: this.#usageEstimator.getState(),
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
    const removed = this.#watches.reconcile(this.#jobs, now);
    for (const watch of removed) this.#addObservation(fleet, watch);
    if (this.#hasLoadedUsage) return;
    this.#hasLoadedUsage = true;
    for (const job of [...fleet.tables.endedJobs.values(), ...fleet.tables.jobs.values()]) {
      if (job.queue !== this.#options.queue) continue;
      for (const task of job.tasks) {
        if (task.state !== JobTaskState.Completed || task.used === undefined) continue;
        this.#usageEstimator.add(job.team, task, task.used);
      }
    }
  }

  #addObservation(fleet: Fleet, watch: AttemptWatch): void {
    const job = fleet.getJob(watch.jobId)?.getData();
    const task = job?.tasks[watch.task];
    if (job === undefined || task?.used === undefined) return;
    if (task.state === JobTaskState.Completed) this.#usageEstimator.add(job.team, task, task.used);
  }

  /** Delays the repetition of a call whose answer did not give a result. */
  #delayRetry(attemptId: AttemptId, now: number): void {
    const watch = this.#watches.getWatch(attemptId);
    if (watch !== undefined && watch.result === undefined) watch.failedAt = now;
  }

  #publishEnds(): QueueEffect[] {
    const ended = [...this.#watches.getAll()].filter(({ watch }) =>
      watch.result !== undefined && !this.#publications.isInFlight(watch.recordId)
    ).slice(0, MAXIMUM_ENDS_PER_STEP);
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

  #callAboutAttempts(context: QueueStep): QueueEffect[] {
    const effects: QueueEffect[] = [];
    for (const watched of this.#watches.getAll()) {
      const { watch } = watched;
      const action = this.#decide(watch, context);
      if (action === WatchAction.MarkLost) watch.result = AttemptResult.Lost;
      const call = this.#createCall(watched, action);
      const address = context.fleet.getHost(watch.worker)?.getAddress();
      if (call === undefined || address === undefined) continue;
      watch.isCallInFlight = true;
      effects.push({ kind: "call", worker: watch.worker, address, call });
    }
    return effects;
  }

  #decide(watch: AttemptWatch, { fleet, now, isStartAllowed }: QueueStep): WatchAction {
    const { retryMilliseconds, workerTimeoutMilliseconds } = this.#options.timings;
    const isWorkerAvailable = fleet.getHost(watch.worker)?.isSchedulable() === true;
    const times = { now, retryMilliseconds, workerTimeoutMilliseconds };
    return decideWatch({ watch, isStartAllowed, isWorkerAvailable, ...times });
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
    const identity = { taskId, attempt, incarnation };
    return { kind: "start", ...identity, leaseMilliseconds, reserved, payload, checkpoint };
  }

  /** The answer to a renewal reports ended attempts, so recent starts are renewed more often. */
  #getRenewalInterval(watched: readonly WatchedAttempt[], now: number): number {
    const newestAgeMilliseconds = Math.min(...watched.map(({ watch }) => now - watch.watchedSince));
    const { maximumRenewIntervalMilliseconds: maximum, minimumRenewIntervalMilliseconds: minimum } =
      this.#options.timings;
    const interval = newestAgeMilliseconds * END_DETECTION_DELAY_RATIO;
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

/** Requests a stop if the job is stopping, or if the attempt can leave a cordoned worker. */
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

function getAttemptIds(call: WorkerCall): readonly AttemptId[] {
  if (call.kind === "renew") return call.attempts;
  return call.kind === "status" ? [] : [{ taskId: call.taskId, attempt: call.attempt }];
}
