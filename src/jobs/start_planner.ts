/** Starts the tasks of one queue, and makes room for those that cannot wait. */

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

/** The most records that one step starts tasks by. */
const MOST_STARTS_PER_STEP = 128;

/** The most workers that one step asks for their status. */
const MOST_ASKED_PER_STEP = 64;

/** The most jobs for which one step makes room. */
const MOST_ROOMS_PER_STEP = 8;

/** Options of a `QueueStarter`. */
export interface StartPlannerOptions {
  /** The name of the queue. */
  queue: string;
  /** The times by which it acts. */
  timings: JobTimings;
  /** Chooses the worker for one task. */
  chooseWorker: ChooseWorker;
  /** Orders the teams. */
  rankTeam: RankTeam;
  /** What is known of the workers. */
  contacts: WorkerContacts;
  /** The records in flight. */
  publications: QueuePublications;
  /** What was learned of declared sizes and run times. */
  usage: UsageEstimator;
}

/** What a start begins from. */
export interface StartContext {
  /** The newest fleet. */
  fleet: Fleet;
  /** The elapsed milliseconds. */
  now: number;
}

interface Hold {
  jobId: string;
  until: number;
}

/** Owns the holds on workers and how long jobs have found no room. */
export class StartPlanner {
  readonly #options: StartPlannerOptions;
  readonly #holds = new Map<string, Hold>();
  readonly #blockedSince = new Map<string, number>();

  private constructor(options: StartPlannerOptions) {
    this.#options = options;
  }

  /** Creates the starter. */
  static create(options: StartPlannerOptions): StartPlanner {
    return new StartPlanner(options);
  }

  /** Decides what starts now, and what gives way to it. */
  start(
    step: StartContext,
    jobs: readonly JobData[],
    watched: readonly WatchedAttempt[],
  ): QueueEffect[] {
    const isWaiting = (job: JobData) => job.tasks.some((t) => t.state === JobTaskState.Waiting);
    if (!jobs.some(isWaiting)) return [];
    this.#dropHolds(step.now);
    const { queue, contacts, publications } = this.#options;
    const room = createQueueCapacity({ ...step, queue, contacts, publications, watched });
    const plan = planStarts({
      jobs,
      teams: room.teams,
      total: room.total,
      index: room.index,
      getReservation: (job, task) =>
        this.#options.usage.estimate({ team: job.team, task, largestWorker: room.largestWorker })
          .reservation,
      getRack: (worker) => room.racks.get(worker),
      getHolder: (worker) => this.#holds.get(worker)?.jobId,
      isPending: (jobId, task) => publications.isStartPending(jobId, task),
      chooseWorker: this.#options.chooseWorker,
      rankTeam: this.#options.rankTeam,
      maximumStarts: MOST_STARTS_PER_STEP,
    });
    this.#noteBlocked(plan.blocked, step.now);
    if (room.unconfirmed.length === 0) this.#makeRoom(step, jobs, watched, room, plan.blocked);
    const starts = plan.starts.map((start) => this.#publish(start, step));
    return [...starts, ...this.#askWorkers(step)];
  }

  /** Chooses the workers that several jobs failed on. */
  chooseWorkersToSetAside(fleet: Fleet, failedJobs: number): string[] {
    const { queue, publications } = this.#options;
    if (publications.getSize() > 0) return [];
    const isFailing = (host: Host) =>
      (fleet.getWorkerLoad(host.getName())?.failedJobs.length ?? 0) >= failedJobs;
    return getSchedulableWorkers(fleet, queue).filter(isFailing).map((host) => host.getName())
      .slice(0, 1);
  }

  /** Gets what the state dump shows. */
  getState(): Record<string, unknown> {
    return { blockedJobs: this.#blockedSince.size, heldWorkers: this.#holds.size };
  }

  #publish({ job, placed }: PlannedStart, { now }: StartContext): QueueEffect {
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

  #askWorkers({ fleet, now }: StartContext): QueueEffect[] {
    const { queue, contacts } = this.#options;
    const asked = getSchedulableWorkers(fleet, queue)
      .filter((host) => contacts.isStatusCallDue(host.getName(), now))
      .slice(0, MOST_ASKED_PER_STEP);
    return asked.map((host) => {
      contacts.startStatusCall(host.getName(), now);
      const call = { kind: "status" } as const;
      return { kind: "call", worker: host.getName(), address: host.getAddress(), call };
    });
  }

  #dropHolds(now: number): void {
    for (const [worker, hold] of this.#holds) {
      if (hold.until <= now) this.#holds.delete(worker);
    }
  }

  #noteBlocked(blocked: readonly BlockedJob[], now: number): void {
    const jobIds = new Set(blocked.map(({ job }) => job.jobId));
    for (const jobId of this.#blockedSince.keys()) {
      if (!jobIds.has(jobId)) this.#blockedSince.delete(jobId);
    }
    for (const jobId of jobIds) {
      if (!this.#blockedSince.has(jobId)) this.#blockedSince.set(jobId, now);
    }
  }

  #makeRoom(
    step: StartContext,
    jobs: readonly JobData[],
    watched: readonly WatchedAttempt[],
    room: QueueCapacity,
    blocked: readonly BlockedJob[],
  ): void {
    const held = new Set([...this.#holds.values()].map((hold) => hold.jobId));
    const chosen = blocked
      .filter(({ job }) => !held.has(job.jobId) && this.#mayTakeRoom(job, room, step.now))
      .slice(0, MOST_ROOMS_PER_STEP);
    if (chosen.length === 0) return;
    const borrowed = findBorrowedTasks(jobs, watched, room);
    for (const { job, tasks } of chosen) {
      if (!job.isUrgent) this.#blockedSince.set(job.jobId, step.now);
      const workers = this.#getWorkersWithTasks(watched, room, borrowed);
      const isBorrowedOnly = !job.isUrgent;
      const choices = choosePreemptions({
        tasks,
        workers,
        isBorrowedOnly,
        isPartialAllowed: !job.isGang,
      });
      const until = step.now + this.#options.timings.holdMilliseconds;
      const giving = new Set<string>();
      for (const choice of choices) {
        this.#holds.set(choice.worker, { jobId: job.jobId, until });
        for (const task of choice.preempted) giving.add(task.taskId);
      }
      for (const { watch } of watched) {
        if (giving.has(watch.taskId)) watch.stopCause = StopCause.Move;
      }
    }
  }

  /** An urgent job takes room at once; another after a wait, if its team has less than its share. */
  #mayTakeRoom(job: JobData, room: QueueCapacity, now: number): boolean {
    if (job.isUrgent) return true;
    const since = this.#blockedSince.get(job.jobId) ?? now;
    if (now - since < this.#options.timings.reclaimDelayMilliseconds) return false;
    const use = room.teams.get(job.team);
    if (use === undefined) return false;
    const sum = [...room.teams.values()].reduce((total, team) => total + team.share, 0);
    return getDominantShare(use.reserved, room.total) < use.share / sum;
  }

  #getWorkersWithTasks(
    watched: readonly WatchedAttempt[],
    room: QueueCapacity,
    borrowed: ReadonlySet<string>,
  ): PreemptionCandidate[] {
    const givingByWorker = new Map<string, PreemptibleTask[]>();
    for (const attempt of watched) {
      if (!isAbleToGive(attempt)) continue;
      const { worker } = attempt.watch;
      const giving = givingByWorker.get(worker) ?? [];
      giving.push(toGivingTask(attempt, borrowed));
      givingByWorker.set(worker, giving);
    }
    const workers: PreemptionCandidate[] = [];
    for (const free of room.index.getWorkers()) {
      if (this.#holds.has(free.worker)) continue;
      workers.push({ room: free, preemptible: givingByWorker.get(free.worker) ?? [] });
    }
    return workers;
  }
}

function findBorrowedTasks(
  jobs: readonly JobData[],
  watched: readonly WatchedAttempt[],
  room: QueueCapacity,
): Set<string> {
  const shares = new Map<string, number>();
  for (const { team } of jobs) shares.set(team, room.teams.get(team)?.share ?? 0);
  const running = watched.map(({ watch, job, running }) => ({
    taskId: watch.taskId,
    team: job.team,
    reserved: running.reserved,
    startedAt: running.startedAt,
  }));
  return findBorrowed({ running, shares, total: room.total });
}

function isAbleToGive({ watch, job }: WatchedAttempt): boolean {
  return watch.isIdempotent && !job.isUrgent && watch.stopCause === undefined &&
    watch.result === undefined && watch.report !== undefined;
}

function toGivingTask(
  { watch, job, running }: WatchedAttempt,
  borrowed: ReadonlySet<string>,
): PreemptibleTask {
  const unsaved = watch.report?.unsavedMilliseconds ?? 0;
  const together = job.isGang ? job.tasks.filter((task) => task.running !== undefined).length : 1;
  return {
    taskId: watch.taskId,
    team: job.team,
    reserved: running.reserved,
    isBorrowed: borrowed.has(watch.taskId),
    lossCoreMilliseconds: unsaved * running.reserved.cores * together,
  };
}
