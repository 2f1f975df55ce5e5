/** Member of a job simulation: reads the log with a lag, and can be paused, disconnected and restarted. */

import { FRESHNESS_LIMIT_MILLISECONDS } from "../contracts/freshness.ts";
import { JobQueue } from "../jobs/job_queue.ts";
import type { CallEffect, PublishEffect, QueueEffect } from "../jobs/job_queue_messages.ts";
import type { JobTimings } from "../jobs/job_timings.ts";
import type { ChooseWorker } from "../jobs/placement.ts";
import type { RankTeam } from "../jobs/queue_plan.ts";
import { Fleet } from "../records/fleet.ts";
import type { PublicationResult } from "../records/record_messages.ts";
import type { JobSimulation } from "./job_simulation.ts";

/** Interval between reads of the log. */
const READ_INTERVAL_MILLISECONDS = 500;

/** Interval between steps when nothing changed. */
const STEP_INTERVAL_MILLISECONDS = 250;

/** How long changes are collected before a step acts on them. */
const STEP_DELAY_MILLISECONDS = 10;

/** Duration of an append and the read after it. */
const APPEND_MILLISECONDS = 20;

/** Timeout of a publication. */
const PUBLICATION_TIMEOUT_MILLISECONDS = 5_000;

/** Options for `JobSimulationMember`. */
export interface JobSimulationMemberOptions {
  /** The simulation. */
  run: JobSimulation;
  /** Name of the member; each process that it starts has an identity of its own. */
  memberId: string;
  /** Name of the queue. */
  queue: string;
  /** Chooses the worker for a task. */
  chooseWorker: ChooseWorker;
  /** Orders the teams. */
  rankTeam: RankTeam;
  /** Timings of the queue. */
  timings: JobTimings;
}

/** Owns the queue of one member and the fleet that it last read. */
export class JobSimulationMember {
  readonly #options: JobSimulationMemberOptions;
  #queue: JobQueue;
  #fleet = Fleet.createEmpty();
  #readAt = -Infinity;
  #pausedUntil = 0;
  #disconnectedUntil = 0;
  #isActing = false;
  #processCount = 0;
  #appendsUntil = 0;
  #isStepScheduled = false;
  #pausedEvents: (() => void)[] = [];

  private constructor(options: JobSimulationMemberOptions) {
    this.#options = options;
    this.#queue = this.#createQueue();
    const { schedule } = options.run;
    schedule.addRepeated(READ_INTERVAL_MILLISECONDS, () => this.#read());
    schedule.addRepeated(STEP_INTERVAL_MILLISECONDS, () => this.#deliver(() => this.#step()));
  }

  /** Creates a member that does not own the queue. */
  static create(options: JobSimulationMemberOptions): JobSimulationMember {
    return new JobSimulationMember(options);
  }

  /** Sets whether the member assumes that it owns the queue. */
  setIsOwner(isActing: boolean): void {
    if (isActing && !this.#isActing) this.#queue = this.#createQueue();
    this.#isActing = isActing;
  }

  /** Pauses the process; events are delivered after the pause. */
  pauseUntil(milliseconds: number): void {
    this.#pausedUntil = milliseconds;
  }

  /** Disconnects the member from the log. */
  disconnectUntil(milliseconds: number): void {
    this.#disconnectedUntil = milliseconds;
  }

  /** Replaces the process by one without state. */
  restart(isActing: boolean): void {
    this.#pausedEvents = [];
    this.#fleet = Fleet.createEmpty();
    this.#readAt = -Infinity;
    this.#queue = this.#createQueue();
    this.#isActing = isActing;
  }

  /** Schedules a read of the log, as after a relayed record. */
  scheduleRead(): void {
    this.#options.run.schedule.add(APPEND_MILLISECONDS, () => this.#read());
  }

  #createQueue(): JobQueue {
    this.#processCount += 1;
    const { memberId, ...rest } = this.#options;
    return JobQueue.create({ ...rest, author: `${memberId}-${this.#processCount}` });
  }

  /** Handles an event now, or after the pause. */
  #deliver(event: () => void): void {
    const { schedule } = this.#options.run;
    if (schedule.getNow() >= this.#pausedUntil) return event();
    if (this.#pausedEvents.length === 0) {
      const remaining = this.#pausedUntil - schedule.getNow();
      schedule.add(remaining, () => {
        const events = this.#pausedEvents;
        this.#pausedEvents = [];
        for (const pending of events) this.#deliver(pending);
      });
    }
    this.#pausedEvents.push(event);
  }

  #read(): void {
    const { run } = this.#options;
    const now = run.schedule.getNow();
    if (now < this.#disconnectedUntil || now < this.#pausedUntil) return;
    this.#readAt = now;
    const fleet = run.log.getFleet();
    if (fleet.offset <= this.#fleet.offset) return;
    this.#fleet = fleet;
    this.#scheduleStep();
  }

  /** Schedules one step for all changes that arrive until then. */
  #scheduleStep(): void {
    if (this.#isStepScheduled) return;
    this.#isStepScheduled = true;
    this.#options.run.schedule.add(STEP_DELAY_MILLISECONDS, () => {
      this.#isStepScheduled = false;
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
        if (queue === this.#queue) this.#scheduleStep();
      }));
  }

  /** Draws an append delay such that the member's records reach the log in order of publication. */
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
    let isDone = false;
    const complete = (result: PublicationResult) => {
      if (isDone) return;
      isDone = true;
      this.#deliver(() => queue.handlePublicationResult(recordId, result));
    };
    schedule.add(
      PUBLICATION_TIMEOUT_MILLISECONDS,
      () => complete({ outcome: "unknown", reason: "no verdict in time" }),
    );
    if (schedule.getNow() < this.#disconnectedUntil) return;
    const isAcknowledgementLost = !run.isNetworkReliable && run.draw(0, 9) === 0;
    schedule.add(this.#drawAppendDelay(), () => {
      const appended = run.log.append(draft);
      if (isAcknowledgementLost) {
        if (run.draw(0, 1) === 0) run.log.append(draft);
        return;
      }
      schedule.add(APPEND_MILLISECONDS / 2, () => {
        complete({ outcome: "judged", ...appended });
        this.#read();
      });
    });
  }
}
