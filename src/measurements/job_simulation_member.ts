/** A member of a virtual run: it sees the log with a lag, may be paused, cut off and replaced. */

import { FRESHNESS_LIMIT_MILLISECONDS } from "../contracts/freshness.ts";
import { JobQueue } from "../jobs/job_queue.ts";
import type { CallEffect, PublishEffect, QueueEffect } from "../jobs/job_queue_messages.ts";
import type { JobTimings } from "../jobs/job_timings.ts";
import type { ChooseWorker } from "../jobs/placement.ts";
import type { RankTeam } from "../jobs/queue_plan.ts";
import { Fleet } from "../records/fleet.ts";
import type { PublicationResult } from "../records/record_messages.ts";
import type { JobSimulation } from "./job_simulation.ts";

/** The time between two reads of the log. */
const READ_INTERVAL_MILLISECONDS = 500;

/** The time between two steps without news. */
const STEP_INTERVAL_MILLISECONDS = 250;

/** How long news gathers before one step acts on it. */
const STEP_GATHER_MILLISECONDS = 10;

/** The time of an append and the read after it. */
const APPEND_MILLISECONDS = 20;

/** How long a publication waits for its verdict. */
const PUBLICATION_TIMEOUT_MILLISECONDS = 5_000;

/** Options of a `JobRunMember`. */
export interface JobSimulationMemberOptions {
  /** The run. */
  run: JobSimulation;
  /** The name of the member; each process has its own identity. */
  memberId: string;
  /** The queue. */
  queue: string;
  /** Chooses the worker for one task. */
  chooseWorker: ChooseWorker;
  /** Orders the teams. */
  rankTeam: RankTeam;
  /** The times by which it acts. */
  timings: JobTimings;
}

/** Owns the decisions of one member and what it sees. */
export class JobSimulationMember {
  readonly #options: JobSimulationMemberOptions;
  #queue: JobQueue;
  #fleet = Fleet.createEmpty();
  #readAt = -Infinity;
  #pausedUntil = 0;
  #cutUntil = 0;
  #isActing = false;
  #processes = 0;
  #appendsUntil = 0;
  #isStepDue = false;
  #waiting: (() => void)[] = [];

  private constructor(options: JobSimulationMemberOptions) {
    this.#options = options;
    this.#queue = this.#createQueue();
    const { schedule } = options.run;
    schedule.addRepeated(READ_INTERVAL_MILLISECONDS, () => this.#read());
    schedule.addRepeated(STEP_INTERVAL_MILLISECONDS, () => this.#deliver(() => this.#step()));
  }

  /** Creates the member, which does not act for the queue yet. */
  static create(options: JobSimulationMemberOptions): JobSimulationMember {
    return new JobSimulationMember(options);
  }

  /** Sets whether the member believes that it acts for the queue. */
  setIsOwner(isActing: boolean): void {
    if (isActing && !this.#isActing) this.#queue = this.#createQueue();
    this.#isActing = isActing;
  }

  /** Pauses the process: what reaches it meanwhile waits. */
  pauseUntil(milliseconds: number): void {
    this.#pausedUntil = milliseconds;
  }

  /** Cuts the member off from the log. */
  disconnectUntil(milliseconds: number): void {
    this.#cutUntil = milliseconds;
  }

  /** Replaces the process by one that knows nothing. */
  restart(isActing: boolean): void {
    this.#waiting = [];
    this.#fleet = Fleet.createEmpty();
    this.#readAt = -Infinity;
    this.#queue = this.#createQueue();
    this.#isActing = isActing;
  }

  /** Sees what was appended, as after a relayed record. */
  scheduleRead(): void {
    this.#options.run.schedule.add(APPEND_MILLISECONDS, () => this.#read());
  }

  #createQueue(): JobQueue {
    this.#processes += 1;
    const { memberId, ...rest } = this.#options;
    return JobQueue.create({ ...rest, author: `${memberId}-${this.#processes}` });
  }

  /** Handles something now, or after the pause. */
  #deliver(event: () => void): void {
    const { schedule } = this.#options.run;
    if (schedule.getNow() >= this.#pausedUntil) return event();
    if (this.#waiting.length === 0) {
      const rest = this.#pausedUntil - schedule.getNow();
      schedule.add(rest, () => {
        const waiting = this.#waiting;
        this.#waiting = [];
        for (const late of waiting) this.#deliver(late);
      });
    }
    this.#waiting.push(event);
  }

  #read(): void {
    const { run } = this.#options;
    const now = run.schedule.getNow();
    if (now < this.#cutUntil || now < this.#pausedUntil) return;
    this.#readAt = now;
    const fleet = run.log.getFleet();
    if (fleet.offset <= this.#fleet.offset) return;
    this.#fleet = fleet;
    this.#stepSoon();
  }

  /** Acts once on the news that gathers. */
  #stepSoon(): void {
    if (this.#isStepDue) return;
    this.#isStepDue = true;
    this.#options.run.schedule.add(STEP_GATHER_MILLISECONDS, () => {
      this.#isStepDue = false;
      this.#deliver(() => this.#step());
    });
  }

  #step(): void {
    if (!this.#isActing || this.#fleet.offset < 0) return;
    const now = this.#options.run.schedule.getNow();
    const isStartAllowed = now - this.#readAt < FRESHNESS_LIMIT_MILLISECONDS;
    const effects = this.#queue.step({ fleet: this.#fleet, now, isStartAllowed });
    for (const effect of effects) this.#perform(effect);
  }

  #perform(effect: QueueEffect): void {
    if (effect.kind === "publish") this.#publish(effect);
    else this.#call(effect);
  }

  #call({ worker, call }: CallEffect): void {
    const { run } = this.#options;
    const queue = this.#queue;
    run.workers.get(worker)?.call(call, (result) =>
      this.#deliver(() => {
        queue.handleWorkerResult(worker, call, result, run.schedule.getNow());
        if (queue === this.#queue) this.#stepSoon();
      }));
  }

  /** The records of one member reach the log in the order in which it published them. */
  #drawAppendDelay(): number {
    const { run } = this.#options;
    const now = run.schedule.getNow();
    const delay = run.isNetworkReliable ? APPEND_MILLISECONDS / 2 : run.draw(5, 200);
    this.#appendsUntil = Math.max(this.#appendsUntil, now + delay);
    return this.#appendsUntil - now;
  }

  #publish({ recordId, recordKind, body }: PublishEffect): void {
    const { run, memberId } = this.#options;
    const { schedule } = run;
    const queue = this.#queue;
    const draft = { id: recordId, kind: recordKind, version: 1, author: memberId, body };
    let isOver = false;
    const settle = (result: PublicationResult) => {
      if (isOver) return;
      isOver = true;
      this.#deliver(() => queue.handlePublicationResult(recordId, result));
    };
    schedule.add(
      PUBLICATION_TIMEOUT_MILLISECONDS,
      () => settle({ outcome: "unknown", reason: "no verdict in time" }),
    );
    if (schedule.getNow() < this.#cutUntil) return;
    const isAnswerLost = !run.isNetworkReliable && run.draw(0, 9) === 0;
    schedule.add(this.#drawAppendDelay(), () => {
      const appended = run.log.append(draft);
      if (isAnswerLost) {
        if (run.draw(0, 1) === 0) run.log.append(draft);
        return;
      }
      schedule.add(APPEND_MILLISECONDS / 2, () => {
        settle({ outcome: "judged", ...appended });
        this.#read();
      });
    });
  }
}
