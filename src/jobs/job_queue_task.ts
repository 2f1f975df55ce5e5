/** Runs the queues that this member owns by rendezvous hashing over the roster. */

import type { MemberMessage, MemberProgress } from "../contracts/member_messages.ts";
import { getFirstByRendezvous } from "../contracts/rendezvous.ts";
import { getStandingAt, Standing, type StandingGrant } from "../contracts/standing.ts";
import type { EventLog } from "../events/mod.ts";
import type { Fleet } from "../records/fleet.ts";
import type { PublicationResult, RecordMessage } from "../records/record_messages.ts";
import { type Address, ask, type ElapsedClock, Task } from "../tasks/mod.ts";
import { JobQueue } from "./job_queue.ts";
import type {
  CallEffect,
  JobQueueMessage,
  PublishEffect,
  QueueEffect,
} from "./job_queue_messages.ts";
import type { JobTimings } from "./job_timings.ts";
import type { ChooseWorker } from "./placement.ts";
import type { RankTeam } from "./queue_plan.ts";
import type { CallWorker } from "./worker_protocol.ts";

/** The interval of steps that no change triggers. */
const STEP_INTERVAL_MILLISECONDS = 250;

/** The delay of a step after a change, so that one step covers the changes that follow. */
const STEP_DELAY_MILLISECONDS = 10;

/** The interval of checks for members that do not answer. */
const PROGRESS_INTERVAL_MILLISECONDS = 1_000;

/** The time without an answer from a member after which another takes over its queues. */
const MEMBER_TIMEOUT_MILLISECONDS = 3_000;

/** The time limit of one call to a worker. */
const CALL_TIMEOUT_MILLISECONDS = 2_000;

/** Options of a `JobQueueTask`. */
export interface JobQueueTaskOptions {
  /** The member id of this process. */
  memberId: string;
  /** The monotonic clock. */
  clock: ElapsedClock;
  /** The task that publishes records. */
  records: Address<RecordMessage>;
  /** The task that tracks the other members. */
  members: Address<MemberMessage>;
  /** Calls a worker. */
  callWorker: CallWorker;
  /** Chooses the worker for one task. */
  chooseWorker: ChooseWorker;
  /** Orders the teams. */
  rankTeam: RankTeam;
  timings: JobTimings;
  /** The event log. */
  eventLog: EventLog;
}

/** Owns the queues of this member, and performs the effects that they request. */
export class JobQueueTask extends Task<JobQueueMessage> {
  readonly #options: JobQueueTaskOptions;
  readonly #queues = new Map<string, JobQueue>();
  readonly #timers: NodeJS.Timeout[];
  readonly #unresponsive = new Set<string>();
  #fleet: Fleet | undefined;
  #grant: StandingGrant | undefined;
  #isStepScheduled = false;
  #stepTimer: NodeJS.Timeout | undefined;
  #takeOverCount = 0;

  private constructor(options: JobQueueTaskOptions) {
    super({ name: "job-queues" });
    this.#options = options;
    this.#timers = [
      setInterval(() => this.#postStep(), STEP_INTERVAL_MILLISECONDS),
      setInterval(() => this.#requestProgress(), PROGRESS_INTERVAL_MILLISECONDS),
    ];
  }

  /** Creates the task; it is inactive until it has the fleet and its member is in the roster. */
  static create(options: JobQueueTaskOptions): JobQueueTask {
    return new JobQueueTask(options);
  }

  protected override receive(message: JobQueueMessage): void {
    switch (message.kind) {
      case "fleet-changed":
        this.#fleet = message.fleet;
        return this.#postStep();
      case "standing-changed":
        this.#grant = message.grant;
        return;
      case "log-read":
        return;
      case "progress":
        return this.#noteProgress(message.members);
      case "published":
        this.#queues.get(message.queue)?.handlePublicationResult(message.recordId, message.result);
        return this.#postStep();
      case "worker-answered":
        return this.#handleAnswer(message);
      case "step":
        return this.#step();
    }
  }

  override getState(): unknown {
    return Object.fromEntries([...this.#queues].map(([name, queue]) => [name, queue.getState()]));
  }

  override stop(): void {
    super.stop();
    for (const timer of this.#timers) clearInterval(timer);
    clearTimeout(this.#stepTimer);
  }

  #requestProgress(): void {
    const reply = (members: MemberProgress[]) => void this.post({ kind: "progress", members });
    this.#options.members.post({ kind: "get-progress", reply });
  }

  #noteProgress(members: readonly MemberProgress[]): void {
    this.#unresponsive.clear();
    for (const { memberId, silentMilliseconds } of members) {
      if (silentMilliseconds > MEMBER_TIMEOUT_MILLISECONDS) this.#unresponsive.add(memberId);
    }
    this.#unresponsive.delete(this.#options.memberId);
  }

  /** Schedules a step, unless one is scheduled already. */
  #postStep(): void {
    if (this.#isStepScheduled) return;
    this.#isStepScheduled = true;
    this.#stepTimer = setTimeout(() => this.post({ kind: "step" }), STEP_DELAY_MILLISECONDS);
  }

  #handleAnswer(message: JobQueueMessage & { kind: "worker-answered" }): void {
    const { queue, worker, call, result } = message;
    if (result.outcome === "failed") {
      const { reason } = result;
      this.#options.eventLog("worker-call-failed", { queue, worker, call: call.kind, reason });
    }
    const now = this.#options.clock.getElapsed();
    this.#queues.get(queue)?.handleWorkerResult(worker, call, result, now);
    this.#postStep();
  }

  #step(): void {
    this.#isStepScheduled = false;
    const fleet = this.#fleet;
    if (fleet === undefined) return;
    this.#updateQueues(fleet);
    for (const [name, queue] of this.#queues) {
      const now = this.#options.clock.getElapsed();
      const isStartAllowed = getStandingAt(this.#grant, now) === Standing.Current;
      for (const effect of queue.step({ fleet, now, isStartAllowed })) this.#perform(name, effect);
    }
  }

  /**
   * Takes over the queues with jobs that rendezvous hashing assigns to this member, and drops the
   * others. A member that does not answer loses its queues before the roster removes it: two owners
   * of a queue for a while are harmless, a queue without an owner is not.
   */
  #updateQueues(fleet: Fleet): void {
    const members = fleet.getRoster().getMemberIds().filter((member) =>
      !this.#unresponsive.has(member)
    );
    const { memberId } = this.#options;
    const isOwn = (queue: string) => getFirstByRendezvous(`queue ${queue}`, members) === memberId;
    for (const name of this.#queues.keys()) {
      if (isOwn(name)) continue;
      this.#queues.delete(name);
      this.#options.eventLog("queue-given-up", { queue: name });
    }
    const active = new Set([...fleet.tables.jobs.values()].map((job) => job.queue));
    for (const name of active) {
      if (this.#queues.has(name) || !isOwn(name)) continue;
      this.#queues.set(name, this.#createQueue(name));
      this.#options.eventLog("queue-taken-over", { queue: name });
    }
  }

  /** The author of a queue's records is new at each take-over, which keeps record ids unique. */
  #createQueue(queue: string): JobQueue {
    this.#takeOverCount += 1;
    const { chooseWorker, rankTeam, timings } = this.#options;
    const author = `${this.#options.memberId}-${this.#takeOverCount}`;
    return JobQueue.create({ queue, author, chooseWorker, rankTeam, timings });
  }

  #perform(queue: string, effect: QueueEffect): void {
    if (effect.kind === "publish") void this.#publish(queue, effect);
    else void this.#call(queue, effect);
  }

  async #publish(queue: string, { recordId, recordKind, body }: PublishEffect): Promise<void> {
    const author = this.#options.memberId;
    const draft = { id: recordId, kind: recordKind, version: 1, author, body };
    const result = await ask<RecordMessage, PublicationResult>(
      this.#options.records,
      (reply) => ({ kind: "publish", draft, reply }),
      () => ({
        outcome: "unknown",
        reason: "the record task accepts no message: its mailbox is full or it has stopped",
      }),
    );
    this.post({ kind: "published", queue, recordId, result });
  }

  async #call(queue: string, { worker, address, call }: CallEffect): Promise<void> {
    const timeoutMilliseconds = CALL_TIMEOUT_MILLISECONDS;
    const result = await this.#options.callWorker({ address, call, timeoutMilliseconds });
    this.post({ kind: "worker-answered", queue, worker, call, result });
  }
}
