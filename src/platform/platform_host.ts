/** One entry host on the users' platform: makes its tasks and connects them. */

import { randomBytes } from "node:crypto";
import { createServer, type Server } from "node:http";
import type { EventLog } from "../events/mod.ts";
import { FrontTask } from "../front/front_task.ts";
import { OwnerListenerTask } from "../front/owner_listener_task.ts";
import { listen } from "../links/listen.ts";
import { formatSocketAddress } from "../links/socket_address.ts";
import { OwnerTask } from "../owner/owner_task.ts";
import { getClaimDelay } from "../ownership/claim_delay.ts";
import { JournalTask } from "../ownership/journal_task.ts";
import { OwnershipTask, type OwnershipView } from "../ownership/ownership_task.ts";
import type { Claim } from "../ownership/ownership_ports.ts";
import { ElapsedClock } from "../tasks/mod.ts";
import { AnswerOutcome } from "../front/call.ts";
import { AdviserClient } from "./adviser_client.ts";
import { CallerListener } from "./caller_listener.ts";
import { ExecutorClient } from "./executor_client.ts";
import { HostMetrics } from "./host_metrics.ts";
import { type KeyedTopicNews, KeyedTopicTask } from "./keyed_topic_task.ts";
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

/** How long a read of operators' records or claims waits, in milliseconds: freshness is proved as often. */
const READ_WAIT_MILLISECONDS = 500;
/** The least time between two reads of the executors' list, in milliseconds: a tenth of the drain time. */
const EXECUTORS_PAUSE_MILLISECONDS = 200;
/** The part of the time for withdrawn keys that knowledge may be old. */
const KEY_AGE_PART = 0.8;
/** How long the balancer may send new connections after a host is unready, in milliseconds. */
const BALANCER_MILLISECONDS = 2_600;
/** How long before the kill a stopping process ends by itself, in milliseconds. */
const STOP_MARGIN_MILLISECONDS = 700;
/** How often a stopping process looks whether it may end, in milliseconds. */
const STOP_CHECK_MILLISECONDS = 50;
/** How long a stopping owner waits for its journal, in milliseconds. */
const HAND_OVER_MILLISECONDS = 1_000;
/** The largest body before a configuration tells, in bytes. */
const DEFAULT_LARGEST_BODY_BYTES = 262_144;

/** Options of a `PlatformHost`. */
export interface PlatformHostOptions {
  /** The settings. */
  settings: PlatformSettings;
  /** The port of the metrics on this host's address, or undefined for none. */
  metricsPort?: number | undefined;
  /** Logs events. */
  log: EventLog;
}

/** One entry host. */
export class PlatformHost {
  #settings: PlatformSettings;
  readonly #log: EventLog;
  readonly #metricsPort: number | undefined;
  readonly #clock = ElapsedClock.create();
  readonly #store: StoreClient;
  readonly #provider: ProviderClient | undefined;
  readonly #adviser: AdviserClient | undefined;
  readonly #operators: OperatorState;
  readonly #front: FrontTask;
  readonly #callers: CallerListener;
  readonly #links: OwnerListenerTask;
  readonly #ownership: OwnershipTask;
  readonly #topics: KeyedTopicTask[] = [];
  readonly #metrics: HostMetrics;
  readonly #readiness: Server;
  #owner:
    | {
      task: OwnerTask;
      epoch: number;
      topic: KeyedTopicTask;
      client: ExecutorClient;
      statuses: JournalTask;
    }
    | undefined;
  #claim: Claim | undefined;
  #isStopping = false;

  private constructor(options: PlatformHostOptions) {
    const { settings, log } = options;
    this.#settings = settings;
    this.#log = log;
    this.#metricsPort = options.metricsPort;
    this.#store = StoreClient.create(settings.storeAddress);
    this.#provider = settings.providerAddress === undefined ? undefined : ProviderClient.create({
      address: settings.providerAddress,
      holder: settings.name,
      log,
    });
    this.#adviser = settings.adviserAddress === undefined
      ? undefined
      : AdviserClient.create(settings.adviserAddress, log);
    this.#operators = OperatorState.create(log);
    this.#metrics = HostMetrics.create(() => this.#getGauges());
    this.#front = this.#createFront();
    this.#callers = CallerListener.create({
      address: settings.callerAddress,
      getLargestBodyBytes: () =>
        this.#operators.getConfiguration()?.largestBodyBytes ?? DEFAULT_LARGEST_BODY_BYTES,
      handleCall: (call, timeoutMilliseconds, reply) => {
        const message = { kind: "call", call, timeoutMilliseconds, reply } as const;
        if (!this.#front.post(message)) reply({ outcome: AnswerOutcome.Unavailable });
      },
      log,
    });
    const process = `${settings.name}-${randomBytes(4).toString("hex")}`;
    this.#links = OwnerListenerTask.create({
      address: settings.peerAddress,
      process,
      deliver: (call, reply) => this.#deliver({ kind: "call", call, reply }),
      log,
    });
    this.#ownership = this.#createOwnership(process);
    this.#readiness = createServer((_request, response) => {
      response.statusCode = this.isReady() ? 200 : 503;
      response.end();
    });
  }

  /** Creates a host; `start` opens its sockets. */
  static create(options: PlatformHostOptions): PlatformHost {
    return new PlatformHost(options);
  }

  /** Opens the sockets and follows the store. */
  async start(): Promise<void> {
    const settings = this.#settings;
    await this.#links.listen();
    await this.#callers.listen();
    await listen(this.#readiness, settings.readyAddress);
    if (this.#metricsPort !== undefined) {
      await this.#metrics.listen({ host: settings.peerAddress.host, port: this.#metricsPort });
    }
    this.#follow("keyed.op", 0, (news) => this.#handleOperators(news));
    this.#follow(CLAIMS_TOPIC, 0, (news) => this.#handleClaims(news));
    this.#log("host-started", {
      zone: settings.zone,
      callers: formatSocketAddress(settings.callerAddress),
      store: settings.storeAddress,
    });
  }

  /** Gets whether the balancer should send callers here. */
  isReady(): boolean {
    return !this.#isStopping && this.#front.isConfigurationFresh();
  }

  /** Takes the bounds of newer settings; addresses stay as they were at the start. */
  setSettings(settings: PlatformSettings): void {
    this.#settings = { ...this.#settings, bounds: settings.bounds };
  }

  /** Hands over, lets calls end, and closes everything within the grace time. */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const startedAt = performance.now();
    this.#log("host-stopping", { open: this.#callers.getOpenCount(), owner: this.#owner?.epoch });
    this.#callers.post({ kind: "drain" });
    await this.#handOver();
    const latest = this.#settings.bounds.graceMilliseconds - STOP_MARGIN_MILLISECONDS;
    for (;;) {
      const age = performance.now() - startedAt;
      const isIdle = this.#callers.getOpenCount() === 0;
      if (age >= latest || (isIdle && age >= BALANCER_MILLISECONDS)) break;
      await pause(STOP_CHECK_MILLISECONDS);
    }
    this.#log("host-stopped", {
      open: this.#callers.getOpenCount(),
      took: Math.round(performance.now() - startedAt),
    });
    this.close();
  }

  /** Closes everything at once. */
  close(): void {
    this.#closeOwner("the host closes");
    for (const topic of this.#topics) topic.stop();
    this.#ownership.stop();
    this.#front.stop();
    this.#callers.stop();
    this.#links.stop();
    this.#readiness.close();
    this.#readiness.closeAllConnections();
    this.#metrics.close();
    this.#provider?.close();
    this.#adviser?.close();
    this.#store.close();
  }

  #createFront(): FrontTask {
    return FrontTask.create({
      deliverLocally: (call, reply) => this.#deliver({ kind: "call", call, reply }),
      onHolderEnded: (holder) => this.#ownership.post({ kind: "holder-ended", holder }),
      getMaximumKeyAge: () => this.#settings.bounds.keyWithdrawalMilliseconds * KEY_AGE_PART,
      onAnswered: (call, answer, milliseconds) => {
        this.#metrics.count(`${call.kind}-${answer.outcome}`);
        this.#metrics.measure(call.kind, milliseconds);
        this.#log("call-answered", {
          request: call.jobId,
          call: call.kind,
          path: call.jobId === "" ? call.path : undefined,
          outcome: answer.outcome,
          state: answer.state,
          waiting: answer.waiting,
          ...answer.basis,
          reason: answer.reason,
          version: this.#operators.getConfiguration()?.version,
          epoch: this.#claim?.epoch,
          took: Math.round(milliseconds),
        });
      },
      clock: this.#clock,
      log: this.#log,
    });
  }

  #createOwnership(holder: string): OwnershipTask {
    return OwnershipTask.create({
      holder,
      hostName: this.#settings.name,
      address: formatSocketAddress(this.#settings.peerAddress),
      getDelay: (epoch) => getClaimDelay({ holder, epoch, cores: this.#settings.cores }),
      appendClaim: createClaimAppend(this.#store),
      notify: (view) => this.#handleOwnership(view),
      clock: this.#clock,
      getMonotonicTime: () => performance.now(),
      log: this.#log,
    });
  }

  #follow(
    topic: string,
    pauseMilliseconds: number,
    notify: (news: KeyedTopicNews) => void,
  ): KeyedTopicTask {
    const task = KeyedTopicTask.create({
      store: this.#store,
      topic,
      waitMilliseconds: READ_WAIT_MILLISECONDS,
      pauseMilliseconds,
      notify,
      clock: this.#clock,
      log: this.#log,
    });
    this.#topics.push(task);
    return task;
  }

  #handleOperators(news: KeyedTopicNews): void {
    const hasChanged = this.#operators.apply(news);
    const configuration = this.#operators.getConfiguration();
    if (configuration === undefined) return;
    this.#front.post({ kind: "configuration", configuration, freshAt: news.freshAt });
    this.#ownership.post({ kind: "enable" });
    if (hasChanged) this.#tellOwner();
  }

  #tellOwner(): void {
    const configuration = this.#operators.getConfiguration();
    if (configuration === undefined) return;
    const requests = this.#operators.getRequests();
    this.#owner?.task.post({ kind: "configuration", configuration, requests });
  }

  #handleClaims(news: KeyedTopicNews): void {
    let claim = news.isWhole ? undefined : this.#claim;
    for (const { key, value } of news.changes) {
      if (key !== FLEET_CLAIM_KEY) continue;
      const decoded = decodeClaim(value);
      if (decoded === undefined) this.#log("claim-unreadable", { bytes: value.length });
      else claim = decoded;
    }
    this.#ownership.post({
      kind: "claim-update",
      update: { claim, end: news.end, freshAt: news.freshAt },
    });
  }

  #handleOwnership(view: OwnershipView): void {
    const previous = this.#claim;
    this.#claim = view.claim;
    const epoch = view.claim?.epoch ?? 0;
    if (this.#owner !== undefined && (!view.isMine || this.#owner.epoch !== epoch)) {
      this.#closeOwner("another claim is newer, or this one is released");
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
    const client = ExecutorClient.create(this.#log);
    const list = ExecutorList.create(this.#log);
    const statuses = this.#createStatuses(epoch);
    this.#log("owner-started", { epoch, handedOver: previousClaim?.isReleased === true });
    const task = OwnerTask.create({
      epoch,
      previousClaim,
      journalStore: createJournalStore(this.#store),
      executors: client,
      provider: this.#provider,
      askAdvice: async (step, executors) => await this.#adviser?.ask(step, executors),
      writeStatus: (wave, isCompleted) =>
        void statuses.post({
          kind: "write",
          entries: [createWaveStatusEntry(wave, isCompleted)],
          onStored: () => this.#log("wave-status-written", { wave, isCompleted, epoch }),
        }),
      providerLeaseMilliseconds: bounds.providerLeaseMilliseconds,
      maintenanceMilliseconds: bounds.maintenanceMilliseconds,
      limits: {
        rememberMilliseconds: bounds.rememberMilliseconds,
        stopMilliseconds: bounds.stopMilliseconds,
        farFactor: bounds.farFactor,
      },
      onFenced: () => this.#log("owner-fenced", { epoch }),
      onMeasured: (name, milliseconds) => this.#metrics.measure(name, milliseconds),
      clock: this.#clock,
      getSteady: () => performance.now(),
      getTimeOfDay: () => Date.now(),
      log: this.#log,
    });
    const topic = this.#follow("keyed.servers", EXECUTORS_PAUSE_MILLISECONDS, (news) => {
      list.apply(news);
      const entries = list.getEntries();
      client.keepOnly(new Set(entries.map((entry) => entry.id)));
      task.post({ kind: "executors", entries });
    });
    this.#owner = { task, epoch, topic, client, statuses };
    this.#tellOwner();
  }

  /** Writes statuses in the order in which they are told, until a later owner writes one. */
  #createStatuses(epoch: number): JournalTask {
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
    owner.statuses.stop();
    owner.topic.stop();
    owner.client.keepOnly(new Set());
  }

  /** Stops deciding, stores what is on its way, and releases the claim. */
  async #handOver(): Promise<void> {
    const owner = this.#owner;
    if (owner !== undefined) {
      const finished = new Promise<void>((resolve) => {
        if (!owner.task.post({ kind: "finish", reply: resolve })) resolve();
      });
      await Promise.race([finished, pause(HAND_OVER_MILLISECONDS)]);
    }
    this.#ownership.post({ kind: "release" });
  }

  #deliver(message: Parameters<OwnerTask["post"]>[0] & { kind: "call" }): void {
    if (this.#owner?.task.post(message) !== true) {
      message.reply({ outcome: AnswerOutcome.NotOwner });
    }
  }

  #getGauges(): Readonly<Record<string, number>> {
    return {
      ready: Number(this.isReady()),
      configurationVersion: this.#operators.getConfiguration()?.version ?? 0,
      epoch: this.#claim?.epoch ?? 0,
      waitingCalls: this.#front.getWaitingCount(),
      ...this.#owner?.task.getSummary(),
    };
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
