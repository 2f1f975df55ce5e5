/** The task that runs the owner's decisions while this process holds the claim. */

import type { EventLog } from "../events/mod.ts";
import type { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { Host, HostOrderOutcome } from "../fleet/host.ts";
import type { OperatorActions } from "../fleet/maintenance_wave.ts";
import { type Answer, AnswerOutcome, CallKind } from "../front/call.ts";
import type { ForwardedCall } from "../front/call_frame.ts";
import { JournalTask } from "../ownership/journal_task.ts";
import {
  getEarlierLeases,
  getGrantedLeaseMilliseconds,
  getLeaseWaitMilliseconds,
} from "../ownership/lease_bounds.ts";
import { CLAIM_VALIDITY_MILLISECONDS } from "../ownership/ownership_task.ts";
import type { Claim, JournalStore } from "../ownership/ownership_ports.ts";
import { type ElapsedClock, type Reply, Task } from "../tasks/mod.ts";
import type { Advice } from "./advice_control.ts";
import { CallControl } from "./call_control.ts";
import { FleetOwner } from "./fleet_owner.ts";
import type { OwnerLimits } from "./fleet_state.ts";
import { EarlierHostOrders } from "./host_order_records.ts";
import { DEFAULT_CAPACITY_POLICY } from "./pool_need.ts";
import { readStoredJobs } from "./job_records.ts";
import type { SchedulingFeatures } from "./scheduling_features.ts";
import type {
  MaintainOrder,
  MoveOrder,
  OrderAnswer,
  OwnerPorts,
  PaceOrder,
  PollAnswer,
  PollOrder,
  StartOrder,
  StopOrder,
} from "./owner_ports.ts";

/** The interval of the owner's periodic work, in milliseconds. */
const TICK_INTERVAL_MILLISECONDS = 25;
/** The delay before a failed step of the take-over is retried, in milliseconds. */
const TAKE_OVER_RETRY_MILLISECONDS = 50;
/** How long journal writes may fail before submissions are rejected at once, in milliseconds. */
const JOURNAL_OUTAGE_MILLISECONDS = 500;

/** Sends orders to executors. */
export interface ExecutorPort {
  /** Starts a run. */
  start: (order: StartOrder) => Promise<OrderAnswer>;
  /** Stops a run. */
  stop: (order: StopOrder) => Promise<OrderAnswer>;
  /** Sets the pace of a run. */
  pace: (order: PaceOrder) => Promise<OrderAnswer>;
  /** Extends the lease and gets a report. */
  poll: (order: PollOrder) => Promise<PollAnswer>;
}

/** Lists hosts and carries out orders for them. */
export interface HostProvider {
  /** Gets all hosts, or undefined if the provider did not return the list. */
  list: () => Promise<Host[] | undefined>;
  /** Orders the maintenance of a host. */
  maintain: (host: string, wave: number, fence: number) => Promise<HostOrderOutcome>;
  /** Orders the move of a host to another pool. */
  move: (host: string, pool: string, fence: number) => Promise<HostOrderOutcome>;
}

/** The messages that an `OwnerTask` takes. */
export type OwnerMessage =
  | { kind: "call"; call: ForwardedCall; reply: Reply<Answer> }
  | { kind: "configuration"; configuration: Configuration; plannedActions: OperatorActions }
  | { kind: "executors"; entries: readonly ExecutorEntry[] }
  | { kind: "confirmed"; confirmedAt: number; renewal: number }
  | { kind: "fence-set"; sequence: number }
  | { kind: "journal-read"; entries: [string, Uint8Array][] }
  | { kind: "start-answered"; order: StartOrder; answer: OrderAnswer; milliseconds: number }
  | { kind: "stop-answered"; order: StopOrder; answer: OrderAnswer }
  | { kind: "pace-answered"; order: PaceOrder; answer: OrderAnswer }
  | { kind: "poll-answered"; order: PollOrder; sentAt: number; answer: PollAnswer }
  | { kind: "hosts-listed"; hosts: Host[] | undefined; requestedAt: number }
  | { kind: "maintain-answered"; order: MaintainOrder; outcome: HostOrderOutcome }
  | { kind: "move-answered"; order: MoveOrder; outcome: HostOrderOutcome }
  | {
    kind: "advice-received";
    step: string;
    executorIds: readonly string[];
    advice: Advice | undefined;
  }
  | { kind: "flush" }
  | { kind: "tick" }
  /** The journal has rejected a write because of a higher epoch. */
  | { kind: "fenced" }
  /**
   * The claim is about to be released: no more tasks are started, and the reply follows the last
   * write and the last answer to an order for a host. It is the longest lease that may remain at
   * executors, in milliseconds.
   */
  | { kind: "hand-over"; reply: Reply<number> }
  /** The claim was not released: the owner goes on deciding. */
  | { kind: "resume" };

/** Options of an `OwnerTask`. */
export interface OwnerTaskOptions {
  /** The epoch of the claim, which is used as the fencing token at executors. */
  epoch: number;
  /** The previous claim, as of its last renewal. */
  previousClaim: Claim | undefined;
  /** Stores the journal. */
  journalStore: JournalStore;
  /** Sends orders to executors. */
  executors: ExecutorPort;
  /** The host provider, if one is configured. */
  provider?: HostProvider | undefined;
  /** Asks the adviser, if there is one, which executors may run a step. */
  askAdvice: (step: string, executors: readonly string[]) => Promise<Advice | undefined>;
  /** Writes the status of a wave for operators. */
  writeStatus: (wave: number, isCompleted: boolean) => void;
  /** How long the provider binds a host to the owner that last ordered it, in milliseconds. */
  providerLeaseMilliseconds: number;
  /** The expected duration of a host's maintenance, in milliseconds. */
  maintenanceMilliseconds: number;
  /** The limits and durations. */
  limits: Omit<OwnerLimits, "earlierLeases">;
  /** Called when a job is refused since the owner holds too many. */
  onFull?: (() => void) | undefined;
  /** The scheduling features that are on; none by default. */
  features?: SchedulingFeatures | undefined;
  /** How long a move takes a host out of service, in milliseconds. */
  moveMilliseconds?: number | undefined;
  /** Called when the journal has rejected this epoch in favour of a higher one. */
  onFenced: () => void;
  /** Called with each measured duration, in milliseconds. */
  onMeasured: (name: "append" | "start" | "take-over", milliseconds: number) => void;
  /**
   * Measures the age of the claim. Unlike the monotonic clock, it includes the time in which the
   * machine was suspended and another owner may have taken over.
   */
  claimClock: ElapsedClock;
  /** Gets the time on the monotonic clock, in milliseconds. */
  getMonotonicTime: () => number;
  /** Gets the time of day, in milliseconds since 1970. */
  getWallClockTime: () => number;
  /** Logs decisions. */
  log: EventLog;
}

/** Owns the `FleetOwner`, the journal task and the data received until the take-over is complete. */
export class OwnerTask extends Task<OwnerMessage> {
  readonly #options: OwnerTaskOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #startedAt: number;
  #journal: JournalTask | undefined;
  #journalEntries: [string, Uint8Array][] | undefined;
  #owner: FleetOwner | undefined;
  #calls: CallControl | undefined;
  #configuration: Configuration | undefined;
  #plannedActions: OperatorActions = { evacuatedZones: new Set(), waves: new Map() };
  #executorEntries: readonly ExecutorEntry[] | undefined;
  #claimConfirmedAt: number;
  #renewal = 0;
  #isHandingOver = false;
  /** Called once the provider has answered all orders for hosts. */
  #onHostOrdersAnswered: (() => void) | undefined;
  /** The number of orders for hosts that the provider has not answered. */
  #pendingHostOrders = 0;
  /** Whether a later owner has fenced the journal; the state here may be outdated. */
  #isFencedByJournal = false;
  #isFlushPending = false;
  /** The calls received before the take-over was complete. */
  #queuedCalls: { call: ForwardedCall; reply: Reply<Answer> }[] = [];

  private constructor(options: OwnerTaskOptions) {
    super({ name: "owner", mailboxCapacity: 100_000 });
    this.#options = options;
    this.#startedAt = options.getMonotonicTime();
    this.#claimConfirmedAt = options.claimClock.getElapsed();
    this.#timer = setInterval(() => this.post({ kind: "tick" }), TICK_INTERVAL_MILLISECONDS);
  }

  /** Creates the task and starts the take-over. */
  static create(options: OwnerTaskOptions): OwnerTask {
    const task = new OwnerTask(options);
    void task.#setFence(1);
    return task;
  }

  protected override receive(message: OwnerMessage): void {
    switch (message.kind) {
      case "call":
        return this.#handleCall(message.call, message.reply);
      case "configuration":
        this.#configuration = message.configuration;
        this.#plannedActions = message.plannedActions;
        this.#updateContext();
        this.#owner?.setConfiguration(message.configuration);
        this.#owner?.setPlannedActions(message.plannedActions);
        this.#tryStart();
        break;
      case "executors":
        this.#executorEntries = message.entries;
        this.#updateContext();
        this.#owner?.setExecutors(message.entries);
        this.#tryStart();
        break;
      case "confirmed":
        this.#claimConfirmedAt = Math.max(this.#claimConfirmedAt, message.confirmedAt);
        this.#renewal = message.renewal;
        return;
      case "fence-set":
        return this.#openJournal(message.sequence);
      case "journal-read":
        this.#journalEntries = message.entries;
        return this.#tryStart();
      case "start-answered":
        return this.#handleStartAnswer(message.order, message.answer, message.milliseconds);
      case "stop-answered": {
        const { order, answer } = message;
        this.#updateContext();
        this.#owner?.handleStopAnswer(order, answer);
        break;
      }
      case "pace-answered":
        this.#updateContext();
        this.#owner?.handlePaceAnswer(message.order, message.answer);
        return;
      case "poll-answered":
        this.#updateContext();
        this.#owner?.handlePollAnswer(message.order.executor.id, message.sentAt, message.answer);
        break;
      case "hosts-listed":
        if (message.hosts === undefined) return;
        this.#updateContext();
        this.#owner?.setHosts(message.hosts, message.requestedAt);
        break;
      case "maintain-answered":
        this.#updateContext();
        this.#owner?.handleMaintainAnswer(message.order, message.outcome);
        this.#recordHostOrderAnswered();
        break;
      case "move-answered":
        this.#updateContext();
        this.#owner?.handleMoveAnswer(message.order, message.outcome);
        this.#recordHostOrderAnswered();
        break;
      case "advice-received":
        this.#updateContext();
        this.#owner?.handleAdvice(message.step, message.executorIds, message.advice);
        break;
      case "flush":
        this.#isFlushPending = false;
        this.#updateContext();
        this.#owner?.flush();
        return;
      case "tick":
        this.#updateContext();
        this.#owner?.tick();
        break;
      case "fenced":
        return this.#handleFenced();
      case "hand-over":
        return this.#handOver(message.reply);
      case "resume":
        return this.#resume();
    }
    this.#scheduleFlush();
  }

  override getState(): unknown {
    return { epoch: this.#options.epoch, ...this.#owner?.getSummary() };
  }

  /** Gets the figures for the metrics. */
  getSummary(): Readonly<Record<string, number>> {
    if (this.#owner === undefined) return {};
    return { ...this.#owner.getSummary(), heldJobBytes: this.#owner.getJobMemory().getBytes() };
  }

  override stop(): void {
    super.stop();
    clearInterval(this.#timer);
    this.#journal?.stop();
  }

  /** Fences earlier epochs off from the journal. */
  async #setFence(sequence: number): Promise<void> {
    const { journalStore, epoch, log } = this.#options;
    while (!this.isStopped()) {
      const result = await journalStore.append([], epoch, sequence);
      if (result.outcome === "done") {
        this.post({ kind: "fence-set", sequence: sequence + 1 });
        return;
      }
      if (result.outcome === "fenced") {
        log("take-over-fenced", { step: "set-fence", epoch });
        this.post({ kind: "fenced" });
        return;
      }
      log("take-over-delayed", { step: "set-fence", epoch, outcome: result.outcome });
      await delay(TAKE_OVER_RETRY_MILLISECONDS);
    }
  }

  #openJournal(firstSequence: number): void {
    const { journalStore, epoch, log, onMeasured } = this.#options;
    this.#journal = JournalTask.create({
      store: journalStore,
      epoch,
      firstSequence,
      onFenced: () => this.post({ kind: "fenced" }),
      onAppended: (milliseconds) => onMeasured("append", milliseconds),
      log,
    });
    void this.#readStored();
  }

  async #readStored(): Promise<void> {
    while (!this.isStopped()) {
      const entries = await this.#options.journalStore.readAll();
      if (entries !== undefined) {
        this.post({ kind: "journal-read", entries });
        return;
      }
      this.#options.log("take-over-delayed", { step: "read-journal", epoch: this.#options.epoch });
      await delay(TAKE_OVER_RETRY_MILLISECONDS);
    }
  }

  /** Creates the owner once the journal, the executor list and a configuration have been received. */
  #tryStart(): void {
    if (this.#owner !== undefined || this.#configuration === undefined) return;
    if (this.#executorEntries === undefined || this.#journalEntries === undefined) return;
    const { epoch, limits, log, getMonotonicTime, onMeasured, previousClaim } = this.#options;
    const { jobs, unreadable } = readStoredJobs(this.#journalEntries);
    for (const { key, reason } of unreadable) log("journal-entry-unreadable", { key, reason });
    const startedAt = getMonotonicTime();
    const earlierLeases = getEarlierLeases(previousClaim, limits.longestLeaseMilliseconds);
    const earlierHostOrders = EarlierHostOrders.create({
      stored: this.#journalEntries,
      previousClaim,
      leaseMilliseconds: this.#options.providerLeaseMilliseconds,
      startedAt,
    });
    this.#owner = FleetOwner.create({
      fence: epoch,
      limits: { ...limits, earlierLeases },
      features: this.#options.features,
      moveMilliseconds: this.#options.moveMilliseconds,
      ports: this.#createPorts(),
      log,
      startedAt,
      timeOfDay: this.#options.getWallClockTime(),
      configuration: this.#configuration,
      jobs,
      stored: this.#journalEntries,
      earlierHostOrders,
      capacityPolicy: DEFAULT_CAPACITY_POLICY,
      maintenanceMilliseconds: this.#options.maintenanceMilliseconds,
      executors: this.#executorEntries,
      inDoubtMilliseconds: getLeaseWaitMilliseconds(earlierLeases.longestMilliseconds),
      lostInDoubtMilliseconds: getLeaseWaitMilliseconds(earlierLeases.reckonedMilliseconds),
    });
    this.#owner.setPlannedActions(this.#plannedActions);
    this.#calls = CallControl.create({
      owner: this.#owner,
      epoch,
      getConfiguration: () => this.#configuration!,
      getClaimAge: () => this.#getClaimAge(),
      isStoreUnavailable: () => this.#isStoreUnavailable(),
      jobLimits: limits.jobLimits,
      onFull: this.#options.onFull,
      log,
    });
    this.#journalEntries = [];
    const milliseconds = startedAt - this.#startedAt;
    onMeasured("take-over", milliseconds);
    log("take-over-done", {
      epoch,
      handedOver: previousClaim?.isReleased === true,
      previousRenewal: previousClaim?.renewal,
      earlierLeaseMilliseconds: Math.round(earlierLeases.longestMilliseconds),
      jobs: jobs.length,
      executors: this.#executorEntries.length,
      durationMilliseconds: Math.round(milliseconds),
    });
    const queuedCalls = this.#queuedCalls;
    this.#queuedCalls = [];
    for (const { call, reply } of queuedCalls) this.#handleCall(call, reply);
    this.#scheduleFlush();
  }

  #createPorts(): OwnerPorts {
    const { executors, getMonotonicTime, provider, writeStatus, askAdvice } = this.#options;
    return {
      listHosts: () => {
        const requestedAt = getMonotonicTime();
        void provider?.list().then((hosts) =>
          this.post({ kind: "hosts-listed", hosts, requestedAt })
        );
      },
      maintain: (order) => {
        if (provider === undefined) return;
        this.#pendingHostOrders += 1;
        void provider.maintain(order.host, order.wave, order.fence).then((outcome) =>
          this.post({ kind: "maintain-answered", order, outcome })
        );
      },
      move: (order) => {
        if (provider === undefined) return;
        this.#pendingHostOrders += 1;
        void provider.move(order.host, order.pool, order.fence).then((outcome) =>
          this.post({ kind: "move-answered", order, outcome })
        );
      },
      askAdvice: (step, executorIds) =>
        void askAdvice(step, executorIds).then((advice) =>
          this.post({ kind: "advice-received", step, executorIds, advice })
        ),
      writeStatus,
      start: (order) => {
        const sentAt = getMonotonicTime();
        void executors.start(order).then((answer) =>
          this.post({
            kind: "start-answered",
            order,
            answer,
            milliseconds: getMonotonicTime() - sentAt,
          })
        );
      },
      stop: (order) =>
        void executors.stop(order).then((answer) =>
          this.post({ kind: "stop-answered", order, answer })
        ),
      pace: (order) =>
        void executors.pace(order).then((answer) =>
          this.post({ kind: "pace-answered", order, answer })
        ),
      poll: (order) => {
        const sentAt = getMonotonicTime();
        void executors.poll(order).then((answer) =>
          this.post({ kind: "poll-answered", order, sentAt, answer })
        );
      },
      write: (entries, onStored, onRejected) => {
        const handle = (act: () => void) => {
          this.#updateContext();
          act();
          this.#scheduleFlush();
        };
        void this.#journal?.post({
          kind: "write",
          entries,
          onStored: () => handle(onStored),
          onRejected: onRejected && (() => handle(onRejected)),
        });
      },
    };
  }

  #updateContext(): void {
    const { getMonotonicTime, getWallClockTime: getTimeOfDay } = this.#options;
    const age = this.#getClaimAge();
    const leaseMilliseconds = getGrantedLeaseMilliseconds(age);
    this.#owner?.setContext({
      now: getMonotonicTime(),
      timeOfDay: getTimeOfDay(),
      renewal: this.#renewal,
      mayStart: age < CLAIM_VALIDITY_MILLISECONDS && !this.#isHandingOver,
      mayExtend: leaseMilliseconds > 0 && !this.#isHandingOver,
      leaseMilliseconds,
    });
  }

  /** Schedules one flush for all messages handled in this turn of the event loop. */
  #scheduleFlush(): void {
    if (this.#isFlushPending || this.#owner === undefined) return;
    this.#isFlushPending = true;
    setImmediate(() => this.post({ kind: "flush" }));
  }

  #handleStartAnswer(order: StartOrder, answer: OrderAnswer, milliseconds: number): void {
    this.#options.onMeasured("start", milliseconds);
    this.#updateContext();
    this.#owner?.handleStartAnswer(order.executor.id, order.task, order.run, answer);
    this.#scheduleFlush();
  }

  #handleCall(call: ForwardedCall, reply: Reply<Answer>): void {
    const isFenced = this.#isFencedByJournal || this.#owner?.isFenced() === true;
    if (this.#isHandingOver || isFenced) return reply({ outcome: AnswerOutcome.NotOwner });
    if (this.#calls === undefined) {
      this.#queuedCalls.push({ call, reply });
      return;
    }
    this.#updateContext();
    this.#calls.handle(call, reply);
    if (call.kind === CallKind.Submit || call.kind === CallKind.Cancel) this.#scheduleFlush();
  }

  #isStoreUnavailable(): boolean {
    const failingSince = this.#journal?.getFailingSince();
    return failingSince !== undefined &&
      performance.now() - failingSince > JOURNAL_OUTAGE_MILLISECONDS;
  }

  /** Gets the time since this owner's claim was last confirmed as the current one, in milliseconds. */
  #getClaimAge(): number {
    return this.#options.claimClock.getElapsed() - this.#claimConfirmedAt;
  }

  #handleFenced(): void {
    this.#isFencedByJournal = true;
    this.#rejectQueuedCalls();
    this.#options.onFenced();
  }

  #rejectQueuedCalls(): void {
    for (const queued of this.#queuedCalls) queued.reply({ outcome: AnswerOutcome.NotOwner });
    this.#queuedCalls = [];
  }

  #handOver(reply: Reply<number>): void {
    this.#isHandingOver = true;
    this.#updateContext();
    const { epoch, log } = this.#options;
    log("hand-over-started", { epoch });
    this.#rejectQueuedCalls();
    const finish = () => {
      if (!this.#isHandingOver) return;
      const leaseMilliseconds = this.#getRemainingLeaseMilliseconds();
      log("hand-over-done", { epoch, leaseMilliseconds: Math.round(leaseMilliseconds) });
      reply(leaseMilliseconds);
    };
    if (this.#journal === undefined) return finish();
    // Writes are stored in order, so this one is stored after all earlier ones. Meanwhile most starts
    // are answered, so that their leases are known.
    // A later owner takes a released claim as the end of this one's orders for hosts.
    const waitForHostOrders = () => {
      if (this.#pendingHostOrders === 0) finish();
      else this.#onHostOrdersAnswered = finish;
    };
    this.#journal.post({ kind: "write", entries: [], onStored: waitForHostOrders });
  }

  #recordHostOrderAnswered(): void {
    this.#pendingHostOrders -= 1;
    if (this.#pendingHostOrders > 0) return;
    const onAnswered = this.#onHostOrdersAnswered;
    this.#onHostOrdersAnswered = undefined;
    onAnswered?.();
  }

  #resume(): void {
    if (!this.#isHandingOver) return;
    this.#isHandingOver = false;
    this.#onHostOrdersAnswered = undefined;
    this.#options.log("owner-resumed", { epoch: this.#options.epoch });
    this.#updateContext();
    this.#scheduleFlush();
  }

  /** Gets how long leases of this owner and of earlier ones may remain, in milliseconds. */
  #getRemainingLeaseMilliseconds(): number {
    this.#updateContext();
    const { limits, previousClaim } = this.#options;
    // Before the take-over is complete, only earlier owners have granted leases.
    return this.#owner?.getRemainingLeaseMilliseconds() ??
      getEarlierLeases(previousClaim, limits.longestLeaseMilliseconds).longestMilliseconds;
  }
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
