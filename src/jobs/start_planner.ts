/**
 * Decides what one step of a queue does to start tasks: it publishes the planned starts, preempts
 * tasks for blocked jobs, and asks workers for their status.
 */

import type { Host } from "../machines/host.ts";
import type { Fleet } from "../records/fleet.ts";
import { StopCause } from "./attempt_watch.ts";
import type { WatchedAttempt } from "./attempt_watches.ts";
import { type JobData, JobTaskState } from "./job_data.ts";
import type { QueueEffect } from "./job_queue_messages.ts";
import { type AttemptStartedBody, JobRecordKind } from "./job_record_data.ts";
import type { JobTimings } from "./job_timings.ts";
import {
  choosePreemptions,
  findBorrowed,
  type PreemptibleTask,
  type PreemptionCandidate,
} from "./preemption.ts";
import type { ChooseWorker } from "./placement.ts";
import { type BlockedJob, type PlannedStart, planStarts, type RankTeam } from "./queue_plan.ts";
import type { QueuePublications } from "./queue_publications.ts";
import {
  createQueueCapacity,
  getSchedulableWorkers,
  type QueueCapacity,
} from "./queue_capacity.ts";
import { getDominantShare } from "./task_size.ts";
import type { UsageEstimator } from "./usage_estimator.ts";
import type { WorkerContacts } from "./worker_contacts.ts";

/** The maximum number of start records published in one step. */
const MAXIMUM_STARTS_PER_STEP = 128;

/** The maximum number of status calls to workers in one step. */
const MAXIMUM_STATUS_CALLS_PER_STEP = 64;

/** The maximum number of jobs for which one step preempts tasks. */
const MAXIMUM_PREEMPTING_JOBS_PER_STEP = 8;

/** Options of a `StartPlanner`. */
export interface StartPlannerOptions {
  /** The name of the queue. */
  queue: string;
  timings: JobTimings;
  /** Chooses the worker for one task. */
  chooseWorker: ChooseWorker;
  /** Orders the teams. */
  rankTeam: RankTeam;
  /** The contacts with the workers. */
  contacts: WorkerContacts;
  /** The records in flight. */
  publications: QueuePublications;
  /** The estimates of resource usage and run times. */
  usage: UsageEstimator;
}

/** The context of a plan. */
export interface PlanContext {
  /** The latest state of the fleet. */
  fleet: Fleet;
  /** The monotonic time in milliseconds. */
  now: number;
}

/** A worker whose free capacity only one job may use until a time. */
interface Hold {
  jobId: string;
  until: number;
}

/** Tracks the holds on workers, and since when jobs have been blocked. */
export class StartPlanner {
  readonly #options: StartPlannerOptions;
  readonly #holds = new Map<string, Hold>();
  readonly #blockedSince = new Map<string, number>();

  private constructor(options: StartPlannerOptions) {
    this.#options = options;
  }

  static create(options: StartPlannerOptions): StartPlanner {
    return new StartPlanner(options);
  }

  /** Decides which tasks start now, and requests the stop of tasks that are preempted. */
  start(
    step: PlanContext,
    jobs: readonly JobData[],
    watched: readonly WatchedAttempt[],
  ): QueueEffect[] {
    const isWaiting = (job: JobData) => job.tasks.some((t) => t.state === JobTaskState.Waiting);
    if (!jobs.some(isWaiting)) return [];
    this.#removeExpiredHolds(step.now);
    const { queue, contacts, publications } = this.#options;
    const capacity = createQueueCapacity({ ...step, queue, contacts, publications, watched });
    const plan = planStarts({
      jobs,
      teams: capacity.teams,
      total: capacity.total,
      index: capacity.index,
      getReservation: (job, task) =>
        this.#options.usage.estimate({
          team: job.team,
          task,
          largestWorker: capacity.largestWorker,
        }).reservation,
      getRack: (worker) => capacity.racks.get(worker),
      getHolder: (worker) => this.#holds.get(worker)?.jobId,
      isPending: (jobId, task) => publications.isStartPending(jobId, task),
      chooseWorker: this.#options.chooseWorker,
      rankTeam: this.#options.rankTeam,
      maximumStarts: MAXIMUM_STARTS_PER_STEP,
    });
    this.#updateBlocked(plan.blocked, step.now);
    if (capacity.unconfirmed.length === 0) {
      this.#preempt(step, jobs, watched, capacity, plan.blocked);
    }
    const starts = plan.starts.map((start) => this.#publish(start, step));
    return [...starts, ...this.#requestStatus(step)];
  }

  /** Chooses a worker on which several jobs failed, once no record is in flight. */
  chooseWorkersToSetAside(fleet: Fleet, failedJobs: number): string[] {
    const { queue, publications } = this.#options;
    if (publications.getSize() > 0) return [];
    const isFailing = (host: Host) =>
      (fleet.getWorkerLoad(host.getName())?.failedJobs.length ?? 0) >= failedJobs;
    return getSchedulableWorkers(fleet, queue).filter(isFailing).map((host) => host.getName())
      .slice(0, 1);
  }

  /** Gets its part of the state dump. */
  getState(): Record<string, unknown> {
    return { blockedJobs: this.#blockedSince.size, heldWorkers: this.#holds.size };
  }

  #publish({ job, placed }: PlannedStart, { now }: PlanContext): QueueEffect {
    const { publications, contacts } = this.#options;
    const recordId = publications.add();
    publications.addPendingStart({ recordId, jobId: job.jobId, team: job.team, placed });
    const body: AttemptStartedBody = {
      jobId: job.jobId,
      starts: placed.map(({ task, worker, size }) => ({
        task,
        attempt: job.tasks[task]!.attempt + 1,
        worker,
        incarnation: contacts.getIncarnation(worker, now)!,
        reserved: size,
      })),
    };
    return { kind: "publish", recordId, recordKind: JobRecordKind.AttemptStarted, body };
  }

  #requestStatus({ fleet, now }: PlanContext): QueueEffect[] {
    const { queue, contacts } = this.#options;
    const asked = getSchedulableWorkers(fleet, queue)
      .filter((host) => contacts.isStatusCallDue(host.getName(), now))
      .slice(0, MAXIMUM_STATUS_CALLS_PER_STEP);
    return asked.map((host) => {
      contacts.startStatusCall(host.getName(), now);
      const call = { kind: "status" } as const;
      return { kind: "call", worker: host.getName(), address: host.getAddress(), call };
    });
  }

  #removeExpiredHolds(now: number): void {
    for (const [worker, hold] of this.#holds) {
      if (hold.until <= now) this.#holds.delete(worker);
    }
  }

  #updateBlocked(blocked: readonly BlockedJob[], now: number): void {
    const jobIds = new Set(blocked.map(({ job }) => job.jobId));
    for (const jobId of this.#blockedSince.keys()) {
      if (!jobIds.has(jobId)) this.#blockedSince.delete(jobId);
    }
    for (const jobId of jobIds) {
      if (!this.#blockedSince.has(jobId)) this.#blockedSince.set(jobId, now);
    }
  }

  #preempt(
    step: PlanContext,
    jobs: readonly JobData[],
    watched: readonly WatchedAttempt[],
    capacity: QueueCapacity,
    blocked: readonly BlockedJob[],
  ): void {
    const held = new Set([...this.#holds.values()].map((hold) => hold.jobId));
    const chosen = blocked
      .filter(({ job }) => !held.has(job.jobId) && this.#mayPreempt(job, capacity, step.now))
      .slice(0, MAXIMUM_PREEMPTING_JOBS_PER_STEP);
    if (chosen.length === 0) return;
    const borrowed = findBorrowedTasks(jobs, watched, capacity);
    for (const { job, tasks } of chosen) {
      if (!job.isUrgent) this.#blockedSince.set(job.jobId, step.now);
      const workers = this.#getCandidates(watched, capacity, borrowed);
      const isBorrowedOnly = !job.isUrgent;
      const preemptions = choosePreemptions({
        tasks,
        workers,
        isBorrowedOnly,
        isPartialAllowed: !job.isGang,
      });
      const until = step.now + this.#options.timings.holdMilliseconds;
      const preempted = new Set<string>();
      for (const preemption of preemptions) {
        this.#holds.set(preemption.worker, { jobId: job.jobId, until });
        for (const task of preemption.preempted) preempted.add(task.taskId);
      }
      for (const { watch } of watched) {
        if (preempted.has(watch.taskId)) watch.stopCause = StopCause.Move;
      }
    }
  }

  /** An urgent job may preempt at once, any other after a delay if its team is below its share. */
  #mayPreempt(job: JobData, capacity: QueueCapacity, now: number): boolean {
    if (job.isUrgent) return true;
    const since = this.#blockedSince.get(job.jobId) ?? now;
    if (now - since < this.#options.timings.reclaimDelayMilliseconds) return false;
    const usage = capacity.teams.get(job.team);
    if (usage === undefined) return false;
    const sum = [...capacity.teams.values()].reduce((total, team) => total + team.share, 0);
    return getDominantShare(usage.reserved, capacity.total) < usage.share / sum;
  }

  #getCandidates(
    watched: readonly WatchedAttempt[],
    capacity: QueueCapacity,
    borrowed: ReadonlySet<string>,
  ): PreemptionCandidate[] {
    const preemptibleByWorker = new Map<string, PreemptibleTask[]>();
    for (const attempt of watched) {
      if (!isPreemptible(attempt)) continue;
      const { worker } = attempt.watch;
      const preemptible = preemptibleByWorker.get(worker) ?? [];
      preemptible.push(toPreemptibleTask(attempt, borrowed));
      preemptibleByWorker.set(worker, preemptible);
    }
    const candidates: PreemptionCandidate[] = [];
    for (const room of capacity.index.getWorkers()) {
      if (this.#holds.has(room.worker)) continue;
      candidates.push({ room, preemptible: preemptibleByWorker.get(room.worker) ?? [] });
    }
    return candidates;
  }
}

function findBorrowedTasks(
  jobs: readonly JobData[],
  watched: readonly WatchedAttempt[],
  capacity: QueueCapacity,
): Set<string> {
  const shares = new Map<string, number>();
  for (const { team } of jobs) shares.set(team, capacity.teams.get(team)?.share ?? 0);
  const running = watched.map(({ watch, job, running }) => ({
    taskId: watch.taskId,
    team: job.team,
    reserved: running.reserved,
    startedAt: running.startedAt,
  }));
  return findBorrowed({ running, weights: shares, total: capacity.total });
}

function isPreemptible({ watch, job }: WatchedAttempt): boolean {
  return watch.isIdempotent && !job.isUrgent && watch.stopCause === undefined &&
    watch.result === undefined && watch.report !== undefined;
}

function toPreemptibleTask(
  { watch, job, running }: WatchedAttempt,
  borrowed: ReadonlySet<string>,
): PreemptibleTask {
  const unsaved = watch.report?.unsavedMilliseconds ?? 0;
  const stoppedTasks = job.isGang
    ? job.tasks.filter((task) => task.running !== undefined).length
    : 1;
  return {
    taskId: watch.taskId,
    team: job.team,
    reserved: running.reserved,
    isBorrowed: borrowed.has(watch.taskId),
    lossCoreMilliseconds: unsaved * running.reserved.cores * stoppedTasks,
  };
}
