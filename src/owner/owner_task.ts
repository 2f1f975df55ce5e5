/** Runs the owner's decisions while this process holds the claim. */

import type { EventLog } from "../events/mod.ts";
import type { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { Host, HostOrderOutcome } from "../fleet/host.ts";
import type { OperatorRequests } from "../fleet/maintenance_wave.ts";
import {
  type Answer,
  type AnswerBasis,
  AnswerOutcome,
  authorizeCall,
  CallKind,
  createUnavailable,
  isRefusal,
} from "../front/call.ts";
import type { ForwardedCall } from "../front/call_frame.ts";
import { JournalTask } from "../ownership/journal_task.ts";
import {
  CLAIM_VALIDITY_MILLISECONDS,
  TAKE_OVER_TIMEOUT_MILLISECONDS,
} from "../ownership/ownership_task.ts";
import type { Claim, JournalStore } from "../ownership/ownership_ports.ts";
import { type ElapsedClock, type Reply, Task } from "../tasks/mod.ts";
import type { Advice } from "./advice_control.ts";
import { FleetOwner } from "./fleet_owner.ts";
import type { OwnerLimits } from "./fleet_state.ts";
import { EarlierHostOrders } from "./host_order_records.ts";
import type { JobCounts } from "./job_desk.ts";
import { DEFAULT_CAPACITY_POLICY } from "./pool_need.ts";
import { readStoredJobs } from "./job_records.ts";
import type {
  LookAnswer,
  LookOrder,
  MaintainOrder,
  MoveOrder,
  OrderAnswer,
  OwnerPorts,
  PaceOrder,
  StartOrder,
  StopOrder,
} from "./owner_ports.ts";

/** How often the owner does what time demands, in milliseconds. */
const TICK_MILLISECONDS = 25;
/** The pause before a step of the take-over is repeated, in milliseconds. */
const TAKE_OVER_RETRY_MILLISECONDS = 50;
/** The lease that a look grants, in milliseconds: three looks. */
export const LEASE_MILLISECONDS = 3_000;
/** How long a lease may last beyond the owner's last confirmation, in milliseconds. */
const OUTAGE_LEASE_MILLISECONDS = 6_500;
/** How long the store may be silent before leases are made to outlast an outage, in milliseconds. */
const STORE_TROUBLE_MILLISECONDS = 1_200;
/** How long the journal may fail before submissions are refused at once, in milliseconds. */
const JOURNAL_TROUBLE_MILLISECONDS = 500;
/** How old a count of what waits may be, in milliseconds: the page of the jobs interface allows 2 s. */
const OLDEST_COUNT_MILLISECONDS = 2_000;
/** When callers come back while the store is away, in seconds. */
const STORE_RETRY_SECONDS = 2;

/** How much longer leases are waited for, since an executor's clock may be 2% slow. */
const CLOCK_MARGIN = 1.03;

/** Sends orders to executors. */
export interface ExecutorCalls {
  /** Starts a run. */
  start: (order: StartOrder) => Promise<OrderAnswer>;
  /** Stops a run. */
  stop: (order: StopOrder) => Promise<OrderAnswer>;
  /** Sets a run's pace. */
  pace: (order: PaceOrder) => Promise<OrderAnswer>;
  /** Looks. */
  look: (order: LookOrder) => Promise<LookAnswer>;
}

/** Lists hosts and carries out orders for them. */
export interface HostProvider {
  /** Gets all hosts, or undefined if the provider does not serve the list. */
  list: () => Promise<Host[] | undefined>;
  /** Has a host maintained. */
  maintain: (host: string, wave: number, fence: number) => Promise<HostOrderOutcome>;
  /** Moves a host to another pool. */
  move: (host: string, pool: string, fence: number) => Promise<HostOrderOutcome>;
}

/** The messages that an `OwnerTask` takes. */
export type OwnerMessage =
  | { kind: "call"; call: ForwardedCall; reply: Reply<Answer> }
  | { kind: "configuration"; configuration: Configuration; requests: OperatorRequests }
  | { kind: "executors"; entries: readonly ExecutorEntry[] }
  | { kind: "confirmed"; confirmedAt: number; renewal: number }
  | { kind: "fence-set"; sequence: number }
  | { kind: "stored-read"; entries: [string, Uint8Array][] }
  | { kind: "start-answered"; order: StartOrder; answer: OrderAnswer; milliseconds: number }
  | { kind: "stop-answered"; order: StopOrder; answer: OrderAnswer }
  | { kind: "pace-answered"; order: PaceOrder; answer: OrderAnswer }
  | { kind: "look-answered"; order: LookOrder; sentAt: number; answer: LookAnswer }
  | { kind: "hosts-listed"; hosts: Host[] | undefined; readSince: number }
  | { kind: "maintain-answered"; order: MaintainOrder; outcome: HostOrderOutcome }
  | { kind: "move-answered"; order: MoveOrder; outcome: HostOrderOutcome }
  | { kind: "advised"; step: string; asked: readonly string[]; advice: Advice | undefined }
  | { kind: "settle" }
  | { kind: "tick" }
  /** The journal has seen a higher epoch. */
  | { kind: "fenced" }
  /** The process is stopping: nothing more is started, and the reply comes when all is stored. */
  | { kind: "finish"; reply: Reply<void> };

/** Options of an `OwnerTask`. */
export interface OwnerTaskOptions {
  /** The epoch of the claim, which is the fence at executors. */
  epoch: number;
  /** The claim before this one, as it was last renewed. */
  previousClaim: Claim | undefined;
  /** Where the journal lasts. */
  journalStore: JournalStore;
  /** Sends orders. */
  executors: ExecutorCalls;
  /** The provider of hosts, where there is one. */
  provider?: HostProvider | undefined;
  /** Asks the adviser which executors may run a step, where there is one. */
  askAdvice: (step: string, executors: readonly string[]) => Promise<Advice | undefined>;
  /** Tells operators how far a wave is. */
  writeStatus: (wave: number, isCompleted: boolean) => void;
  /** How long holders of orders for a host must be apart, in milliseconds. */
  providerLeaseMilliseconds: number;
  /** How long a host is away for maintenance, in milliseconds. */
  maintenanceMilliseconds: number;
  /** The bounds and times. */
  limits: Omit<OwnerLimits, "earlierLeaseMilliseconds">;
  /** Tells that a higher epoch writes. */
  onFenced: () => void;
  /** Gets a measured time, in milliseconds. */
  onMeasured: (name: "append" | "start" | "take-over", milliseconds: number) => void;
  /** The clock of ages. */
  clock: ElapsedClock;
  /** The steady clock. */
  getSteady: () => number;
  /** Gets the time of day, in milliseconds since 1970. */
  getTimeOfDay: () => number;
  /** Logs decisions. */
  log: EventLog;
}

/** Owns the decisions, and everything that they are made on. */
export class OwnerTask extends Task<OwnerMessage> {
  readonly #options: OwnerTaskOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #startedAt: number;
  #journal: JournalTask | undefined;
  #stored: [string, Uint8Array][] | undefined;
  #owner: FleetOwner | undefined;
  #configuration: Configuration | undefined;
  #requests: OperatorRequests = { evacuatedZones: new Set(), waves: new Map() };
  #entries: readonly ExecutorEntry[] | undefined;
  #confirmedAt: number;
  #renewal = 0;
  #isFinishing = false;
  /** Whether a later owner writes the journal: what is known here may be outdated. */
  #isFenced = false;
  #isSettling = false;
  #early: { call: ForwardedCall; reply: Reply<Answer> }[] = [];

  private constructor(options: OwnerTaskOptions) {
    super({ name: "owner", mailboxCapacity: 100_000 });
    this.#options = options;
    this.#startedAt = options.getSteady();
    this.#confirmedAt = options.clock.getElapsed();
    this.#timer = setInterval(() => this.post({ kind: "tick" }), TICK_MILLISECONDS);
  }

  /** Creates the task and begins to take over. */
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
        this.#requests = message.requests;
        this.#setMoment();
        this.#owner?.setConfiguration(message.configuration);
        this.#owner?.setRequests(message.requests);
        this.#tryStart();
        break;
      case "executors":
        this.#entries = message.entries;
        this.#setMoment();
        this.#owner?.setExecutors(message.entries);
        this.#tryStart();
        break;
      case "confirmed":
        this.#confirmedAt = Math.max(this.#confirmedAt, message.confirmedAt);
        this.#renewal = message.renewal;
        return;
      case "fence-set":
        return this.#openJournal(message.sequence);
      case "stored-read":
        this.#stored = message.entries;
        return this.#tryStart();
      case "start-answered":
        return this.#handleStartAnswer(message.order, message.answer, message.milliseconds);
      case "stop-answered": {
        const { order, answer } = message;
        this.#setMoment();
        this.#owner?.handleStopAnswer(order.executor.id, order.task, order.run, answer);
        break;
      }
      case "pace-answered":
        this.#setMoment();
        this.#owner?.handlePaceAnswer(message.order, message.answer);
        return;
      case "look-answered":
        this.#setMoment();
        this.#owner?.handleLookAnswer(message.order.executor.id, message.sentAt, message.answer);
        break;
      case "hosts-listed":
        if (message.hosts === undefined) return;
        this.#setMoment();
        this.#owner?.setHosts(message.hosts, message.readSince);
        break;
      case "maintain-answered":
        this.#setMoment();
        this.#owner?.handleMaintainAnswer(message.order, message.outcome);
        break;
      case "move-answered":
        this.#setMoment();
        this.#owner?.handleMoveAnswer(message.order, message.outcome);
        break;
      case "advised":
        this.#setMoment();
        this.#owner?.handleAdvice(message.step, message.asked, message.advice);
        break;
      case "settle":
        this.#isSettling = false;
        this.#setMoment();
        this.#owner?.settle();
        return;
      case "tick":
        this.#setMoment();
        this.#owner?.tick();
        break;
      case "fenced":
        return this.#handleFenced();
      case "finish":
        return this.#finish(message.reply);
    }
    this.#settleSoon();
  }

  override getState(): unknown {
    return { epoch: this.#options.epoch, ...this.#owner?.getSummary() };
  }

  /** Gets what the metrics show. */
  getSummary(): Readonly<Record<string, number>> {
    return this.#owner?.getSummary() ?? {};
  }

  override stop(): void {
    super.stop();
    clearInterval(this.#timer);
    this.#journal?.stop();
  }

  /** Ends the epochs before this one at the journal. */
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
      await pause(TAKE_OVER_RETRY_MILLISECONDS);
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
        this.post({ kind: "stored-read", entries });
        return;
      }
      this.#options.log("take-over-delayed", { step: "read-journal", epoch: this.#options.epoch });
      await pause(TAKE_OVER_RETRY_MILLISECONDS);
    }
  }

  /** Starts to decide once the journal, the list of executors and a configuration are there. */
  #tryStart(): void {
    if (this.#owner !== undefined || this.#configuration === undefined) return;
    if (this.#entries === undefined || this.#stored === undefined) return;
    const { epoch, limits, log, getSteady, onMeasured, previousClaim } = this.#options;
    const { jobs, unreadable } = readStoredJobs(this.#stored);
    for (const { key, reason } of unreadable) log("journal-entry-unreadable", { key, reason });
    const startedAt = getSteady();
    const earlierHostOrders = EarlierHostOrders.create({
      stored: this.#stored,
      previousClaim,
      leaseMilliseconds: this.#options.providerLeaseMilliseconds,
      startedAt,
    });
    this.#owner = FleetOwner.create({
      fence: epoch,
      limits: { ...limits, earlierLeaseMilliseconds: this.#getEarlierLease() },
      ports: this.#createPorts(),
      log,
      startedAt,
      timeOfDay: this.#options.getTimeOfDay(),
      configuration: this.#configuration,
      jobs,
      stored: this.#stored,
      earlierHostOrders,
      capacityTerms: DEFAULT_CAPACITY_POLICY,
      maintenanceMilliseconds: this.#options.maintenanceMilliseconds,
      executors: this.#entries,
      doubtMilliseconds: this.#getEarlierLease() * CLOCK_MARGIN,
    });
    this.#owner.setRequests(this.#requests);
    this.#stored = [];
    const milliseconds = startedAt - this.#startedAt;
    onMeasured("take-over", milliseconds);
    log("take-over-done", {
      epoch,
      handedOver: previousClaim?.isReleased === true,
      previousRenewal: previousClaim?.renewal,
      jobs: jobs.length,
      executors: this.#entries.length,
      took: Math.round(milliseconds),
    });
    const early = this.#early;
    this.#early = [];
    for (const { call, reply } of early) this.#handleCall(call, reply);
    this.#settleSoon();
  }

  /** Gets the longest lease that an earlier owner may have granted. */
  #getEarlierLease(): number {
    const { previousClaim } = this.#options;
    if (previousClaim === undefined) return 0;
    return previousClaim.isReleased ? LEASE_MILLISECONDS : OUTAGE_LEASE_MILLISECONDS;
  }

  #createPorts(): OwnerPorts {
    const { executors, getSteady, provider, writeStatus, askAdvice } = this.#options;
    return {
      listHosts: () => {
        const readSince = getSteady();
        void provider?.list().then((hosts) =>
          this.post({ kind: "hosts-listed", hosts, readSince })
        );
      },
      maintain: (order) =>
        void provider?.maintain(order.host, order.wave, order.fence).then((outcome) =>
          this.post({ kind: "maintain-answered", order, outcome })
        ),
      move: (order) =>
        void provider?.move(order.host, order.pool, order.fence).then((outcome) =>
          this.post({ kind: "move-answered", order, outcome })
        ),
      askAdvice: (step, asked) =>
        void askAdvice(step, asked).then((advice) =>
          this.post({ kind: "advised", step, asked, advice })
        ),
      writeStatus,
      start: (order) => {
        const sentAt = getSteady();
        void executors.start(order).then((answer) =>
          this.post({
            kind: "start-answered",
            order,
            answer,
            milliseconds: getSteady() - sentAt,
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
      look: (order) => {
        const sentAt = getSteady();
        void executors.look(order).then((answer) =>
          this.post({ kind: "look-answered", order, sentAt, answer })
        );
      },
      write: (entries, onStored) =>
        void this.#journal?.post({
          kind: "write",
          entries,
          onStored: () => {
            this.#setMoment();
            onStored();
            this.#settleSoon();
          },
        }),
    };
  }

  #setMoment(): void {
    const { getSteady, getTimeOfDay } = this.#options;
    const age = this.#getClaimAge();
    const leaseMilliseconds = age < STORE_TROUBLE_MILLISECONDS
      ? LEASE_MILLISECONDS
      : OUTAGE_LEASE_MILLISECONDS - age;
    this.#owner?.setMoment({
      now: getSteady(),
      timeOfDay: getTimeOfDay(),
      renewal: this.#renewal,
      mayStart: age < CLAIM_VALIDITY_MILLISECONDS && !this.#isFinishing,
      mayExtend: leaseMilliseconds > 0 && !this.#isFinishing,
      leaseMilliseconds,
    });
  }

  /** Lets the decisions settle once for all messages of this turn. */
  #settleSoon(): void {
    if (this.#isSettling || this.#owner === undefined) return;
    this.#isSettling = true;
    setImmediate(() => this.post({ kind: "settle" }));
  }

  #handleStartAnswer(order: StartOrder, answer: OrderAnswer, milliseconds: number): void {
    this.#options.onMeasured("start", milliseconds);
    this.#setMoment();
    this.#owner?.handleStartAnswer(order.executor.id, order.task, order.run, answer);
    this.#settleSoon();
  }

  #handleCall(call: ForwardedCall, reply: Reply<Answer>): void {
    const isReplaced = this.#isFenced || this.#owner?.isDeposed() === true;
    if (this.#isFinishing || isReplaced) return reply({ outcome: AnswerOutcome.NotOwner });
    if (this.#owner === undefined || this.#configuration === undefined) {
      this.#early.push({ call, reply });
      return;
    }
    this.#setMoment();
    const allowed = this.#authorize(call);
    if ("outcome" in allowed) return reply(allowed);
    const owner = this.#owner;
    switch (call.kind) {
      case CallKind.Submit:
        this.#submit(call, allowed.queue, allowed.customer, reply);
        break;
      case CallKind.Cancel:
        if (!this.#isKnown(call.jobId)) return reply(this.#getUnknown());
        owner.cancel(call.jobId, () => reply({ outcome: AnswerOutcome.Cancelled }));
        break;
      case CallKind.State: {
        const state = owner.getJobState(call.jobId);
        if (!this.#isKnown(call.jobId)) return reply(this.#getUnknown());
        if (state === undefined) return reply(createUnavailable("the job is being stored"));
        const basis = this.#createBasis(allowed.queue, owner.countJob(call.jobId));
        return reply({ outcome: AnswerOutcome.Shown, state, basis });
      }
      case CallKind.Waiting:
        return reply(this.#countWaiting(allowed.queue));
    }
    this.#settleSoon();
  }

  /** Judges a call again where the configuration here is newer than where it came in. */
  #authorize(call: ForwardedCall): Answer | { queue: string; customer: string } {
    const configuration = this.#configuration!;
    if (configuration.version <= call.version) {
      return { queue: call.queue, customer: call.customer };
    }
    const authorized = authorizeCall(call, configuration);
    if (isRefusal(authorized)) return authorized;
    return { queue: authorized.queue.name, customer: authorized.customer?.name ?? "" };
  }

  #submit(call: ForwardedCall, queue: string, customer: string, reply: Reply<Answer>): void {
    const { specification, jobId } = call;
    if (specification === undefined) {
      return reply({ outcome: AnswerOutcome.Malformed, reason: "the job is missing" });
    }
    const owner = this.#owner!;
    const isKnown = this.#isKnown(jobId);
    const failingSince = this.#journal?.getFailingSince();
    const isStoreAway = failingSince !== undefined &&
      performance.now() - failingSince > JOURNAL_TROUBLE_MILLISECONDS;
    if (!isKnown && isStoreAway) {
      return reply(createUnavailable("the store does not answer", STORE_RETRY_SECONDS));
    }
    owner.submit({ id: jobId, queue, customer, specification }, () => {
      reply({ outcome: AnswerOutcome.Accepted });
    });
  }

  /** Gets whether a job is accepted or being stored: it may run, whatever its caller knows. */
  #isKnown(jobId: string): boolean {
    const owner = this.#owner!;
    return owner.getJobState(jobId) !== undefined || owner.isAccepting(jobId);
  }

  #createBasis(queue: string, counts: JobCounts): AnswerBasis {
    const claimAge = Math.round(this.#getClaimAge());
    return { queue, ...counts, ownerEpoch: this.#options.epoch, claimAge };
  }

  #countWaiting(queue: string): Answer {
    if (this.#getClaimAge() >= OLDEST_COUNT_MILLISECONDS) {
      return createUnavailable("another owner may have accepted jobs");
    }
    const waiting = this.#owner!.getWaitingCount(queue);
    const basis = this.#createBasis(queue, this.#owner!.countQueue(queue));
    return { outcome: AnswerOutcome.Counted, waiting, basis };
  }

  /** Gets how long ago no other claim was known to come before this owner's, in milliseconds. */
  #getClaimAge(): number {
    return this.#options.clock.getElapsed() - this.#confirmedAt;
  }

  /** Gets what is said of a job that is not known: only an owner that is sure says so. */
  #getUnknown(): Answer {
    const age = this.#getClaimAge();
    // From then on another owner may have accepted the job: no fence guards what callers are told.
    if (age < TAKE_OVER_TIMEOUT_MILLISECONDS) return { outcome: AnswerOutcome.UnknownJob };
    return createUnavailable("the owner is not sure that it still is");
  }

  #handleFenced(): void {
    this.#isFenced = true;
    this.#passEarlyOn();
    this.#options.onFenced();
  }

  #passEarlyOn(): void {
    for (const early of this.#early) early.reply({ outcome: AnswerOutcome.NotOwner });
    this.#early = [];
  }

  #finish(reply: Reply<void>): void {
    this.#isFinishing = true;
    this.#setMoment();
    const { epoch, log } = this.#options;
    log("hand-over-begun", { epoch });
    this.#passEarlyOn();
    if (this.#journal === undefined) return reply();
    // Entries are stored in order, so this is stored after all that came before it.
    this.#journal.post({ kind: "write", entries: [], onStored: reply });
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
