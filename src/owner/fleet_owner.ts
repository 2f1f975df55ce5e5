/** The owner of the fleet: the one that decides, while it holds the claim. */

import type { Configuration } from "../fleet/configuration.ts";
import { Executor, ExecutorRecord } from "../fleet/executor.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { Job, JobState } from "../fleet/job.ts";
import { TaskState } from "../fleet/job.ts";
import type { Host, HostOrderOutcome } from "../fleet/host.ts";
import type { OperatorRequests } from "../fleet/maintenance_wave.ts";
import { type Advice, AdviceControl } from "./advice_control.ts";
import { Capacity } from "./capacity.ts";
import { Dispatch } from "./dispatch.ts";
import { FleetState, type FleetStateOptions } from "./fleet_state.ts";
import { type JobCounts, JobDesk, type Submission } from "./job_desk.ts";
import { readStoredExecutors } from "./executor_records.ts";
import { HostControl } from "./host_control.ts";
import type { EarlierHostOrders } from "./host_order_records.ts";
import { addResources, limitResources, NO_RESOURCES, type Resources } from "../fleet/resources.ts";
import { createUrgencyOrder } from "./job_order.ts";
import { createProgressEntry } from "./job_records.ts";
import { getLife, getLifeId, LookControl } from "./look_control.ts";
import { Maintenance } from "./maintenance.ts";
import { rankLeastLoaded } from "./placement.ts";
import type { CapacityPolicy } from "./pool_need.ts";
import { PaceControl } from "./pace_control.ts";
import { readStoredQueues } from "./queue_records.ts";
import { RunControl } from "./run_control.ts";
import { RunHealth } from "./run_health.ts";
import {
  type LookAnswer,
  type MaintainOrder,
  type MoveOrder,
  type OrderAnswer,
  OrderOutcome,
  type PaceOrder,
} from "./owner_ports.ts";

/** What holds at the moment of a decision. */
export interface OwnerMoment {
  /** The time on the steady clock, in milliseconds. */
  now: number;
  /** The time of day, in milliseconds since 1970. */
  timeOfDay: number;
  /** The renewals of the owner's claim that it knows of. */
  renewal: number;
  /** Whether the owner may start tasks and act on hosts now. */
  mayStart: boolean;
  /** Whether the owner may extend leases now. */
  mayExtend: boolean;
  /** The lease that a look grants now, in milliseconds. */
  leaseMilliseconds: number;
}

/** Options of a `FleetOwner`. */
export interface FleetOwnerOptions extends FleetStateOptions {
  /** The time of day, in milliseconds since 1970. */
  timeOfDay: number;
  /** The configuration. */
  configuration: Configuration;
  /** The jobs that earlier owners stored. */
  jobs: readonly Job[];
  /** The executors that are listed. */
  executors: readonly ExecutorEntry[];
  /** What earlier owners stored, by key. */
  stored: readonly (readonly [string, Uint8Array])[];
  /** How the sizes of pools follow their load. */
  capacityTerms: CapacityPolicy;
  /** The orders for hosts that earlier owners gave. */
  earlierHostOrders: EarlierHostOrders;
  /** How long a host is away for maintenance, in milliseconds. */
  maintenanceMilliseconds: number;
  /** How long an earlier owner's starts may still run where this one cannot look, in milliseconds. */
  doubtMilliseconds: number;
}

/** The least time between two rounds of forgetting, in milliseconds. */
const FORGET_MILLISECONDS = 5_000;
/** How fast the memory of an executor's failures fades: it halves in this time, in milliseconds. */
const FAILURE_HALF_LIFE_MILLISECONDS = 4_000;

/** How long after the end of a life a list must have been read to contradict it, in milliseconds. */
const REVIVAL_MILLISECONDS = 1_000;

/** How often the provider's list is read while hosts are being moved or maintained, in milliseconds. */
const BUSY_LIST_MILLISECONDS = 300;
/** How often the provider's list is read otherwise, in milliseconds. */
const IDLE_LIST_MILLISECONDS = 3_000;

/** All decisions of the owner: events in, orders out through its ports. */
export class FleetOwner {
  readonly #state: FleetState;
  readonly #runs: RunControl;
  readonly #looks: LookControl;
  readonly #desk: JobDesk;
  readonly #advice: AdviceControl;
  readonly #health: RunHealth;
  readonly #pace: PaceControl;
  readonly #dispatch: Dispatch;
  readonly #hosts: HostControl;
  readonly #maintenance: Maintenance;
  readonly #capacity: Capacity;
  readonly #doubtUntil: number;
  /** The executors that the earlier owner used and that have not answered this one. */
  readonly #unsettled = new Set<string>();
  /** The executors that are listed. */
  #entries: readonly ExecutorEntry[] = [];
  #askedAt = -Infinity;
  #forgotAt = 0;
  #decayedAt = 0;

  private constructor(options: FleetOwnerOptions) {
    this.#state = FleetState.create(options);
    this.#state.now = options.startedAt;
    this.#state.timeOfDay = options.timeOfDay;
    for (const queue of readStoredQueues(options.stored)) this.#state.rememberQueue(queue);
    this.#state.setConfiguration(options.configuration);
    this.#runs = RunControl.create(this.#state);
    this.#looks = LookControl.create(this.#state, this.#runs);
    this.#desk = JobDesk.create(this.#state, this.#runs);
    this.#advice = AdviceControl.create(this.#state);
    this.#health = RunHealth.create(this.#state, this.#runs);
    this.#pace = PaceControl.create(this.#state);
    this.#dispatch = Dispatch.create({
      state: this.#state,
      runs: this.#runs,
      rankStep: createUrgencyOrder(this.#state, this.#state.durations),
      rankExecutor: rankLeastLoaded,
      getTicket: (step, executor) => this.#advice.getTicket(step, executor),
    });
    this.#doubtUntil = options.startedAt + options.doubtMilliseconds;
    this.#hosts = HostControl.create({
      state: this.#state,
      runs: this.#runs,
      earlierOrders: options.earlierHostOrders,
      inDoubtUntil: this.#doubtUntil,
    });
    this.#maintenance = Maintenance.create({
      state: this.#state,
      hosts: this.#hosts,
      endExecutor: (executor, reason) => this.#looks.endExecutor(executor, reason),
      awayMilliseconds: options.maintenanceMilliseconds,
      stored: options.stored,
    });
    this.#capacity = Capacity.create({
      state: this.#state,
      hosts: this.#hosts,
      maintenance: this.#maintenance,
      endExecutor: (executor, reason) => this.#looks.endExecutor(executor, reason),
      policy: options.capacityTerms,
    });
    for (const job of options.jobs) this.#desk.restore(job);
    const recorded = readStoredExecutors(options.stored);
    for (const entry of recorded) {
      this.#unsettled.add(entry.id);
      this.#setExecutor(entry);
      this.#state.executors.get(entry.id)!.record = ExecutorRecord.Stored;
    }
    this.setExecutors(options.executors);
    this.#settleUnknown();
  }

  /** Creates an owner from what earlier owners stored. */
  static create(options: FleetOwnerOptions): FleetOwner {
    return new FleetOwner(options);
  }

  /** Sets what holds from now on. */
  setMoment(moment: OwnerMoment): void {
    const state = this.#state;
    if (moment.mayStart && !state.mayStart) state.needsDispatch = true;
    state.now = moment.now;
    state.timeOfDay = moment.timeOfDay;
    state.renewal = moment.renewal;
    state.mayStart = moment.mayStart && !state.isDeposed;
    state.mayExtend = moment.mayExtend && !state.isDeposed;
    state.leaseMilliseconds = moment.leaseMilliseconds;
  }

  /** Sets the configuration. */
  setConfiguration(configuration: Configuration): void {
    this.#state.setConfiguration(configuration);
  }

  /** Sets what operators have asked for. */
  setRequests(requests: OperatorRequests): void {
    this.#state.evacuatedZones = requests.evacuatedZones;
    this.#maintenance.setWaves(requests.waves);
    this.#state.needsDispatch = true;
  }

  /** Sets the executors that are listed; one that is listed no more gets no starts. */
  setExecutors(entries: readonly ExecutorEntry[]): void {
    const state = this.#state;
    this.#entries = entries;
    const listed = new Set<string>();
    for (const entry of entries) {
      listed.add(entry.id);
      this.#setExecutor(entry);
    }
    for (const life of state.departed.keys()) {
      if (!listed.has(getLifeId(life))) state.departed.delete(life);
    }
    for (const executor of state.executors.values()) {
      executor.isListed = listed.has(executor.id);
      const isIdle = !executor.isListed && executor.runs.size === 0 &&
        !this.#unsettled.has(executor.id);
      // Its life may go on: the list loses entries with the platform's store, and has them back.
      if (isIdle) this.#looks.dropExecutor(executor, "it is listed no more");
    }
    state.needsDispatch = true;
  }

  /** Submits a job. */
  submit(submission: Submission, onAccepted: () => void): void {
    this.#desk.submit(submission, onAccepted);
  }

  /** Gets what a caller is told of a job, or undefined if there is none. */
  getJobState(id: string): JobState | undefined {
    return this.#desk.getState(id);
  }

  /** Gets whether an executor has seen the fence of a later owner. */
  isDeposed(): boolean {
    return this.#state.isDeposed;
  }

  /** Gets whether a job is being stored. */
  isAccepting(id: string): boolean {
    return this.#desk.isAccepting(id);
  }

  /** Gets the number of a queue's jobs that wait. */
  getWaitingCount(queue: string): number {
    return this.#desk.getWaitingCount(queue);
  }

  /** Counts how far a job has come, for logs. */
  countJob(id: string): JobCounts {
    return this.#desk.countJob(id);
  }

  /** Counts how far the jobs of a queue have come, for logs. */
  countQueue(queue: string): JobCounts {
    return this.#desk.countQueue(queue);
  }

  /** Cancels a job, and tells when that is stored. */
  cancel(id: string, onCancelled: () => void): void {
    this.#desk.cancel(id, onCancelled);
  }

  /** Acts on the answer to a start. */
  handleStartAnswer(executorId: string, task: string, run: number, answer: OrderAnswer): void {
    if (answer.outcome === OrderOutcome.NoTicket) this.#advice.removeTicket(task, executorId);
    this.#runs.handleStartAnswer(executorId, task, run, answer);
  }

  /** Acts on the answer to an order on a run's pace. */
  handlePaceAnswer(order: PaceOrder, answer: OrderAnswer): void {
    this.#pace.handleAnswer(order, answer);
  }

  /** Acts on the answer to a stop. */
  handleStopAnswer(executorId: string, task: string, run: number, answer: OrderAnswer): void {
    this.#runs.handleStopAnswer(executorId, task, run, answer);
  }

  /** Acts on the answer to a look. */
  handleLookAnswer(executorId: string, sentAt: number, answer: LookAnswer): void {
    this.#looks.handleAnswer(executorId, sentAt, answer);
    this.#settleUnknown();
  }

  /** Sets the provider's list of hosts, whose reading began at a time on the steady clock. */
  setHosts(hosts: readonly Host[], readSince: number): void {
    this.#hosts.setHosts(hosts, readSince);
    this.#endTaken();
    this.#settleUnknown();
    this.#revive();
  }

  /** Acts on the answer to an order to maintain a host. */
  handleMaintainAnswer(order: MaintainOrder, outcome: HostOrderOutcome): void {
    this.#maintenance.handleAnswer(order, outcome);
  }

  /** Takes the adviser's answer, or undefined if there was none. */
  handleAdvice(step: string, asked: readonly string[], advice: Advice | undefined): void {
    this.#advice.handleAnswer(step, asked, advice);
  }

  /** Acts on the answer to an order to move a host. */
  handleMoveAnswer(order: MoveOrder, outcome: HostOrderOutcome): void {
    this.#capacity.handleAnswer(order, outcome);
  }

  /** Does what time demands. */
  tick(): void {
    const state = this.#state;
    this.#desk.tick();
    this.#settleUnknown();
    if (state.now - this.#forgotAt > FORGET_MILLISECONDS) {
      this.#forgotAt = state.now;
      this.#desk.forget();
    }
    this.#decayFailures();
    this.#askForHosts();
    this.#health.tick();
    this.#pace.tick();
    this.#advice.tick();
    this.#maintenance.tick();
    this.#capacity.tick();
    state.needsDispatch = true;
  }

  /** Carries out what the events so far ask for. */
  settle(): void {
    this.#dispatch.run();
    this.#storeProgress();
    this.#looks.tick();
  }

  /** Gets what the state dump and the metrics show. */
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
    };
  }

  #askForHosts(): void {
    const state = this.#state;
    const interval = this.#maintenance.isActive() ? BUSY_LIST_MILLISECONDS : IDLE_LIST_MILLISECONDS;
    if (!state.mayStart || state.now - this.#askedAt < interval) return;
    this.#askedAt = state.now;
    state.ports.listHosts();
  }

  #setExecutor(entry: ExecutorEntry): void {
    const state = this.#state;
    if (state.departed.has(getLife(entry))) return;
    const known = state.executors.get(entry.id);
    if (known !== undefined && known.entry.born !== entry.born && entry.born !== 0) {
      if (known.entry.born > entry.born) return;
      this.#looks.endExecutor(known, "it was born again");
    }
    const executor = state.executors.get(entry.id);
    if (executor !== undefined) {
      executor.entry = entry;
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

  /** Ends what the earlier owner used on hosts that have been taken since: nothing runs there. */
  #endTaken(): void {
    const state = this.#state;
    for (const id of this.#unsettled) {
      const executor = state.executors.get(id);
      // A life that began since is not the one that the earlier owner used.
      if (executor === undefined || executor.knownSince > state.startedAt) continue;
      if (executor.hasAcceptedFence) continue;
      if (this.#hosts.hasLostHost(executor)) {
        this.#looks.endExecutor(executor, "its host was taken");
      }
    }
  }

  /**
   * Uses executors again that an order for their host has not ended.
   *
   * An order is answered as done also if an earlier one was: the host's executor is a new one then,
   * and lives on.
   */
  #revive(): void {
    const { departed } = this.#state;
    const listedAt = this.#hosts.getListedAt();
    const hosts = [...this.#hosts.getHosts().values()];
    const isUp = new Set(
      hosts.filter((host) => this.#hosts.isUp(host)).map((host) => host.executorId),
    );
    const revived = [...departed].filter(([life, since]) =>
      isUp.has(getLifeId(life)) && listedAt - since > REVIVAL_MILLISECONDS
    );
    if (revived.length === 0) return;
    for (const [life] of revived) departed.delete(life);
    this.#state.log("executors-revived", { lives: revived.map(([life]) => life).join(" ") });
    this.setExecutors(this.#entries);
  }

  /** Lets tasks start that no earlier owner can still have running. */
  #settleUnknown(): void {
    const state = this.#state;
    if (!state.hasUnknown) return;
    const isDoubtOver = state.now >= this.#doubtUntil;
    const doubtful = new Set<string>();
    const room = { ...NO_RESOURCES };
    for (const id of this.#unsettled) {
      const executor = state.executors.get(id);
      if (executor === undefined || executor.hasAcceptedFence || isDoubtOver) {
        this.#unsettled.delete(id);
      } else {
        doubtful.add(executor.entry.service);
        addResources(room, executor.entry.capacity);
      }
    }
    const usage = new Map<string, Resources>();
    for (const job of state.jobs.values()) {
      if (job.outcome !== undefined) continue;
      const service = state.getService(job);
      const isDoubtful = service !== undefined && doubtful.has(service);
      for (const task of job.getTasks()) {
        if (task.state !== TaskState.Unknown) continue;
        if (isDoubtful) addTo(usage, job.customer, task.step.specification.demand);
        else state.requeueUnknown(task);
      }
    }
    // What may run unseen fits into the executors that have not answered.
    for (const resources of usage.values()) limitResources(resources, room);
    state.doubtfulUsage = usage;
    if (this.#unsettled.size === 0 && state.configuration.version > 0) state.hasUnknown = false;
  }

  #storeProgress(): void {
    const state = this.#state;
    const ends: [Executor, number][] = [];
    for (const executor of state.executors.values()) {
      if (executor.handledEnd > executor.sentEnd) ends.push([executor, executor.handledEnd]);
    }
    if (state.changedJobs.size === 0 && ends.length === 0) return;
    const jobs = [...state.changedJobs];
    const ended = jobs.filter((job) => job.outcome !== undefined);
    state.changedJobs.clear();
    for (const [executor, end] of ends) executor.sentEnd = end;
    state.ports.write(jobs.map(createProgressEntry), () => {
      for (const [executor, end] of ends) executor.storedEnd = Math.max(executor.storedEnd, end);
      for (const job of ended) job.isOutcomeStored = true;
    });
  }

  #decayFailures(): void {
    const state = this.#state;
    const factor = 2 ** (-(state.now - this.#decayedAt) / FAILURE_HALF_LIFE_MILLISECONDS);
    this.#decayedAt = state.now;
    for (const executor of state.executors.values()) executor.failureScore *= factor;
  }
}

function addTo(usage: Map<string, Resources>, customer: string, demand: Resources): void {
  const total = usage.get(customer) ?? { ...NO_RESOURCES };
  addResources(total, demand);
  usage.set(customer, total);
}
