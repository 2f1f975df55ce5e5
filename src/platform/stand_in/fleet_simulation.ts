/** Simulates a fleet and its owner in virtual time, and checks the invariants at every step. */

import {
  type EarlierLeases,
  getEarlierLeases,
  getLeaseWaitMilliseconds,
} from "../../ownership/lease_bounds.ts";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { EventLog } from "../../events/mod.ts";
import { Configuration, type ConfigurationData } from "../../fleet/configuration.ts";
import type { ExecutorEntry } from "../../fleet/executor_entry.ts";
import type { Host } from "../../fleet/host.ts";
import type { JobSpecification } from "../../fleet/job_specification.ts";
import type { MaintenanceWave } from "../../fleet/maintenance_wave.ts";
import { RunEnd } from "../../fleet/run.ts";
import {
  type Answer,
  AnswerOutcome,
  type Call,
  CallKind,
  isNotCarriedOut,
} from "../../front/call.ts";
import type { ForwardedCall } from "../../front/call_frame.ts";
import { CallControl } from "../../owner/call_control.ts";
import { FleetOwner } from "../../owner/fleet_owner.ts";
import { getIncarnationKey } from "../../owner/poll_control.ts";
import { DEFAULT_CAPACITY_POLICY } from "../../owner/pool_need.ts";
import { EarlierHostOrders } from "../../owner/host_order_records.ts";
import { readStoredJobs } from "../../owner/job_records.ts";
import { type JournalEntry, OrderOutcome, type OwnerPorts } from "../../owner/owner_ports.ts";
import type { Claim } from "../../ownership/ownership_ports.ts";
import { EventQueue } from "../../stand_ins/event_queue.ts";
import type { Reply } from "../../tasks/mod.ts";
import {
  ExecutorModel,
  MAXIMUM_LEASE_MILLISECONDS,
  type ModelRun,
  type RunPlan,
} from "./executor_model.ts";
import { START_SEND_LIMIT_MILLISECONDS } from "../executor_client.ts";
import { FrontModel } from "./front_model.ts";
import { InvariantChecker } from "./invariant_checker.ts";
import { OwnerModel } from "./owner_model.ts";
import { ProviderModel } from "./provider_model.ts";
import { LivenessChecker } from "./liveness_checker.ts";
import { RunHistory } from "./run_history.ts";
import type { FleetSimulationOptions, SimulationFaults } from "./simulation_options.ts";
import { SubmissionChecker } from "./submission_checker.ts";
import { JOB_LIMITS } from "../../stand_ins/fleet_fixtures.ts";

/** The duration of the leases that the owner grants, in milliseconds. */
const LEASE_MILLISECONDS = 3_000;
/** The time after which an order counts as unanswered, in milliseconds. */
const ORDER_TIMEOUT_MILLISECONDS = 700;
/** The maximum delay of an append's answer if the first answer is lost, in milliseconds. */
const MAXIMUM_APPEND_DELAY_MILLISECONDS = 1_500;
/** How long stopping a run takes, in milliseconds. */
const STOP_MILLISECONDS = 300;
/** How long a move takes a host out of service, in milliseconds. */
const MOVE_MILLISECONDS = 1_500;
/** How long maintenance takes a host out of service, in milliseconds. */
const MAINTENANCE_MILLISECONDS = 2_000;
/**
 * The time after which an unavailable task counts against the disruption budget even if no order
 * caused it, in milliseconds.
 */
const UNAVAILABILITY_THRESHOLD_MILLISECONDS = 4_500;
/** The time until the owner sees a change of the listed executors, in milliseconds. */
const LISTING_DELAY_MILLISECONDS = 100;
/**
 * How long a wave may be shown as completed after hosts were added to it, in milliseconds:
 * until the next host list was read, and 1 s more.
 */
const MAXIMUM_REOPENING_MILLISECONDS = 4_000;
/**
 * The field `born` of an executor that starts at virtual time 0, in milliseconds since 1970. It is
 * not 0, which would mean an unknown start.
 */
const INCARNATION_AT_START_MILLISECONDS = 1_000;
/** The number of fronts that callers submit jobs through. */
const FRONT_COUNT = 3;
/** The maximum delay of a message between a front and the owner, in milliseconds. */
const MAXIMUM_LINK_DELAY_MILLISECONDS = 5;
/** The maximum delay of a delivery that is carried out after its link was lost, in milliseconds. */
const MAXIMUM_DELIVERY_DELAY_MILLISECONDS = 1_500;
/** The maximum time until a front has a new link, to the same owner or a new one, in milliseconds. */
const MAXIMUM_RECONNECTION_MILLISECONDS = 400;
/** The maximum time until a host knows a configuration that was published, in milliseconds. */
const MAXIMUM_CONFIGURATION_DELAY_MILLISECONDS = 800;
/** The maximum time until a caller repeats a submission that is in doubt, in milliseconds. */
const MAXIMUM_REPETITION_DELAY_MILLISECONDS = 300;
/** The number of times that a caller submits a job that is in doubt. */
const MAXIMUM_ATTEMPTS = 3;
/** How long a paused owner's claim goes unrenewed before the next owner takes over, in milliseconds. */
const MINIMUM_TAKE_OVER_MILLISECONDS = 1_000;
/** The additional time until the take-over is complete, at most, in milliseconds. */
const MAXIMUM_TAKE_OVER_DELAY_MILLISECONDS = 1_500;
/** How long an owner that wakes takes to learn that it is replaced, at most, in milliseconds. */
const MAXIMUM_DEPOSITION_DELAY_MILLISECONDS = 700;
/** The fraction of the orders under way at the start of a pause that are not held up by it. */
const SENT_FRACTION = 0.5;
/** The virtual time of a step, in milliseconds; it equals the owner's tick interval. */
const STEP_MILLISECONDS = 25;

/** How an executor restarts. */
export interface RestartOptions {
  /** How long its earlier incarnation stays listed, in milliseconds. */
  listingMilliseconds: number;
  /** How long it carries orders out and answers none, in milliseconds. */
  muteMilliseconds: number;
}

/** A simulated fleet with its owner, and the checks on both. */
export class FleetSimulation {
  /** The number of events by kind. */
  readonly eventCounts: Record<string, number> = {};
  /** The total time that hosts spent in pools other than spare ones, in milliseconds. */
  pooledHostMilliseconds = 0;
  readonly #options: FleetSimulationOptions;
  readonly #invariantChecker: InvariantChecker;
  readonly #livenessChecker: LivenessChecker;
  #faults: SimulationFaults;
  readonly #provider: ProviderModel;
  readonly #random: () => number;
  /** Random numbers for the journal's answers, which leave the sequence of all others unchanged. */
  readonly #journalRandom: () => number;
  /** Random numbers for calls through fronts, which leave the sequence of all others unchanged. */
  readonly #callRandom: () => number;
  /** Random numbers for restarts and owner changes, which leave the sequence of all others unchanged. */
  readonly #changeRandom: () => number;
  readonly #history = RunHistory.create(() => this.#now);
  readonly #submissionChecker: SubmissionChecker;
  readonly #fronts: readonly FrontModel[];
  /** The newest configuration that each owner knows, by its fence. */
  readonly #ownerConfigurations = new Map<number, Configuration>();
  readonly #models = new Map<string, ExecutorModel>();
  readonly #entries = new Map<string, ExecutorEntry>();
  readonly #journal = new Map<string, Uint8Array>();
  readonly #evacuatedZones = new Set<string>();
  readonly #waves = new Map<number, MaintenanceWave>();
  /** When each wave was last requested, or a host of it was last added. */
  readonly #wavesChangedAt = new Map<number, number>();
  /** The hosts of each wave that the provider knows. */
  readonly #providerWaves = new Map<number, ReadonlySet<string>>();
  /** The entries of executors that no longer exist and are still listed. */
  readonly #staleEntries = new Map<string, ExecutorEntry>();
  /** The existing executors whose entries are not listed. */
  readonly #unlistedExecutors = new Set<string>();
  /** The entries of earlier incarnations that are listed in place of restarted executors. */
  readonly #earlierEntries = new Map<string, ExecutorEntry>();
  /** Until when executors carry out orders and answer none. */
  readonly #muteUntil = new Map<string, number>();
  readonly #completedWaves = new Set<number>();
  readonly #events = EventQueue.create();
  #published: ConfigurationData;
  #owner: FleetOwner | undefined;
  #ownerModel: OwnerModel | undefined;
  #calls: CallControl | undefined;
  #fence = 0;
  /** When the last append was or will be stored. */
  #lastStoredAt = 0;
  /** When the last append was or will be answered. */
  #lastAppendAnsweredAt = 0;
  #createdExecutorCount = 0;
  /** Whether an order is being delivered late: after it counted as unanswered. */
  #isDeliveringLate = false;
  #now = 0;

  private constructor(options: FleetSimulationOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    this.#journalRandom = createRandom(options.seed + 1);
    this.#callRandom = createRandom(options.seed + 2);
    this.#changeRandom = createRandom(options.seed + 3);
    this.#published = options.configuration;
    this.#faults = options.faults;
    this.#fronts = Array.from({ length: FRONT_COUNT }, () =>
      FrontModel.create({
        configuration: this.#createConfiguration(),
        getNow: () => this.#now,
        deliver: (front, call, reply) => this.#deliverCall(front, call, reply),
      }));
    this.#invariantChecker = InvariantChecker.create({
      configuration: options.configuration,
      unavailabilityThresholdMilliseconds: UNAVAILABILITY_THRESHOLD_MILLISECONDS,
    });
    this.#submissionChecker = SubmissionChecker.create({
      configuration: options.configuration,
      configurationDelayMilliseconds: MAXIMUM_CONFIGURATION_DELAY_MILLISECONDS,
      onViolation: (rule, description) => this.#invariantChecker.addViolation(rule, description),
    });
    this.#livenessChecker = LivenessChecker.create({
      configuration: options.configuration,
      onViolation: (rule, description) => this.#invariantChecker.addViolation(rule, description),
    });
    for (const entry of options.executors ?? []) {
      this.#entries.set(entry.id, entry);
      this.#models.set(entry.id, this.#createModel(entry));
    }
    this.#provider = ProviderModel.create({
      hosts: options.hosts ?? [],
      moveMilliseconds: MOVE_MILLISECONDS,
      maintenanceMilliseconds: MAINTENANCE_MILLISECONDS,
      leaseMilliseconds: LEASE_MILLISECONDS,
      isInWave: (host, wave) => this.#providerWaves.get(wave)?.has(host) === true,
      onOutOfService: (host) => this.#handleHostOutOfService(host),
      onRemoved: (host) => this.#removeExecutor(host.executorId),
      onInService: (host) => this.#createExecutor(host),
      onViolation: (rule, description) => this.#invariantChecker.addViolation(rule, description),
    });
  }

  /** Creates a simulation with its first owner. */
  static create(options: FleetSimulationOptions): FleetSimulation {
    const simulation = new FleetSimulation(options);
    simulation.replaceOwner();
    return simulation;
  }

  /** Gets the virtual time, in milliseconds. */
  getNow(): number {
    return this.#now;
  }

  /** The violations of invariants, as lines. */
  get violations(): readonly string[] {
    const repetitions = this.#history.violations.map((description) => `TWICE: ${description}`);
    return [...this.#invariantChecker.violations, ...repetitions];
  }

  /** Gets the ids of the existing executors, of one service or of all. */
  getExecutorIds(service?: string): string[] {
    const entries = [...this.#entries.values()];
    return entries.filter((entry) => (service ?? entry.service) === entry.service)
      .map(({ id }) => id);
  }

  /** Gets the number of host moves that were started. */
  getMoveCount(): number {
    return this.#provider.moves;
  }

  /** Gets whether a wave is shown to operators as completed. */
  isCompleted(wave: number): boolean {
    return this.#completedWaves.has(wave);
  }

  /** Submits a job. */
  submit(id: string, queue: string, customer: string, specification: JobSpecification): void {
    this.#invariantChecker.addJob(id, { queue, customer, specification });
    this.#livenessChecker.addJob(id, { queue, customer, specification });
    const submitted = this.#options.falsifiedInput?.job?.(specification) ?? specification;
    this.#withOwner((owner) =>
      owner.submit({ id, queue, customer, specification: submitted }, () => {
        this.#countEvent("accepted");
        this.#invariantChecker.addAcceptedJob(id, this.#now);
        this.#livenessChecker.addAcceptedJob(id);
      })
    );
  }

  /** Submits a job through a front; a caller that is told that it is in doubt submits it again. */
  submitThroughFront(id: string, queueName: string, key: string, job: JobSpecification): void {
    const { queues, customers } = this.#options.configuration;
    const { host, pathPrefix } = queues.find(({ name }) => name === queueName)!;
    const customer = customers.find(({ keys }) => keys.includes(key))?.name ?? "";
    this.#invariantChecker.addJob(id, { queue: queueName, customer, specification: job });
    this.#livenessChecker.addJob(id, { queue: queueName, customer, specification: job });
    this.#submit(
      {
        kind: CallKind.Submit,
        host,
        path: pathPrefix + id,
        jobId: id,
        key,
        specification: job,
      },
      MAXIMUM_ATTEMPTS,
    );
  }

  /** Publishes a configuration, which the owner and each front learn with a delay of their own. */
  publish(configuration: ConfigurationData): void {
    this.#published = configuration;
    this.#submissionChecker.addConfiguration(configuration, this.#now);
    const known = this.#createConfiguration();
    const fence = this.#fence;
    const getDelay = () => this.#callRandom() * MAXIMUM_CONFIGURATION_DELAY_MILLISECONDS;
    this.#schedule(getDelay(), () => {
      if (this.#ownerConfigurations.get(fence)!.version > known.version) return;
      this.#ownerConfigurations.set(fence, known);
      if (fence === this.#fence) this.#withOwner((owner) => owner.setConfiguration(known));
    });
    for (const front of this.#fronts) {
      this.#schedule(getDelay(), () => front.setConfiguration(known));
    }
  }

  /** Cancels a job. */
  cancel(id: string): void {
    this.#invariantChecker.addCancelRequest(id);
    this.#livenessChecker.addCancelRequest(id);
    this.#withOwner((owner) =>
      owner.cancel(id, () => this.#invariantChecker.addAcknowledgedCancel(id, this.#now))
    );
  }

  /** Evacuates a zone. */
  evacuate(zone: string): void {
    this.#livenessChecker.addFault(this.#now);
    this.#evacuatedZones.add(zone);
    this.#invariantChecker.addEvacuation(zone, this.#now);
    this.#notifyPlannedActions();
  }

  /** Requests a maintenance wave, or replaces the request for it. */
  requestWave(wave: MaintenanceWave): void {
    this.#waves.set(wave.number, wave);
    this.#wavesChangedAt.set(wave.number, this.#now);
    const publishHosts = () => void this.#providerWaves.set(wave.number, new Set(wave.hosts));
    const delay = this.#options.waveDelayMilliseconds ?? 0;
    if (delay === 0) publishHosts();
    else this.#schedule(delay, publishHosts);
    this.#notifyPlannedActions();
  }

  /** Omits an existing host from the provider's list for a time. */
  unlistHost(name: string, milliseconds: number): void {
    this.#provider.setListed(name, false);
    this.#schedule(milliseconds, () => this.#provider.setListed(name, true));
  }

  /** Removes a host permanently. */
  removeHost(name: string): void {
    this.#provider.remove(name);
  }

  /** Adds a host that was removed, without a history of maintenance. */
  addHost(host: Host): void {
    this.#provider.add(host);
    for (const { number, hosts } of this.#waves.values()) {
      if (hosts.includes(host.name)) this.#wavesChangedAt.set(number, this.#now);
    }
  }

  /** Gets the hosts of a wave that were maintained for it, or are being maintained. */
  getMaintainedHosts(wave: number): string[] {
    return this.#waves.get(wave)?.hosts.filter((host) =>
      this.#provider.wasMaintained(host, wave)
    ) ?? [];
  }

  /** Lets an executor announce that it is draining. */
  drain(id: string): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined) {
      this.#livenessChecker.addFault(this.#now);
      this.#entries.set(id, { ...entry, isDraining: true });
      this.#invariantChecker.addDrain(id, this.#now);
    }
    this.#notifyExecutors();
  }

  /** Crashes an executor; a new incarnation with the same id starts at once. */
  crash(id: string): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    this.#livenessChecker.addFault(this.#now);
    this.#endRuns(id);
    this.#muteUntil.delete(id);
    this.#invariantChecker.addIncarnation(id);
    const restarted = { ...entry, born: entry.born + 1, isDraining: false };
    this.#entries.set(id, restarted);
    this.#models.set(id, this.#createModel(restarted));
    this.#notifyExecutors();
  }

  /**
   * Crashes an executor. Its new incarnation is listed late, and carries orders out for a while before
   * it answers any.
   */
  restart(id: string, { listingMilliseconds, muteMilliseconds }: RestartOptions): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    this.#earlierEntries.set(id, this.#earlierEntries.get(id) ?? entry);
    this.crash(id);
    const { born } = this.#entries.get(id)!;
    this.#muteUntil.set(id, this.#now + muteMilliseconds);
    this.#schedule(listingMilliseconds, () => {
      if (this.#entries.get(id)?.born !== born) return;
      this.#livenessChecker.addFault(this.#now);
      this.#earlierEntries.delete(id);
      this.#notifyExecutors();
    });
  }

  /** Omits the entries of existing executors from the list for a time. */
  unlistExecutors(ids: readonly string[], milliseconds: number): void {
    this.#livenessChecker.addFault(this.#now);
    for (const id of ids) this.#unlistedExecutors.add(id);
    this.#notifyExecutors();
    this.#schedule(milliseconds, () => {
      this.#livenessChecker.addFault(this.#now);
      for (const id of ids) this.#unlistedExecutors.delete(id);
      this.#notifyExecutors();
    });
  }

  /** Replaces the owner. The previous one gets no answers, and its appends are not stored. */
  replaceOwner(): void {
    this.#ownerModel?.end();
    const previousClaim = this.#getClaim();
    this.#openOwner(
      previousClaim,
      previousClaim === undefined ? { reckonedMilliseconds: 0, longestMilliseconds: 0 } : {
        reckonedMilliseconds: LEASE_MILLISECONDS,
        longestMilliseconds: MAXIMUM_LEASE_MILLISECONDS,
      },
    );
  }

  /** Crashes the owner's process; another one takes over once the claim has gone unrenewed. */
  crashOwner(): void {
    this.#livenessChecker.addFault(this.#now);
    const model = this.#ownerModel!;
    if (model.hasEnded) return;
    model.end();
    this.#takeOver(model);
  }

  /** Lets the owner stop: it stores what it has, and the next one learns the leases that remain. */
  handOver(): void {
    const model = this.#ownerModel!;
    if (model.hasEnded) return;
    const ports = this.#createPorts(model);
    this.#livenessChecker.addFault(this.#now);
    model.startHandOver();
    ports.write([], () => {
      const leaseMilliseconds = this.#owner!.getRemainingLeaseMilliseconds();
      model.end();
      const claim = { ...this.#getClaim()!, isReleased: true, leaseMilliseconds };
      this.#openOwner(claim, getEarlierLeases(claim, MAXIMUM_LEASE_MILLISECONDS));
    });
  }

  /**
   * Pauses the owner's process, with what it has decided to send. If another one takes over meanwhile,
   * it learns of that some time after it wakes.
   */
  pauseOwner(milliseconds: number): void {
    const model = this.#ownerModel!;
    if (model.hasEnded || model.getPauseMilliseconds() > 0) return;
    this.#livenessChecker.addFault(this.#now);
    model.pause(this.#now + milliseconds);
    this.#takeOver(model);
    this.#schedule(milliseconds, () => {
      this.#livenessChecker.addFault(this.#now);
      model.resume();
      this.#schedule(this.#changeRandom() * MAXIMUM_DEPOSITION_DELAY_MILLISECONDS, () => {
        if (this.#ownerModel === model) model.confirmClaim();
        else model.end();
      });
    });
  }

  /** Lets another process take over from an owner whose claim goes unrenewed for long enough. */
  #takeOver(model: OwnerModel): void {
    const milliseconds = MINIMUM_TAKE_OVER_MILLISECONDS +
      this.#changeRandom() * MAXIMUM_TAKE_OVER_DELAY_MILLISECONDS;
    const unrenewedSince = model.getUnrenewedSince();
    this.#schedule(milliseconds, () => {
      if (this.#ownerModel !== model || model.getUnrenewedSince() !== unrenewedSince) return;
      if (!model.hasEnded && model.getPauseMilliseconds() === 0) return;
      const claim = this.#getClaim();
      this.#openOwner(claim, getEarlierLeases(claim, MAXIMUM_LEASE_MILLISECONDS));
    });
  }

  #openOwner(previousClaim: Claim | undefined, earlierLeases: EarlierLeases): void {
    const stored = this.#getStored();
    this.#livenessChecker.addFault(this.#now);
    this.#fence += 1;
    this.#lastAppendAnsweredAt = this.#now;
    const fence = this.#fence;
    const configuration = this.#createConfiguration();
    this.#ownerConfigurations.set(fence, configuration);
    const model = OwnerModel.create({
      fence,
      ownedSince: this.#now,
      getNow: () => this.#now,
      getTimeOfDay: () => this.#getTimeOfDay(fence),
    });
    this.#ownerModel = model;
    this.#owner = FleetOwner.create({
      fence,
      limits: {
        retentionMilliseconds: 120_000,
        stopMilliseconds: STOP_MILLISECONDS,
        longestLeaseMilliseconds: MAXIMUM_LEASE_MILLISECONDS,
        jobLimits: JOB_LIMITS,
        offRackFactor: 1.5,
        earlierLeases,
      },
      ports: this.#createPorts(model),
      log: IGNORE_EVENT,
      startedAt: this.#now,
      timeOfDay: this.#getTimeOfDay(fence),
      configuration,
      jobs: readStoredJobs(stored).jobs,
      stored,
      capacityPolicy: this.#options.capacityPolicy ?? DEFAULT_CAPACITY_POLICY,
      features: this.#options.features,
      earlierHostOrders: EarlierHostOrders.create({
        stored,
        previousClaim,
        leaseMilliseconds: LEASE_MILLISECONDS,
        startedAt: this.#now,
      }),
      maintenanceMilliseconds: MAINTENANCE_MILLISECONDS,
      executors: this.#getListedEntries(),
      inDoubtMilliseconds: getLeaseWaitMilliseconds(earlierLeases.longestMilliseconds),
      lostInDoubtMilliseconds: getLeaseWaitMilliseconds(earlierLeases.reckonedMilliseconds),
    });
    model.setOwner(this.#owner);
    this.#calls = CallControl.create({
      owner: this.#owner,
      epoch: fence,
      getConfiguration: () => this.#ownerConfigurations.get(fence)!,
      getClaimAge: () => 0,
      jobLimits: JOB_LIMITS,
      isStoreUnavailable: () => this.#isChosen(this.#faults.unavailableFraction),
      log: (event, fields) =>
        this.#invariantChecker.addViolation("FAULT", `${event}: ${fields?.["reason"]}`),
    });
    for (const front of this.#fronts) this.#reconnect(front);
    this.#checkJobStates();
    this.#notifyPlannedActions();
  }

  /** Sets the faults from now on. Orders that are under way are not affected. */
  setFaults(faults: SimulationFaults): void {
    this.#faults = faults;
  }

  /** Ends all faults. Orders that are under way may still be carried out late. */
  clearFaults(): void {
    this.setFaults({ lostFraction: 0, lateFraction: 0, failingFraction: 0 });
  }

  /** Checks that all accepted jobs have ended, and that every long-running task is running. */
  checkJobsServed(): void {
    this.#invariantChecker.checkJobsServed((id) => this.#owner?.getJobState(id));
  }

  /** Checks that the owner knows every executor: it can't start tasks on the others. */
  checkExecutorsKnown(): void {
    const known = this.#owner?.getSummary()["executors"] ?? 0;
    // The owner can't know executors yet that have just started.
    const listedBefore = this.#now - LISTING_DELAY_MILLISECONDS - STEP_MILLISECONDS;
    const expected = [...this.#entries.values()]
      .filter(({ born }) => born < INCARNATION_AT_START_MILLISECONDS + listedBefore).length;
    if (known < expected) {
      this.#invariantChecker.addViolation("LOST", `${expected - known} executors are ignored`);
    }
  }

  /** Advances the virtual time by a number of milliseconds. */
  run(milliseconds: number): void {
    const end = this.#now + milliseconds;
    for (let tickAt = this.#now; tickAt < end; tickAt += STEP_MILLISECONDS) {
      while (this.#events.runNext(tickAt)) { /* Each event sets the time itself. */ }
      this.#now = tickAt;
      this.#provider.advance(tickAt);
      if (this.#hasUnusableExecutor()) this.#livenessChecker.addFault(tickAt);
      for (const model of this.#models.values()) {
        model.advance(tickAt);
        if (model.isLeaseExpired(tickAt)) {
          this.#invariantChecker.addLostEnds(model.getUnacknowledgedTasks());
        }
        for (const run of model.running.values()) {
          if (model.isAvailable(run, tickAt)) this.#invariantChecker.addAvailableTask(run.task);
        }
      }
      const pooledHosts = this.#provider.list().filter(({ pool }) => !this.#isSparePool(pool));
      this.pooledHostMilliseconds += pooledHosts.length * STEP_MILLISECONDS;
      this.#withOwner((owner) => owner.tick());
      for (const front of this.#fronts) front.tick();
      this.#checkInvariants();
    }
    this.#now = end;
  }

  /** Gets the state of a job, as reported to callers. */
  getJobState(id: string): string | undefined {
    return this.#owner?.getJobState(id);
  }

  /** Gets the number of a queue's waiting jobs, as reported to callers. */
  getWaitingCount(queue: string): number {
    return this.#owner?.getQueuedJobCount(queue) ?? 0;
  }

  #withOwner(act: (owner: FleetOwner) => void): void {
    this.#ownerModel!.act(act);
  }

  /** Sends a submission through one of the fronts, and again if it is in doubt. */
  #submit(call: Call & { key: string }, attempts: number): void {
    const id = call.jobId;
    const sentAt = this.#now;
    this.#submissionChecker.addAttempt(id, call.key, sentAt);
    const front = this.#fronts[Math.floor(this.#callRandom() * FRONT_COUNT)]!;
    front.handle(call, (answer) => {
      this.#countEvent(`told-${answer.outcome}`);
      if (answer.outcome === AnswerOutcome.Accepted) {
        this.#submissionChecker.handleAccepted(id, sentAt);
        this.#invariantChecker.addAcceptedJob(id, this.#now);
        this.#livenessChecker.addAcceptedJob(id);
      } else if (isNotCarriedOut(answer)) {
        this.#submissionChecker.handleRefused(id, answer.outcome);
      } else if (attempts > 1) {
        this.#schedule(
          this.#callRandom() * MAXIMUM_REPETITION_DELAY_MILLISECONDS,
          () => this.#submit(call, attempts - 1),
        );
      }
    });
  }

  /** Delivers a call to the present owner, which may be an earlier one when the call arrives. */
  #deliverCall(front: FrontModel, call: ForwardedCall, reply: Reply<Answer>): void {
    const { lateDeliveryFraction, lostAnswerFraction, notOwnerFraction } = this.#faults;
    const [owner, calls, fence] = [this.#owner!, this.#calls!, this.#fence];
    const getDelay = () => 1 + this.#callRandom() * (MAXIMUM_LINK_DELAY_MILLISECONDS - 1);
    if (this.#isChosen(notOwnerFraction)) {
      return this.#schedule(getDelay(), () => reply({ outcome: AnswerOutcome.NotOwner }));
    }
    const isLate = this.#isChosen(lateDeliveryFraction);
    if (isLate) this.#reconnect(front);
    const handle = () =>
      calls.handle(call, (truth) => {
        if (isNotCarriedOut(truth) && owner.findCustomer(call.jobId) === call.customer) {
          this.#invariantChecker.addViolation("REFUSED", `the owner knows ${call.jobId}`);
        }
        const answer = this.#options.falsifiedInput?.answer?.(truth) ?? truth;
        if (isLate) return;
        if (this.#isChosen(lostAnswerFraction)) return this.#reconnect(front);
        this.#schedule(getDelay(), () => reply(answer));
      });
    const delay = isLate ? this.#callRandom() * MAXIMUM_DELIVERY_DELAY_MILLISECONDS : getDelay();
    this.#schedule(delay, () => {
      if (fence === this.#fence) this.#withOwner(handle);
      else handle();
    });
  }

  /** Gives a front a new link to the owner, over which it delivers its calls. */
  #reconnect(front: FrontModel): void {
    const delay = this.#callRandom() * MAXIMUM_RECONNECTION_MILLISECONDS;
    this.#schedule(delay, () => front.deliverAll());
  }

  #isChosen(fraction = 0): boolean {
    return fraction > 0 && this.#callRandom() < fraction;
  }

  /** Creates the newest configuration, as the owner and the fronts get it. */
  #createConfiguration(): Configuration {
    const { falsifiedInput } = this.#options;
    return Configuration.create(
      falsifiedInput?.configuration?.(this.#published) ?? this.#published,
    );
  }

  #createPorts(sender: OwnerModel): OwnerPorts {
    const isCurrent = () => this.#ownerModel === sender;
    const answer = (act: (owner: FleetOwner) => void) => sender.act(act);
    return {
      start: (order) =>
        this.#send(
          sender,
          order.executor,
          (model) => {
            if (!model.isIncarnationOf(order.executor)) return OrderOutcome.NotSent;
            return this.#decideRefusal() ? OrderOutcome.Unhealthy : model.start(order, this.#now);
          },
          (outcome) =>
            answer((owner) =>
              owner.handleStartAnswer(order.executor.id, order.task, order.run, { outcome })
            ),
          START_SEND_LIMIT_MILLISECONDS,
        ),
      stop: (order) =>
        this.#send(
          sender,
          order.executor,
          (model) => model.stop(order.task, order.run, order.fence, this.#now),
          (outcome) => answer((owner) => owner.handleStopAnswer(order, { outcome })),
        ),
      pace: () => {},
      poll: (order) => {
        const sentAt = this.#now;
        let report: ReturnType<ExecutorModel["poll"]>;
        let acknowledged = 0;
        this.#send(sender, order.executor, (model) => {
          acknowledged = model.getDeliveredAcknowledgement(order);
          report = model.poll({ ...order, acknowledged }, this.#now);
          const { falsifiedInput } = this.#options;
          if (report !== undefined && falsifiedInput?.report !== undefined) {
            report = falsifiedInput.report(report);
          }
          return report === undefined ? OrderOutcome.Fenced : OrderOutcome.Done;
        }, (outcome) =>
          answer((owner) =>
            owner.handlePollAnswer(
              order.executor.id,
              sentAt,
              outcome === OrderOutcome.Done && report !== undefined
                ? { outcome, acknowledged, report }
                : { outcome: OrderOutcome.Unanswered },
            )
          ));
      },
      askAdvice: () => {},
      listHosts: () => {
        if (this.#options.hosts === undefined) return;
        const requestedAt = this.#now;
        this.#readHostList((hosts) => answer((owner) => owner.setHosts(hosts, requestedAt)));
      },
      maintain: (order) =>
        this.#schedule(1 + this.#random() * 8, () => {
          const outcome = this.#provider.maintain(order, order.wave, this.#now);
          this.#checkWaveCeiling(order.wave);
          answer((owner) => owner.handleMaintainAnswer(order, outcome));
        }),
      move: (order) =>
        this.#schedule(1 + this.#random() * 8, () => {
          const outcome = this.#provider.move(order, order.pool, this.#now);
          answer((owner) => owner.handleMoveAnswer(order, outcome));
        }),
      writeStatus: (wave, isCompleted) => {
        if (isCompleted) this.#completedWaves.add(wave);
        else this.#completedWaves.delete(wave);
        if (isCompleted) this.#checkCompletedWave(wave);
      },
      write: (entries, onStored) => {
        // Appends are stored in the order in which they were sent.
        this.#lastStoredAt = Math.max(this.#lastStoredAt, this.#now + 3 + this.#random() * 8);
        this.#schedule(this.#lastStoredAt - this.#now, () => {
          if (!isCurrent()) return;
          for (const entry of entries) this.#store(entry);
          this.#answerAppend(() => {
            if (isCurrent()) answer(() => onStored());
          });
        });
      },
    };
  }

  /** Reads the provider's list, page by page if paging is configured. */
  #readHostList(handle: (hosts: Host[]) => void): void {
    const { listing } = this.#options;
    if (listing === undefined) {
      this.#schedule(1 + this.#random() * 8, () => handle(this.#provider.list()));
      return;
    }
    const hostsRead: Host[] = [];
    const readPage = (from: number) =>
      this.#schedule(1 + this.#random() * listing.pageMilliseconds, () => {
        const { hosts, next } = this.#provider.listPage(from, listing.pageHosts);
        hostsRead.push(...hosts);
        if (next !== undefined) return readPage(next);
        this.#schedule(this.#random() * listing.pageMilliseconds, () => handle(hostsRead));
      });
    readPage(0);
  }

  #store(entry: JournalEntry): void {
    if (entry.value === undefined) this.#journal.delete(entry.key);
    else this.#journal.set(entry.key, entry.value);
  }

  /** Answers an append: in the order of the appends, and late if the first answer is lost. */
  #answerAppend(answer: () => void): void {
    const { lateAppendFraction = 0 } = this.#faults;
    const isLate = this.#journalRandom() < lateAppendFraction;
    if (isLate) this.#countEvent("late-append");
    const delay = isLate ? this.#journalRandom() * MAXIMUM_APPEND_DELAY_MILLISECONDS : 0;
    this.#lastAppendAnsweredAt = Math.max(this.#lastAppendAnsweredAt, this.#now + delay);
    if (this.#lastAppendAnsweredAt === this.#now) return answer();
    this.#schedule(this.#lastAppendAnsweredAt - this.#now, answer);
  }

  /** Sends an order to an executor's incarnation; the order or its answer may be lost or late. */
  #send(
    sender: OwnerModel,
    entry: ExecutorEntry,
    act: (model: ExecutorModel) => OrderOutcome,
    answer: (outcome: OrderOutcome) => void,
    sendLimitMilliseconds = Infinity,
  ): void {
    const { lostFraction, lateFraction } = this.#faults;
    // An order names only the id, so the next incarnation under it accepts the order too.
    const deliver = (): OrderOutcome => {
      const model = this.#models.get(entry.id);
      return model === undefined ? OrderOutcome.WrongIncarnation : act(model);
    };
    const model = this.#models.get(entry.id);
    const deliveryDelay = 1 + this.#random() * 4;
    if (this.#options.staleEntryMilliseconds !== undefined && !this.#models.has(entry.id)) {
      this.#schedule(ORDER_TIMEOUT_MILLISECONDS, () => answer(OrderOutcome.Unanswered));
      return;
    }
    if (this.#random() < lostFraction) {
      this.#countEvent("lost");
      this.#livenessChecker.addFault(this.#now);
      const isLate = this.#random() < lateFraction;
      if (isLate) {
        this.#schedule(2_000 + this.#random() * 10_000, () => {
          // The executor itself delays the order, so a crash loses it.
          if (this.#models.get(entry.id) !== model) return;
          this.#isDeliveringLate = true;
          this.#livenessChecker.addFault(this.#now);
          deliver();
          this.#isDeliveringLate = false;
        });
      }
      if (!isLate && this.#random() < 0.5) this.#schedule(deliveryDelay, () => void deliver());
      this.#schedule(ORDER_TIMEOUT_MILLISECONDS, () => answer(OrderOutcome.Unanswered));
      return;
    }
    const send = () => {
      const outcome = deliver();
      if (this.#now < (this.#muteUntil.get(entry.id) ?? 0)) {
        this.#livenessChecker.addFault(this.#now);
        this.#schedule(ORDER_TIMEOUT_MILLISECONDS, () => answer(OrderOutcome.Unanswered));
        return;
      }
      const { delayMilliseconds } = this.#faults;
      const delay = delayMilliseconds === undefined ? 0 : this.#random() * delayMilliseconds;
      if (delay > 0) this.#livenessChecker.addFault(this.#now + delay);
      this.#schedule(1 + this.#random() * 4 + delay, () => answer(outcome));
    };
    this.#schedule(deliveryDelay, () => {
      const pauseMilliseconds = sender.getPauseMilliseconds();
      if (pauseMilliseconds === 0 || this.#changeRandom() < SENT_FRACTION) return send();
      this.#schedule(
        pauseMilliseconds,
        () => pauseMilliseconds > sendLimitMilliseconds ? answer(OrderOutcome.NotSent) : send(),
      );
    });
  }

  #schedule(delay: number, run: () => void): void {
    const at = this.#now + delay;
    this.#events.addAt(at, () => {
      this.#now = at;
      run();
    });
  }

  #createModel(entry: ExecutorEntry): ExecutorModel {
    const incarnation = getIncarnationKey(entry);
    return ExecutorModel.create({
      capacity: entry.capacity,
      born: entry.born,
      startedAt: this.#now,
      stopMilliseconds: STOP_MILLISECONDS,
      startupMilliseconds: 200,
      listedEnds: this.#options.listedEnds,
      planRun: this.#options.planRun ?? ((task) => this.#planRun(task)),
      onStart: (run) => {
        this.#countEvent("started");
        this.#submissionChecker.handleStart(run.task);
        this.#history.addStart(incarnation, run);
        this.#invariantChecker.handleStart(this.#entries.get(entry.id) ?? entry, run, {
          now: this.#now,
          isDeliveredLate: this.#isDeliveringLate,
        });
      },
      onEnd: (run, end, isAvailable) => {
        this.#countEvent(end);
        this.#livenessChecker.addEnd(run.task, end);
        this.#history.addEnd(incarnation, run, end);
        this.#invariantChecker.handleEnd(run, end, this.#now, isAvailable);
      },
      onAcknowledged: (end) => this.#history.addAcknowledgement(incarnation, end),
    });
  }

  #planRun(task: string): RunPlan {
    const step = this.#invariantChecker.getStep(task);
    const isFailing = this.#random() < this.#faults.failingFraction;
    if (step?.isLasting && !isFailing) return { durationMilliseconds: Infinity, end: RunEnd.Done };
    const milliseconds = (step?.estimatedMilliseconds ?? 100) * (0.5 + this.#random());
    return { durationMilliseconds: milliseconds, end: isFailing ? RunEnd.Failed : RunEnd.Done };
  }

  #getTimeOfDay(fence: number): number {
    return this.#now + (this.#options.getClockOffset?.(fence) ?? 0);
  }

  #checkJobStates(): void {
    this.#invariantChecker.checkJobStates((id) => this.#owner?.getJobState(id));
  }

  #checkInvariants(): void {
    this.#checkJobStates();
    this.#invariantChecker.checkWaitingCounts(
      (queue) => this.getWaitingCount(queue),
      (id) => this.getJobState(id),
      this.#now,
    );
    this.#invariantChecker.checkCapacityAndQuotas(this.#models, this.#entries);
    this.#livenessChecker.check({
      now: this.#now,
      models: this.#models,
      entries: this.#entries,
      evacuatedZones: this.#evacuatedZones,
      getJobState: (id) => this.#owner?.getJobState(id),
    });
    for (const wave of this.#completedWaves) {
      const changedAt = this.#wavesChangedAt.get(wave)!;
      if (this.#now - changedAt > MAXIMUM_REOPENING_MILLISECONDS) this.#checkCompletedWave(wave);
    }
  }

  /** Gets whether the owner can't use an executor yet, which has restarted. */
  #hasUnusableExecutor(): boolean {
    return this.#earlierEntries.size > 0 ||
      [...this.#muteUntil.values()].some((until) => this.#now < until);
  }

  /** Decides whether an executor refuses a start as unhealthy. */
  #decideRefusal(): boolean {
    const { refusedFraction = 0 } = this.#faults;
    return refusedFraction > 0 && this.#random() < refusedFraction;
  }

  /** Ends the executor of a host that is taken out of service, with all of its runs. */
  #handleHostOutOfService(host: Host): void {
    const model = this.#models.get(host.executorId);
    if (model === undefined) return;
    const runs = [...model.running.values()].map((run): [ModelRun, boolean] => [
      run,
      model.isAvailable(run, this.#now),
    ]);
    this.#invariantChecker.handleHostOutOfService(runs, this.#now);
    this.#invariantChecker.addLostEnds(model.getUnacknowledgedTasks());
    this.#history.addLoss(getIncarnationKey(this.#entries.get(host.executorId)!));
    this.#models.delete(host.executorId);
    this.#keepStaleEntry(this.#entries.get(host.executorId)!);
    this.#entries.delete(host.executorId);
    this.#notifyExecutors();
  }

  /** Ends an executor whose host was removed, with all of its runs. */
  #removeExecutor(id: string): void {
    this.#livenessChecker.addFault(this.#now);
    this.#endRuns(id);
    this.#models.delete(id);
    this.#entries.delete(id);
    this.#notifyExecutors();
  }

  #endRuns(id: string): void {
    const model = this.#models.get(id);
    if (model === undefined) return;
    for (const run of model.running.values()) {
      this.#invariantChecker.handleEnd(
        run,
        RunEnd.LeaseExpired,
        this.#now,
        model.isAvailable(run, this.#now),
      );
    }
    this.#invariantChecker.addLostEnds(model.getUnacknowledgedTasks());
    this.#history.addLoss(getIncarnationKey(this.#entries.get(id)!));
  }

  /** Keeps the entry of an executor that no longer exists in the list for a time. */
  #keepStaleEntry(entry: ExecutorEntry): void {
    const { staleEntryMilliseconds } = this.#options;
    if (staleEntryMilliseconds === undefined) return;
    this.#staleEntries.set(entry.id, entry);
    this.#schedule(this.#random() * staleEntryMilliseconds, () => {
      this.#staleEntries.delete(entry.id);
      this.#notifyExecutors();
    });
  }

  /** Starts an executor on a host and returns its id; empty if the host is in a spare pool. */
  #createExecutor(host: Host): string {
    if (this.#isSparePool(host.pool)) return "";
    this.#createdExecutorCount += 1;
    const id = `${host.name}-${this.#createdExecutorCount}`;
    const entry: ExecutorEntry = {
      id,
      born: INCARNATION_AT_START_MILLISECONDS + this.#now,
      service: host.pool,
      address: `${host.name}:80`,
      zone: host.zone,
      host: host.name,
      labels: ["a", `rack-${host.zone}`],
      capacity: host.capacity,
      isDraining: false,
    };
    this.#entries.set(id, entry);
    this.#models.set(id, this.#createModel(entry));
    this.#notifyExecutors();
    return id;
  }

  #isSparePool(pool: string): boolean {
    return this.#options.configuration.services.some(({ name, isSpare }) =>
      name === pool && isSpare
    );
  }

  #checkWaveCeiling(number: number): void {
    const wave = this.#waves.get(number);
    if (wave !== undefined && this.#provider.getCountUnderMaintenance() > wave.ceiling) {
      this.#invariantChecker.addViolation("LIMIT", `wave ${number} exceeds its ceiling`);
    }
  }

  /** Checks that every existing host of a wave that is shown as completed was maintained. */
  #checkCompletedWave(number: number): void {
    const unmaintained = this.#waves.get(number)?.hosts.filter((host) =>
      this.#provider.hasHost(host) && !this.#provider.wasMaintained(host, number)
    );
    if (unmaintained === undefined || unmaintained.length === 0) return;
    this.#invariantChecker.addViolation(
      "MIXED",
      `wave ${number} is shown as completed without ${unmaintained}`,
    );
  }

  /**
   * Gets the owner's claim, whose epoch is the fence of the owner's orders. A later owner learns
   * from its renewals how long it was held.
   */
  #getClaim(): Claim | undefined {
    if (this.#ownerModel === undefined) return undefined;
    return {
      epoch: this.#fence,
      holder: `holder-${this.#fence}`,
      hostName: "entry-1",
      address: "10.0.0.1:7000",
      isReleased: false,
      renewal: this.#ownerModel.getRenewal(),
    };
  }

  #countEvent(kind: string): void {
    this.eventCounts[kind] = (this.eventCounts[kind] ?? 0) + 1;
  }

  #getListedEntries(): ExecutorEntry[] {
    const falsify = this.#options.falsifiedInput?.entry ?? ((entry: ExecutorEntry) => entry);
    const entries = [...this.#entries.values()].map((entry) =>
      this.#earlierEntries.get(entry.id) ?? entry
    );
    return [...this.#staleEntries.values(), ...entries]
      .filter(({ id }) => !this.#unlistedExecutors.has(id)).map(falsify);
  }

  /** Sends the list of executors to the owner, with a delay. */
  #notifyExecutors(): void {
    if (this.#owner === undefined) return;
    const entries = this.#getListedEntries();
    this.#schedule(
      LISTING_DELAY_MILLISECONDS,
      () => this.#withOwner((owner) => owner.setExecutors(entries)),
    );
  }

  /** Sends the evacuations and waves that operators requested to the owner. */
  #notifyPlannedActions(): void {
    if (this.#options.falsifiedInput?.hidesPlannedActions) return;
    const evacuatedZones = new Set(this.#evacuatedZones);
    const falsify = this.#options.falsifiedInput?.wave ?? ((wave: MaintenanceWave) => wave);
    const waves = new Map([...this.#waves].map(([number, wave]) => [number, falsify(wave)]));
    this.#withOwner((owner) => owner.setPlannedActions({ evacuatedZones, waves }));
  }

  /** Gets the journal entries that a new owner finds. */
  #getStored(): [string, Uint8Array][] {
    const { losesJournal, losesHostOrders, stored } = this.#options.falsifiedInput ?? {};
    const found = [...this.#journal].filter(([key]) =>
      !(losesJournal === true && key.startsWith("progress/")) &&
      !(losesHostOrders === true && key.startsWith("host-order/"))
    );
    return stored === undefined ? found : stored(found);
  }
}

const IGNORE_EVENT: EventLog = () => {};

/** Creates a generator of pseudorandom numbers from 0 to 1. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
