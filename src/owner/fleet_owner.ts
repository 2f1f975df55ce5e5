/** Makes the scheduling and host decisions for the fleet while its process holds the claim. */

import type { Configuration } from "../fleet/configuration.ts";
import { Executor, ExecutorRecordState } from "../fleet/executor.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { Job, JobState, JobStep } from "../fleet/job.ts";
import type { Host, HostOrderOutcome } from "../fleet/host.ts";
import type { OperatorActions } from "../fleet/maintenance_wave.ts";
import { type Advice, AdviceControl } from "./advice_control.ts";
import { DemandControl } from "./demand_control.ts";
import { PoolSizeControl } from "./pool_size_control.ts";
import { DispatchControl } from "./dispatch_control.ts";
import { FleetState, type FleetStateOptions } from "./fleet_state.ts";
import type { JobMemory } from "./job_memory.ts";
import { JobControl, type JobCounts, type Submission } from "./job_control.ts";
import { readStoredExecutors } from "./executor_records.ts";
import { HostControl } from "./host_control.ts";
import type { EarlierHostOrders } from "./host_order_records.ts";
import { createReservationCheck, createUrgencyRanking } from "./step_ranking.ts";
import { getExecutorId, getIncarnationKey, PollControl } from "./poll_control.ts";
import { MaintenanceControl } from "./maintenance_control.ts";
import { rankBestFit, rankLeastLoaded } from "./placement.ts";
import type { CapacityPolicy } from "./pool_need.ts";
import { OverloadControl } from "./overload_control.ts";
import { PaceControl } from "./pace_control.ts";
import { ProgressControl } from "./progress_control.ts";
import { readStoredQueues } from "./queue_records.ts";
import { TakeOverControl } from "./take_over_control.ts";
import { RoomControl } from "./room_control.ts";
import { RunControl } from "./run_control.ts";
import { RunHealth } from "./run_health.ts";
import {
  type MaintainOrder,
  type MoveOrder,
  type OrderAnswer,
  OrderOutcome,
  type PaceOrder,
  type PollAnswer,
  type StopOrder,
} from "./owner_ports.ts";

/** The clock values and permissions that a decision is made with. */
export interface DecisionContext {
  /** The time on the monotonic clock, in milliseconds. */
  now: number;
  /** The time of day, in milliseconds since 1970. */
  timeOfDay: number;
  /** The number of the claim's last renewal that the owner has seen confirmed. */
  renewal: number;
  /** Whether the owner may start tasks and act on hosts now. */
  mayStart: boolean;
  /** Whether the owner may extend leases now. */
  mayExtend: boolean;
  /** The lease that a poll grants now, in milliseconds. */
  leaseMilliseconds: number;
}

/** Options of a `FleetOwner`. */
export interface FleetOwnerOptions extends FleetStateOptions {
  /** The time of day, in milliseconds since 1970. */
  timeOfDay: number;
  /** The configuration. */
  configuration: Configuration;
  /** The jobs in the journal. */
  jobs: readonly Job[];
  /** The executors in the platform's list. */
  executors: readonly ExecutorEntry[];
  /** The journal entries of earlier owners, as key-value pairs. */
  stored: readonly (readonly [string, Uint8Array])[];
  /** How pool sizes follow the load. */
  capacityPolicy: CapacityPolicy;
  /** The host orders issued by earlier owners. */
  earlierHostOrders: EarlierHostOrders;
  /** The expected duration of a host's maintenance, in milliseconds. */
  maintenanceMilliseconds: number;
  /**
   * How long an earlier owner's runs may go on at executors that do not answer this one, in
   * milliseconds.
   */
  inDoubtMilliseconds: number;
  /**
   * The same at executors that their hosts no longer run, in milliseconds: no later incarnation of
   * theirs can have accepted a start.
   */
  lostInDoubtMilliseconds: number;
}

/** The minimum interval between removals of expired jobs, in milliseconds. */
const REMOVE_EXPIRED_INTERVAL_MILLISECONDS = 5_000;
/** The half-life of an executor's failure score, in milliseconds. */
const FAILURE_HALF_LIFE_MILLISECONDS = 4_000;

/**
 * The minimum time from marking an incarnation as ended to requesting a host list that may clear
 * the mark, in milliseconds.
 */
const END_CLEARING_DELAY_MILLISECONDS = 1_000;

/** The interval of host list reads while hosts are moved or maintained, in milliseconds. */
const BUSY_LIST_INTERVAL_MILLISECONDS = 300;
/** The interval of host list reads otherwise, in milliseconds. */
const IDLE_LIST_INTERVAL_MILLISECONDS = 3_000;

/** Combines the owner's decisions: takes events and sends orders through its ports. */
export class FleetOwner {
  readonly #state: FleetState;
  readonly #runs: RunControl;
  readonly #polls: PollControl;
  readonly #jobs: JobControl;
  readonly #advice: AdviceControl;
  readonly #health: RunHealth;
  readonly #pace: PaceControl;
  readonly #overload: OverloadControl | undefined;
  readonly #room: RoomControl | undefined;
  readonly #dispatch: DispatchControl;
  readonly #hosts: HostControl;
  readonly #maintenance: MaintenanceControl;
  readonly #demand: DemandControl;
  readonly #capacity: PoolSizeControl;
  readonly #takeOver: TakeOverControl;
  readonly #progress: ProgressControl;
  /** The executors in the platform's list. */
  #executorEntries: readonly ExecutorEntry[] = [];
  #listRequestedAt = -Infinity;
  #expiredRemovedAt = 0;
  #decayedAt = 0;

  private constructor(options: FleetOwnerOptions) {
    this.#state = FleetState.create(options);
    this.#state.now = options.startedAt;
    this.#state.timeOfDay = options.timeOfDay;
    for (const queue of readStoredQueues(options.stored)) this.#state.addStoredQueue(queue);
    this.#state.setConfiguration(options.configuration);
    this.#runs = RunControl.create(this.#state);
    this.#polls = PollControl.create(this.#state, this.#runs);
    this.#jobs = JobControl.create(this.#state, this.#runs);
    this.#progress = ProgressControl.create(this.#state);
    this.#advice = AdviceControl.create(this.#state);
    this.#health = RunHealth.create(this.#state, this.#runs);
    this.#pace = PaceControl.create(this.#state);
    const getTicket = (step: JobStep, executor: Executor) => this.#advice.getTicket(step, executor);
    const { features, durationEstimator } = this.#state;
    if (features.ordersBacklog) this.#overload = OverloadControl.create(this.#state);
    if (features.reservesRoom) {
      const mayReserve = createReservationCheck(this.#state, durationEstimator);
      this.#room = RoomControl.create({ state: this.#state, mayReserve, getTicket });
    }
    this.#dispatch = DispatchControl.create({
      state: this.#state,
      runs: this.#runs,
      preparePass: () => this.#overload?.preparePass(),
      rankStep: this.#overload === undefined
        ? createUrgencyRanking(this.#state, durationEstimator)
        : (step) => this.#overload!.getRank(step),
      rankExecutor: features.reservesRoom ? rankBestFit : rankLeastLoaded,
      getTicket,
      room: this.#room,
    });
    const recorded = readStoredExecutors(options.stored);
    const inDoubtUntil = options.startedAt + options.inDoubtMilliseconds;
    this.#takeOver = TakeOverControl.create({
      state: this.#state,
      recorded,
      inDoubtUntil,
      lostInDoubtUntil: options.startedAt + options.lostInDoubtMilliseconds,
    });
    this.#hosts = HostControl.create({
      state: this.#state,
      runs: this.#runs,
      earlierOrders: options.earlierHostOrders,
      inDoubtUntil,
    });
    this.#maintenance = MaintenanceControl.create({
      state: this.#state,
      hosts: this.#hosts,
      handleHostOrderDone: (executor, reason) => this.#polls.handleHostOrderDone(executor, reason),
      maintenanceMilliseconds: options.maintenanceMilliseconds,
      stored: options.stored,
    });
    this.#demand = DemandControl.create({ state: this.#state, stored: options.stored });
    this.#capacity = PoolSizeControl.create({
      state: this.#state,
      demand: this.#demand,
      hosts: this.#hosts,
      maintenance: this.#maintenance,
      handleHostOrderDone: (executor, reason) => this.#polls.handleHostOrderDone(executor, reason),
      policy: options.capacityPolicy,
    });
    this.#jobs.restore(options.jobs);
    this.#state.storeQueues();
    for (const entry of recorded) {
      this.#setExecutor(entry);
      this.#state.executors.get(entry.id)!.record = ExecutorRecordState.Stored;
    }
    this.setExecutors(options.executors);
    this.#takeOver.resolve();
  }

  /** Creates an owner from the journal of earlier owners. */
  static create(options: FleetOwnerOptions): FleetOwner {
    return new FleetOwner(options);
  }

  /** Sets the clock values and permissions for the decisions that follow. */
  setContext(context: DecisionContext): void {
    const state = this.#state;
    if (context.mayStart && !state.mayStart) state.needsDispatch = true;
    state.now = context.now;
    state.timeOfDay = context.timeOfDay;
    state.renewal = context.renewal;
    state.mayStart = context.mayStart && !state.isFenced;
    state.mayExtend = context.mayExtend && !state.isFenced;
    state.leaseMilliseconds = context.leaseMilliseconds;
  }

  /** Sets the configuration. */
  setConfiguration(configuration: Configuration): void {
    this.#state.setConfiguration(configuration);
  }

  /** Sets the zone evacuations and maintenance waves that operators requested. */
  setPlannedActions(requests: OperatorActions): void {
    this.#state.evacuatedZones = requests.evacuatedZones;
    this.#maintenance.setWaves(requests.waves);
    this.#state.needsDispatch = true;
  }

  /** Sets the executors in the platform's list; an executor that left the list gets no starts. */
  setExecutors(entries: readonly ExecutorEntry[]): void {
    const state = this.#state;
    this.#executorEntries = entries;
    const listedIds = new Set(entries.map(({ id }) => id));
    const listedIncarnations = new Set(entries.map(getIncarnationKey));
    for (const entry of entries) this.#setExecutor(entry);
    for (const incarnation of state.endedIncarnations.keys()) {
      if (!listedIds.has(getExecutorId(incarnation))) state.endedIncarnations.delete(incarnation);
    }
    for (const executor of state.executors.values()) {
      executor.isListed = listedIncarnations.has(getIncarnationKey(executor.entry));
      const isIdle = !executor.isListed && executor.runs.size === 0 &&
        !this.#takeOver.isInDoubt(executor.id);
      // The executor may still be running: the list can lose entries along with the platform's
      // store and get them back later.
      if (isIdle) this.#polls.removeExecutor(executor, "no longer listed");
    }
    state.needsDispatch = true;
  }

  /** Submits a job; it is rejected if it can't be stored. */
  submit(submission: Submission, onAccepted: () => void, onRejected?: () => void): void {
    this.#jobs.submit(submission, onAccepted, onRejected);
  }

  /** Gets the estimated memory of the jobs that are accepted or being stored. */
  getJobMemory(): JobMemory {
    return this.#state.jobMemory;
  }

  /** Gets the state of a job as reported to callers, or undefined if the job is not known. */
  getJobState(id: string): JobState | undefined {
    return this.#jobs.getState(id);
  }

  /** Gets whether an executor has rejected an order because of a later owner's fence. */
  isFenced(): boolean {
    return this.#state.isFenced;
  }

  /** Gets how long leases of this owner and of earlier ones may remain, in milliseconds. */
  getRemainingLeaseMilliseconds(): number {
    let end = this.#takeOver.getEndTime();
    for (const executor of this.#state.executors.values()) {
      end = Math.max(end, this.#polls.getLongestLeaseExpiryTime(executor));
    }
    return Math.max(0, end - this.#state.now);
  }

  /** Gets the customer of a job that is accepted or being stored, and so may run. */
  findCustomer(id: string): string | undefined {
    return this.#jobs.findCustomer(id);
  }

  /** Gets the number of jobs in a queue that have not started. */
  getQueuedJobCount(queue: string): number {
    return this.#jobs.getQueuedJobCount(queue);
  }

  /** Gets the counts for a single job: each is 0 or 1. */
  countJob(id: string): JobCounts {
    return this.#jobs.countJob(id);
  }

  /** Counts the jobs of a queue that have not ended. */
  countQueue(queue: string): JobCounts {
    return this.#jobs.countQueue(queue);
  }

  /** Cancels a job, and calls back when the cancellation is stored. */
  cancel(id: string, onCancelled: () => void): void {
    this.#jobs.cancel(id, onCancelled);
  }

  /** Handles the answer to a start order. */
  handleStartAnswer(
    executorId: string,
    taskName: string,
    runNumber: number,
    answer: OrderAnswer,
  ): void {
    if (answer.outcome === OrderOutcome.NoTicket) this.#advice.removeTicket(taskName, executorId);
    this.#runs.handleStartAnswer(executorId, taskName, runNumber, answer);
  }

  /** Handles the answer to a pace order. */
  handlePaceAnswer(order: PaceOrder, answer: OrderAnswer): void {
    this.#pace.handleAnswer(order, answer);
  }

  /** Handles the answer to a stop order. */
  handleStopAnswer(order: StopOrder, answer: OrderAnswer): void {
    this.#runs.handleStopAnswer(order, answer);
  }

  /** Handles the answer to a poll. */
  handlePollAnswer(executorId: string, sentAt: number, answer: PollAnswer): void {
    this.#polls.handleAnswer(executorId, sentAt, answer);
    this.#takeOver.resolve();
  }

  /** Sets the provider's host list, with the monotonic time at which it was requested. */
  setHosts(hosts: readonly Host[], requestedAt: number): void {
    this.#hosts.setHosts(hosts, requestedAt);
    this.#hosts.markLostHosts();
    this.#handleLostHosts();
    this.#takeOver.resolve();
    this.#clearMistakenEnds();
  }

  /** Handles the answer to a host maintenance order. */
  handleMaintainAnswer(order: MaintainOrder, outcome: HostOrderOutcome): void {
    this.#maintenance.handleAnswer(order, outcome);
  }

  /** Handles the adviser's answer, or undefined if there was none. */
  handleAdvice(step: string, executorIds: readonly string[], advice: Advice | undefined): void {
    this.#advice.handleAnswer(step, executorIds, advice);
  }

  /** Handles the answer to a host move order. */
  handleMoveAnswer(order: MoveOrder, outcome: HostOrderOutcome): void {
    this.#capacity.handleAnswer(order, outcome);
  }

  /** Runs the periodic work. */
  tick(): void {
    const state = this.#state;
    this.#jobs.tick();
    this.#takeOver.resolve();
    if (state.now - this.#expiredRemovedAt > REMOVE_EXPIRED_INTERVAL_MILLISECONDS) {
      this.#expiredRemovedAt = state.now;
      this.#jobs.removeExpired();
    }
    this.#decayFailures();
    this.#requestHosts();
    this.#health.tick();
    this.#pace.tick();
    this.#advice.tick();
    this.#maintenance.tick();
    this.#demand.tick();
    this.#capacity.tick();
    state.needsDispatch = true;
  }

  /**
   * Starts ready tasks, writes changed progress to the journal and sends the polls that are due.
   * Called once after all events of a turn of the event loop, so that one journal write covers all
   * of them.
   */
  flush(): void {
    this.#dispatch.run();
    this.#progress.store();
    this.#polls.tick();
  }

  /** Gets the figures for the state dump and the metrics. */
  getSummary(): Readonly<Record<string, number>> {
    const state = this.#state;
    let running = 0;
    for (const executor of state.executors.values()) running += executor.runs.size;
    return {
      fence: state.fence,
      executors: state.executors.size,
      jobs: state.jobs.size,
      readySteps: state.ready.size,
      running,
      startWindow: state.startWindow.getLimit(),
      ...this.#jobs.getSummary(),
      ...this.#overload?.getSummary(),
      ...this.#demand.getSummary(),
      ...this.#room?.getSummary(),
    };
  }

  #requestHosts(): void {
    const state = this.#state;
    const interval = this.#maintenance.isActive()
      ? BUSY_LIST_INTERVAL_MILLISECONDS
      : IDLE_LIST_INTERVAL_MILLISECONDS;
    if (!state.mayStart || state.now - this.#listRequestedAt < interval) return;
    this.#listRequestedAt = state.now;
    state.ports.listHosts();
  }

  #setExecutor(entry: ExecutorEntry): void {
    const state = this.#state;
    if (state.endedIncarnations.has(getIncarnationKey(entry))) return;
    const known = state.executors.get(entry.id);
    if (known !== undefined && known.entry.born !== entry.born) {
      if (known.entry.born < entry.born) this.#polls.handleRestart(known, entry);
      return;
    }
    if (known !== undefined) {
      known.entry = entry;
      return;
    }
    const created = Executor.create(entry);
    created.knownSince = state.now;
    state.executors.set(entry.id, created);
    state.log("executor-listed", {
      executor: entry.id,
      service: entry.service,
      zone: entry.zone,
      born: entry.born,
    });
  }

  /**
   * Handles the end of executors that earlier owners used and whose hosts have been maintained or
   * reassigned since: none of their runs can still be executing.
   */
  #handleLostHosts(): void {
    for (const executor of this.#takeOver.getSilentExecutors()) {
      if (this.#hosts.hasLostHost(executor)) {
        this.#polls.handleExecutorEnded(executor, "host maintained or reassigned");
      }
    }
  }

  /**
   * Clears the mark of executors that were marked as ended and whose host is up in a later list.
   *
   * The provider reports an order as done also if an earlier order had already had its effect. The
   * executor that was marked is then the one started after the earlier order and is still running.
   */
  #clearMistakenEnds(): void {
    const { endedIncarnations: ended } = this.#state;
    const listRequestedAt = this.#hosts.getListRequestedAt();
    const hosts = [...this.#hosts.getHosts().values()];
    const isUp = new Set(
      hosts.filter((host) => this.#hosts.isUp(host)).map((host) => host.executorId),
    );
    const restored = [...ended].filter(([incarnation, since]) =>
      isUp.has(getExecutorId(incarnation)) &&
      listRequestedAt - since > END_CLEARING_DELAY_MILLISECONDS
    );
    if (restored.length === 0) return;
    for (const [incarnation] of restored) ended.delete(incarnation);
    this.#state.log("executors-restored", {
      incarnations: restored.map(([incarnation]) => incarnation).join(" "),
    });
    this.setExecutors(this.#executorEntries);
  }

  #decayFailures(): void {
    const state = this.#state;
    const factor = 2 ** (-(state.now - this.#decayedAt) / FAILURE_HALF_LIFE_MILLISECONDS);
    this.#decayedAt = state.now;
    for (const executor of state.executors.values()) executor.failureScore *= factor;
  }
}
