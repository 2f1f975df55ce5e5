/** Acts for the queues whose owner this member is by rendezvous hashing over the roster. */

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

/** The time between two steps without news. */
const TICK_MILLISECONDS = 250;

/** How long news gathers before one step acts on it. */
const STEP_GATHER_MILLISECONDS = 10;

/** The time between two looks at which members were heard. */
const PROGRESS_MILLISECONDS = 1_000;

/** How long a member is silent before another acts for its queues. */
const SILENT_MEMBER_MILLISECONDS = 3_000;

/** The longest exchange with a worker. */
const CALL_TIMEOUT_MILLISECONDS = 2_000;

/** Options of a `JobQueueTask`. */
export interface JobQueueTaskOptions {
  /** The identity of this process. */
  memberId: string;
  /** The clock of elapsed time. */
  clock: ElapsedClock;
  /** The record task. */
  records: Address<RecordMessage>;
  /** The member task. */
  members: Address<MemberMessage>;
  /** Calls a worker. */
  callWorker: CallWorker;
  /** Chooses the worker for one task. */
  chooseWorker: ChooseWorker;
  /** Orders the teams. */
  rankTeam: RankTeam;
  /** The times by which it acts. */
  timings: JobTimings;
  /** The log of events. */
  log: EventLog;
}

/** Owns the decisions of this member's queues, and carries them out. */
export class JobQueueTask extends Task<JobQueueMessage> {
  readonly #options: JobQueueTaskOptions;
  readonly #queues = new Map<string, JobQueue>();
  readonly #timers: NodeJS.Timeout[];
  readonly #silent = new Set<string>();
  #fleet: Fleet | undefined;
  #grant: StandingGrant | undefined;
  #isStepDue = false;
  #stepTimer: NodeJS.Timeout | undefined;
  #takenOver = 0;

  private constructor(options: JobQueueTaskOptions) {
    super({ name: "job-queues" });
    this.#options = options;
    this.#timers = [
      setInterval(() => this.#postStep(), TICK_MILLISECONDS),
      setInterval(() => this.#askProgress(), PROGRESS_MILLISECONDS),
    ];
  }

  /** Creates the task; it acts once it knows the fleet and the roster names it. */
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

  #askProgress(): void {
    const reply = (members: MemberProgress[]) => void this.post({ kind: "progress", members });
    this.#options.members.post({ kind: "get-progress", reply });
  }

  #noteProgress(members: readonly MemberProgress[]): void {
    this.#silent.clear();
    for (const { memberId, silentMilliseconds } of members) {
      if (silentMilliseconds > SILENT_MEMBER_MILLISECONDS) this.#silent.add(memberId);
    }
    this.#silent.delete(this.#options.memberId);
  }

  /** Posts one step soon, however much news has come since the last. */
  #postStep(): void {
    if (this.#isStepDue) return;
    this.#isStepDue = true;
    this.#stepTimer = setTimeout(() => this.post({ kind: "step" }), STEP_GATHER_MILLISECONDS);
  }

  #handleAnswer(message: JobQueueMessage & { kind: "worker-answered" }): void {
    const { queue, worker, call, result } = message;
    if (result.outcome === "failed") {
      const { reason } = result;
      this.#options.log("worker-call-failed", { queue, worker, call: call.kind, reason });
    }
    const now = this.#options.clock.getElapsed();
    this.#queues.get(queue)?.handleWorkerResult(worker, call, result, now);
    this.#postStep();
  }

  #step(): void {
    this.#isStepDue = false;
    const fleet = this.#fleet;
    if (fleet === undefined) return;
    this.#followRoster(fleet);
    for (const [name, queue] of this.#queues) {
      const now = this.#options.clock.getElapsed();
      const isStartAllowed = getStandingAt(this.#grant, now) === Standing.Current;
      for (const effect of queue.step({ fleet, now, isStartAllowed })) this.#perform(name, effect);
    }
  }

  /**
   * Takes over the queues with jobs whose first member by rendezvous this one is, and gives up
   * others. A silent member is passed over before its removal: that two members may act for a queue
   * for a while is harmless, that none does is not.
   */
  #followRoster(fleet: Fleet): void {
    const members = fleet.getRoster().getMemberIds().filter((member) => !this.#silent.has(member));
    const { memberId } = this.#options;
    const isOwn = (queue: string) => getFirstByRendezvous(`queue ${queue}`, members) === memberId;
    for (const name of this.#queues.keys()) {
      if (isOwn(name)) continue;
      this.#queues.delete(name);
      this.#options.log("queue-given-up", { queue: name });
    }
    const active = new Set([...fleet.tables.jobs.values()].map((job) => job.queue));
    for (const name of active) {
      if (this.#queues.has(name) || !isOwn(name)) continue;
      this.#queues.set(name, this.#createQueue(name));
      this.#options.log("queue-taken-over", { queue: name });
    }
  }

  /** The author of a queue's records is new at each take-over, so that their ids are as well. */
  #createQueue(queue: string): JobQueue {
    this.#takenOver += 1;
    const { chooseWorker, rankTeam, timings } = this.#options;
    const author = `${this.#options.memberId}-${this.#takenOver}`;
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
      () => ({ outcome: "unknown", reason: "this entry host is full" }),
    );
    this.post({ kind: "published", queue, recordId, result });
  }

  async #call(queue: string, { worker, address, call }: CallEffect): Promise<void> {
    const timeoutMilliseconds = CALL_TIMEOUT_MILLISECONDS;
    const result = await this.#options.callWorker({ address, call, timeoutMilliseconds });
    this.post({ kind: "worker-answered", queue, worker, call, result });
  }
}
