/** An entry host on the users' platform: creates its tasks and connects them. */

import { randomBytes } from "node:crypto";
import { createServer, type Server } from "node:http";
import { LimitLog } from "../callers/mod.ts";
import type { EventLog } from "../events/mod.ts";
import { JobLimits } from "../fleet/job_limits.ts";
import { FrontTask } from "../front/front_task.ts";
import { OwnerListenerTask } from "../front/owner_listener_task.ts";
import { MAXIMUM_FRAME_BYTES } from "../links/frame.ts";
import { listen } from "../links/listen.ts";
import { formatSocketAddress } from "../links/socket_address.ts";
import { OwnerTask } from "../owner/owner_task.ts";
import { getClaimDelay } from "../ownership/claim_delay.ts";
import type { HandOver } from "../ownership/hand_over_control.ts";
import type { Candidacy } from "../ownership/hand_over_decision.ts";
import { getShortage } from "../ownership/host_suitability.ts";
import { JournalTask } from "../ownership/journal_task.ts";
import type { OwnershipView } from "../ownership/ownership_messages.ts";
import { OwnershipTask } from "../ownership/ownership_task.ts";
import type { Claim } from "../ownership/ownership_ports.ts";
import { ElapsedClock } from "../tasks/mod.ts";
import { AnswerOutcome } from "../front/call.ts";
import { AdviserClient } from "./adviser_client.ts";
import { CallerListener } from "./caller_listener.ts";
import { ExecutorClient } from "./executor_client.ts";
import { HostMetrics } from "./host_metrics.ts";
import { KeyedTopicTask, type KeyedTopicUpdate } from "./keyed_topic_task.ts";
import type { PlatformSettings } from "./platform_settings.ts";
import { ProviderClient } from "./provider_client.ts";
import { ExecutorList, OperatorState } from "./published_state.ts";
import { StoreClient } from "./store_client.ts";
import {
  CLAIMS_TOPIC,
  createClaimAppend,
  createJournalStore,
  createStatusStore,
  createWaveStatusEntry,
  decodeClaim,
  FLEET_CLAIM_KEY,
} from "./store_ports.ts";

/** How long a read waits for new records, in milliseconds; freshness is confirmed as often. */
const READ_WAIT_MILLISECONDS = 500;
/** The delay between two reads of the executor list, in milliseconds: a tenth of an executor's drain time. */
const EXECUTOR_LIST_DELAY_MILLISECONDS = 200;
/** The maximum age of the known API keys, as a fraction of the time in which a withdrawal must apply. */
const KEY_AGE_FRACTION = 0.8;
/** How long the load balancer may still connect after a host is not ready, in milliseconds. */
const LOAD_BALANCER_DELAY_MILLISECONDS = 2_600;
/** How long before the platform kills it a stopping process exits by itself, in milliseconds. */
const STOP_MARGIN_MILLISECONDS = 700;
/** How long a stopping process waits until its last answers are sent, in milliseconds. */
const REFUSAL_TIMEOUT_MILLISECONDS = 300;
/** How often a stopping process checks whether it can exit, in milliseconds. */
const STOP_CHECK_INTERVAL_MILLISECONDS = 50;
/** How long a stopping owner waits for its pending journal entries, in milliseconds. */
const HANDOVER_TIMEOUT_MILLISECONDS = 1_000;
/**
 * The maximum age of the configuration of a host that may own the fleet, in milliseconds: three of
 * the reads that confirm it.
 */
const MAXIMUM_CANDIDATE_CONFIGURATION_AGE_MILLISECONDS = 3 * READ_WAIT_MILLISECONDS;
/** The maximum request body until a configuration is read, in bytes. */
const DEFAULT_MAXIMUM_BODY_BYTES = 262_144;

/** The options of servers that answer probes of the platform, which are short. */
const PROBE_SERVER_OPTIONS = {
  connectionsCheckingInterval: 500,
  headersTimeout: 1_000,
  keepAliveTimeout: 15_000,
  requestTimeout: 3_000,
} as const;
/** The interval at which the counts of reached limits are logged, in milliseconds. */
const LIMIT_LOG_INTERVAL_MILLISECONDS = 1_000;
/** The maximum number of connections to a server that answers probes. */
const MAXIMUM_PROBE_CONNECTIONS = 64;
/** The outcomes of calls that this host refuses by itself, of which a client may cause any number. */
const UNDELIVERED_OUTCOMES: ReadonlySet<AnswerOutcome> = new Set([
  AnswerOutcome.UnknownQueue,
  AnswerOutcome.InvalidKey,
]);

/** Options of a `PlatformHost`. */
export interface PlatformHostOptions {
  settings: PlatformSettings;
  /** The port of the metrics on the peer address, or undefined to serve none. */
  metricsPort?: number | undefined;
  log: EventLog;
}

/** Owns the tasks, clients and listeners of one entry host. */
export class PlatformHost {
  #settings: PlatformSettings;
  readonly #log: EventLog;
  readonly #metricsPort: number | undefined;
  readonly #clock = ElapsedClock.create();
  readonly #store: StoreClient;
  /** Connections for claims alone, so that no transfer delays a renewal. */
  readonly #claimStore: StoreClient;
  readonly #provider: ProviderClient | undefined;
  readonly #adviser: AdviserClient | undefined;
  readonly #jobLimits: JobLimits;
  readonly #operatorState: OperatorState;
  readonly #front: FrontTask;
  /** The identity of this process (see `Claim.holder`). */
  readonly #processName: string;
  readonly #callerListener: CallerListener;
  readonly #ownerListener: OwnerListenerTask;
  readonly #ownership: OwnershipTask;
  readonly #topics: KeyedTopicTask[] = [];
  readonly #metrics: HostMetrics;
  readonly #readinessServer: Server;
  readonly #limitLog: LimitLog;
  #limitTimer: NodeJS.Timeout | undefined;
  /** Logs the calls that were refused without a job or a queue. */
  readonly #refusalLog: LimitLog;
  #owner:
    | {
      task: OwnerTask;
      epoch: number;
      topic: KeyedTopicTask;
      executorClient: ExecutorClient;
      statusJournal: JournalTask;
    }
    | undefined;
  #claim: Claim | undefined;
  /** Resolves when a stop is complete; undefined before the host is stopped. */
  #stopped: Promise<void> | undefined;

  private constructor(options: PlatformHostOptions) {
    const { settings, log } = options;
    this.#settings = settings;
    this.#log = log;
    this.#metricsPort = options.metricsPort;
    this.#store = StoreClient.create(settings.storeAddress, log);
    this.#claimStore = StoreClient.create(settings.storeAddress, log);
    this.#provider = settings.providerAddress === undefined ? undefined : ProviderClient.create({
      address: settings.providerAddress,
      holder: settings.name,
      log,
    });
    this.#adviser = settings.adviserAddress === undefined
      ? undefined
      : AdviserClient.create(settings.adviserAddress, log);
    this.#jobLimits = JobLimits.create({
      storeCallBytes: settings.storeLimits.callBytes,
      messageBytes: MAXIMUM_FRAME_BYTES,
    });
    this.#operatorState = OperatorState.create(log);
    this.#metrics = HostMetrics.create(() => this.#getGauges());
    this.#limitLog = LimitLog.create({ event: "caller-limit", linesPerSecond: 1, log });
    this.#refusalLog = LimitLog.create({
      event: "call-answered",
      linesPerSecond: settings.callerLimits.refusalLines,
      log,
    });
    this.#front = this.#createFront();
    this.#callerListener = CallerListener.create({
      address: settings.callerAddress,
      limits: settings.callerLimits,
      getMaximumBodyBytes: () =>
        this.#operatorState.getConfiguration()?.largestBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES,
      handleCall: (call, reply) => {
        const isPosted = this.#front.post({ kind: "call", ...call, reply });
        if (!isPosted) reply({ outcome: AnswerOutcome.Unavailable });
      },
      onLimit: (limit, address) => this.#recordLimit(limit, address),
      log,
    });
    const processName = `${settings.name}-${randomBytes(4).toString("hex")}`;
    this.#ownerListener = OwnerListenerTask.create({
      address: settings.peerAddress,
      process: processName,
      deliver: (call, reply) => this.#deliverToOwner({ kind: "call", call, reply }),
      onCandidate: (candidate) => this.#ownership.post({ kind: "candidate", candidate }),
      onCandidateLost: (holder, linkOpenedAt) =>
        this.#ownership.post({ kind: "candidate-lost", holder, linkOpenedAt }),
      maximumLinks: settings.callerLimits.links,
      maximumLinkBytes: settings.callerLimits.linkBytes,
      onLimit: (limit, address) => this.#recordLimit(limit, address),
      log,
    });
    this.#processName = processName;
    this.#ownership = this.#createOwnership(processName);
    this.#readinessServer = createServer(PROBE_SERVER_OPTIONS, (_request, response) => {
      response.statusCode = this.isReady() ? 200 : 503;
      response.end();
    });
    this.#readinessServer.maxConnections = MAXIMUM_PROBE_CONNECTIONS;
  }

  /** Creates a host; `start` opens its sockets. */
  static create(options: PlatformHostOptions): PlatformHost {
    return new PlatformHost(options);
  }

  /** Opens the sockets and subscribes to the store's topics. */
  async start(): Promise<void> {
    const settings = this.#settings;
    await this.#ownerListener.listen();
    await this.#callerListener.listen();
    await listen(this.#readinessServer, settings.readyAddress);
    if (this.#metricsPort !== undefined) {
      await this.#metrics.listen({ host: settings.peerAddress.host, port: this.#metricsPort });
    }
    this.#limitTimer = setInterval(() => {
      this.#limitLog.flush(performance.now());
      this.#refusalLog.flush(performance.now());
    }, LIMIT_LOG_INTERVAL_MILLISECONDS);
    this.#subscribe(this.#store, "keyed.op", 0, (update) => this.#handleOperatorRecords(update));
    this.#subscribe(this.#claimStore, CLAIMS_TOPIC, 0, (update) => this.#handleClaims(update));
    this.#log("host-started", {
      zone: settings.zone,
      callers: formatSocketAddress(settings.callerAddress),
      store: settings.storeAddress,
    });
  }

  /** Gets whether the load balancer should send callers to this host. */
  isReady(): boolean {
    return this.#stopped === undefined && this.#front.isConfigurationFresh();
  }

  /** Applies the bounds of reloaded settings; all other settings take effect at the next start. */
  setSettings(settings: PlatformSettings): void {
    this.#settings = { ...this.#settings, bounds: settings.bounds };
  }

  /**
   * Hands over ownership, waits for open requests, answers those that are left, and closes everything
   * within the grace period. A host that is stopping is not stopped again.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const startedAt = performance.now();
    this.#log("host-stopping", {
      open: this.#callerListener.getPendingCount(),
      owner: this.#owner?.epoch,
    });
    this.#callerListener.post({ kind: "drain" });
    await this.#releaseOwnership();
    const maximumElapsed = this.#settings.bounds.graceMilliseconds - STOP_MARGIN_MILLISECONDS;
    const minimumElapsed = Math.min(LOAD_BALANCER_DELAY_MILLISECONDS, maximumElapsed);
    await delay(startedAt + minimumElapsed - performance.now());
    await this.#waitUntilIdle(startedAt + maximumElapsed);
    const refused = this.#callerListener.getPendingCount();
    this.#callerListener.post({ kind: "refuse" });
    this.#front.post({ kind: "refuse" });
    await this.#waitUntilIdle(performance.now() + REFUSAL_TIMEOUT_MILLISECONDS);
    this.#log("host-stopped", {
      refused,
      open: this.#callerListener.getPendingCount(),
      took: Math.round(performance.now() - startedAt),
    });
    this.close();
  }

  /** Closes all tasks, clients and sockets immediately. */
  close(): void {
    this.#closeOwner("host closed");
    for (const task of this.#topics) task.stop();
    this.#ownership.stop();
    this.#front.stop();
    this.#callerListener.stop();
    this.#ownerListener.stop();
    this.#readinessServer.close();
    this.#readinessServer.closeAllConnections();
    this.#metrics.close();
    clearInterval(this.#limitTimer);
    this.#limitLog.flush(Infinity);
    this.#refusalLog.flush(Infinity);
    this.#provider?.close();
    this.#adviser?.close();
    this.#store.close();
    this.#claimStore.close();
  }

  /** Waits until no request is open, or until a time on the monotonic clock. */
  async #waitUntilIdle(until: number): Promise<void> {
    while (this.#callerListener.getPendingCount() > 0 && performance.now() < until) {
      await delay(STOP_CHECK_INTERVAL_MILLISECONDS);
    }
  }

  #createFront(): FrontTask {
    return FrontTask.create({
      deliverLocally: (call, reply) => this.#deliverToOwner({ kind: "call", call, reply }),
      onHolderEnded: (holder) => this.#ownership.post({ kind: "holder-ended", holder }),
      getCandidacy: () => this.#getCandidacy(),
      getMaximumConfigurationAge: () =>
        this.#settings.bounds.keyWithdrawalMilliseconds * KEY_AGE_FRACTION,
      onAnswered: (call, answer, milliseconds) => {
        this.#metrics.count(`${call.kind}-${answer.outcome}`);
        this.#metrics.recordDuration(call.kind, milliseconds);
        const fields = {
          request: call.jobId,
          call: call.kind,
          path: call.jobId === "" ? call.path : undefined,
          outcome: answer.outcome,
          state: answer.state,
          waiting: answer.waiting,
          ...answer.basis,
          reason: answer.reason,
          version: this.#operatorState.getConfiguration()?.version,
          epoch: this.#claim?.epoch,
          took: Math.round(milliseconds),
        };
        if (!UNDELIVERED_OUTCOMES.has(answer.outcome)) return this.#log("call-answered", fields);
        this.#refusalLog.add(answer.outcome, performance.now(), fields);
      },
      maximumPending: this.#settings.callerLimits.pendingCalls,
      maximumLinkBytes: this.#settings.callerLimits.linkBytes,
      onLimit: (limit) => this.#recordLimit(limit),
      jobLimits: this.#jobLimits,
      clock: this.#clock,
      log: this.#log,
    });
  }

  /** Counts and logs that a limit refused, delayed or closed something. */
  #recordLimit(limit: string, address?: string): void {
    this.#metrics.count(`caller-limit-${limit}`);
    this.#limitLog.add(limit, performance.now(), { limit, address });
  }

  #createOwnership(holder: string): OwnershipTask {
    const { cores, linkMegabits } = this.#settings;
    return OwnershipTask.create({
      holder,
      hostName: this.#settings.name,
      address: formatSocketAddress(this.#settings.peerAddress),
      longestLeaseMilliseconds: this.#settings.bounds.longestLeaseMilliseconds,
      getDelay: (epoch) => getClaimDelay({ holder, epoch, cores, linkMegabits }),
      cores,
      shortage: getShortage({ cores, linkMegabits }),
      onHandOverDecided: (handOver) => void this.#handOver(handOver),
      onReleaseFailed: (epoch) => this.#resumeOwner(epoch),
      appendClaim: createClaimAppend(this.#claimStore),
      onOwnership: (view) => this.#handleOwnership(view),
      clock: this.#clock,
      getMonotonicTime: () => performance.now(),
      log: this.#log,
    });
  }

  #subscribe(
    store: StoreClient,
    topic: string,
    pauseMilliseconds: number,
    notify: (update: KeyedTopicUpdate) => void,
  ): KeyedTopicTask {
    const task = KeyedTopicTask.create({
      store,
      topic,
      waitMilliseconds: READ_WAIT_MILLISECONDS,
      pauseMilliseconds,
      onUpdate: notify,
      clock: this.#clock,
      log: this.#log,
    });
    this.#topics.push(task);
    return task;
  }

  #handleOperatorRecords(update: KeyedTopicUpdate): void {
    const hasChanged = this.#operatorState.apply(update);
    const configuration = this.#operatorState.getConfiguration();
    if (configuration === undefined) return;
    this.#front.post({ kind: "configuration", configuration, asOf: update.asOf });
    this.#ownership.post({ kind: "enable" });
    if (hasChanged) this.#updateOwner();
  }

  #updateOwner(): void {
    const configuration = this.#operatorState.getConfiguration();
    if (configuration === undefined) return;
    const requests = this.#operatorState.getPlannedActions();
    this.#owner?.task.post({ kind: "configuration", configuration, plannedActions: requests });
  }

  #handleClaims(update: KeyedTopicUpdate): void {
    let claim = update.isSnapshot ? undefined : this.#claim;
    for (const { key, value } of update.changes) {
      if (key !== FLEET_CLAIM_KEY) continue;
      const decoded = decodeClaim(value);
      if (decoded === undefined) this.#log("claim-unreadable", { bytes: value.length });
      else claim = decoded;
    }
    this.#ownership.post({
      kind: "claim-update",
      update: { claim, end: update.end, asOf: update.asOf },
    });
  }

  #handleOwnership(view: OwnershipView): void {
    const previous = this.#claim;
    this.#claim = view.claim;
    const epoch = view.claim?.epoch ?? 0;
    if (this.#owner !== undefined && (!view.isMine || this.#owner.epoch !== epoch)) {
      this.#closeOwner("claim superseded or released");
    }
    if (view.isMine) {
      if (this.#owner === undefined) this.#openOwner(epoch, previous);
      const renewal = view.claim?.renewal ?? 0;
      this.#owner?.task.post({ kind: "confirmed", confirmedAt: view.confirmedAt, renewal });
    }
    this.#front.post({ kind: "ownership", view });
  }

  #openOwner(epoch: number, previousClaim: Claim | undefined): void {
    const { bounds } = this.#settings;
    const executorClient = ExecutorClient.create(this.#log);
    const executorList = ExecutorList.create(this.#log);
    const statusJournal = this.#createStatusJournal(epoch);
    this.#log("owner-started", { epoch, handedOver: previousClaim?.isReleased === true });
    const task = OwnerTask.create({
      epoch,
      previousClaim,
      journalStore: createJournalStore(this.#store, this.#settings.storeLimits),
      executors: executorClient,
      provider: this.#provider,
      askAdvice: async (step, executors) => await this.#adviser?.ask(step, executors),
      writeStatus: (wave, isCompleted) =>
        void statusJournal.post({
          kind: "write",
          entries: [createWaveStatusEntry(wave, isCompleted)],
          onStored: () => this.#log("wave-status-written", { wave, isCompleted, epoch }),
        }),
      providerLeaseMilliseconds: bounds.providerLeaseMilliseconds,
      maintenanceMilliseconds: bounds.maintenanceMilliseconds,
      limits: {
        retentionMilliseconds: bounds.retentionMilliseconds,
        stopMilliseconds: bounds.stopMilliseconds,
        jobLimits: this.#jobLimits,
        maximumJobBytes: this.#settings.callerLimits.ownerJobBytes,
        longestLeaseMilliseconds: bounds.longestLeaseMilliseconds,
        offRackFactor: bounds.offRackFactor,
      },
      onFull: () => this.#recordLimit("owner-job-bytes"),
      features: this.#settings.features,
      moveMilliseconds: bounds.moveMilliseconds,
      onFenced: () => this.#log("owner-fenced", { epoch }),
      onMeasured: (name, milliseconds) => this.#metrics.recordDuration(name, milliseconds),
      claimClock: this.#clock,
      getMonotonicTime: () => performance.now(),
      getWallClockTime: () => Date.now(),
      log: this.#log,
    });
    const topic = this.#subscribe(
      this.#store,
      "keyed.servers",
      EXECUTOR_LIST_DELAY_MILLISECONDS,
      (update) => {
        executorList.apply(update);
        const entries = executorList.getEntries();
        executorClient.closeIdleExcept(new Set(entries.map((entry) => entry.id)));
        task.post({ kind: "executors", entries });
      },
    );
    this.#owner = { task, epoch, topic, executorClient, statusJournal };
    this.#updateOwner();
  }

  /** Creates the task that writes wave statuses in order, until a later owner writes one. */
  #createStatusJournal(epoch: number): JournalTask {
    return JournalTask.create({
      store: createStatusStore(this.#store),
      epoch,
      firstSequence: 1,
      onFenced: () => this.#log("wave-status-fenced", { epoch }),
      onAppended: () => {},
      log: (event, fields) => this.#log(event, { ...fields, topic: "status" }),
    });
  }

  #closeOwner(reason: string): void {
    const owner = this.#owner;
    if (owner === undefined) return;
    this.#owner = undefined;
    this.#log("owner-ended", { epoch: owner.epoch, reason });
    owner.task.stop();
    owner.statusJournal.stop();
    owner.topic.stop();
    owner.executorClient.close();
  }

  /** Stops the owner's decisions, waits until its journal is stored, and releases the claim. */
  async #releaseOwnership(): Promise<void> {
    let leaseMilliseconds: number | undefined;
    if (this.#owner !== undefined) {
      const { longestLeaseMilliseconds } = this.#settings.bounds;
      leaseMilliseconds = await endDecisions(this.#owner.task) ?? longestLeaseMilliseconds;
    }
    this.#ownership.post({ kind: "release", leaseMilliseconds });
  }

  /** Hands the fleet over to a better host, and goes on if the journal does not end in time. */
  async #handOver({ epoch }: HandOver): Promise<void> {
    const owner = this.#owner;
    const leaseMilliseconds = owner?.epoch === epoch ? await endDecisions(owner.task) : undefined;
    const isPosted = leaseMilliseconds !== undefined &&
      this.#ownership.post({ kind: "hand-over", epoch, leaseMilliseconds });
    if (isPosted) return;
    this.#resumeOwner(epoch);
    this.#ownership.post({ kind: "hand-over-abandoned", epoch });
  }

  /** Has the owner go on deciding, unless this host is stopping. */
  #resumeOwner(epoch: number): void {
    if (this.#stopped !== undefined || this.#owner?.epoch !== epoch) return;
    this.#owner.task.post({ kind: "resume" });
  }

  /** Gets whether this host may own the fleet. A host that is cut off from the store may not. */
  #getCandidacy(): Candidacy {
    const { cores, linkMegabits } = this.#settings;
    const mayOwn = this.#stopped === undefined && this.#ownership.mayOwn() &&
      this.#front.getConfigurationAge() <= MAXIMUM_CANDIDATE_CONFIGURATION_AGE_MILLISECONDS;
    return { holder: this.#processName, shortage: getShortage({ cores, linkMegabits }), mayOwn };
  }

  #deliverToOwner(message: Parameters<OwnerTask["post"]>[0] & { kind: "call" }): void {
    if (this.#owner?.task.post(message) !== true) {
      message.reply({ outcome: AnswerOutcome.NotOwner });
    }
  }

  #getGauges(): Readonly<Record<string, number>> {
    return {
      ready: Number(this.isReady()),
      configurationVersion: this.#operatorState.getConfiguration()?.version ?? 0,
      epoch: this.#claim?.epoch ?? 0,
      waitingCalls: this.#front.getPendingCount(),
      handOvers: this.#ownership.getHandOverCount(),
      ...(this.#owner === undefined ? {} : { ownerShortage: getShortage(this.#settings) }),
      ...this.#callerListener.getGauges(),
      ownerLinks: this.#ownerListener.getLinkCount(),
      ...this.#getConfigurationGauges(),
      ...this.#owner?.task.getSummary(),
    };
  }

  /** Gets the age of the configuration, once there is one. */
  #getConfigurationGauges(): Readonly<Record<string, number>> {
    const age = this.#front.getConfigurationAge();
    return Number.isFinite(age) ? { configurationAgeMilliseconds: Math.round(age) } : {};
  }
}

/**
 * Stops an owner's decisions, and waits until its journal is stored. Gets the longest lease that
 * remains at executors, in milliseconds; undefined if the journal has not ended in time.
 */
function endDecisions(owner: OwnerTask): Promise<number | undefined> {
  const finished = new Promise<number | undefined>((resolve) => {
    const isPosted = owner.post({ kind: "hand-over", reply: resolve });
    if (!isPosted) resolve(undefined);
  });
  const timedOut = delay(HANDOVER_TIMEOUT_MILLISECONDS).then(() => undefined);
  return Promise.race([finished, timedOut]);
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
