/** One entry host: the process that serves callers and operators. */

import { randomUUID } from "node:crypto";
import type { MemberMessage } from "../contracts/member_messages.ts";
import { KeeperTask } from "../contracts/loans/keeper_task.ts";
import { MemberRecordKind } from "../contracts/member_records.ts";
import { MemberTask } from "../contracts/member_task.ts";
import { getStandingAt, Standing, type StandingGrant } from "../contracts/standing.ts";
import type { EventLog } from "../events/mod.ts";
import { type CallerListenerMessage, CallerListenerTask } from "../links/caller_listener_task.ts";
import { JobIntakeTask } from "../jobs/job_intake_task.ts";
import { JobQueueTask } from "../jobs/job_queue_task.ts";
import { OperatorListenerTask, type OperatorView } from "../links/operator_listener_task.ts";
import { PeerListenerTask } from "../links/peer_listener_task.ts";
import { PeersTask } from "../links/peers_task.ts";
import { PlatformTask } from "../links/platform_task.ts";
import { TargetsTask } from "../links/targets_task.ts";
import { WorkerClient } from "../links/worker_client.ts";
import { Fleet } from "../records/fleet.ts";
import type { PublicationResult, RecordMessage } from "../records/record_messages.ts";
import { RecordTask } from "../records/record_task.ts";
import { RetryTask } from "../requests/attempts/retry_task.ts";
import type { ClaimTaskMessage } from "../requests/claims/claim_messages.ts";
import { ClaimTask } from "../requests/claims/claim_task.ts";
import type { DispatchMessage } from "../requests/dispatch_messages.ts";
import { DispatchTask } from "../requests/dispatch_task.ts";
import { OpenRequests } from "../requests/open_requests.ts";
import { ask, ElapsedClock } from "../tasks/mod.ts";
import type { EntryAddresses } from "./entry_addresses.ts";
import type { EntryRegistry } from "./entry_registry.ts";
import { createEntryViews } from "./entry_views.ts";
import { createEntryRegistry } from "./entry_wiring.ts";
import { MetricsTask } from "./metrics_task.ts";
import { type EntryEvent, routeEvent, routePeerMessage } from "./event_routes.ts";
import type { EntrySettings } from "./entry_settings.ts";
import { getPoolTasks } from "./pool_wiring.ts";
import { stopGracefully, type StopSteps } from "./graceful_stop.ts";

/** The delay before a join whose outcome is unknown is retried. */
const JOIN_RETRY_MILLISECONDS = 500;

/** How long a stop waits for running requests after the host released its standing. */
const DRAIN_TIMEOUT_MILLISECONDS = 30_000;

/** The interval at which the number of running requests is checked. */
const DRAIN_CHECK_INTERVAL_MILLISECONDS = 50;

/** Options of an `EntryHost`. */
export interface EntryHostOptions {
  /** The settings. */
  settings: EntrySettings;
  /** The log of events. */
  log: EventLog;
  /** The member id of the previous incarnation, if this process was removed and joins again. */
  predecessor?: string;
}

/** Options of `EntryHost.stop`. */
export interface StopOptions {
  /** Aborts the requests that still run. */
  signal?: AbortSignal;
}

/** Owns the tasks of one process. */
export class EntryHost {
  readonly #options: EntryHostOptions;
  /** The member id of this process in the roster. */
  readonly memberId: string;
  readonly #registry: EntryRegistry;
  /** Resolves once this process is removed from the roster. */
  readonly removed: Promise<void>;
  #reportRemoval: () => void = () => undefined;
  #fleet = Fleet.createEmpty();
  #grant: StandingGrant | undefined;
  #isStopping = false;

  private constructor(options: EntryHostOptions) {
    this.#options = options;
    this.memberId = `${options.settings.name}-${randomUUID().slice(0, 8)}`;
    this.removed = new Promise((resolve) => this.#reportRemoval = resolve);
    this.#registry = createEntryRegistry({
      settings: options.settings,
      memberId: this.memberId,
      log: options.log,
      notify: (event) => this.#notify(event),
      reportRemoval: () => this.#reportRemoval(),
      deliver: (from, message) => routePeerMessage(this.#registry, from, message),
      isReady: () => this.isReady(),
      views: this.#createViews(),
    });
  }

  /** Creates the entry host; `start` opens its sockets. */
  static create(options: EntryHostOptions): EntryHost {
    return new EntryHost(options);
  }

  /** Opens the listeners, follows the log and joins the roster. */
  async start(): Promise<EntryAddresses> {
    const addresses = {
      peers: await this.#registry.get(PeerListenerTask).listen(),
      operators: await this.#registry.get(OperatorListenerTask).listen(),
      callers: await this.#registry.get(CallerListenerTask).listen(),
    };
    this.#options.log("listening", { ...addresses });
    void this.#join(addresses);
    return addresses;
  }

  /** Gets whether the load balancer should send callers to this host. */
  isReady(): boolean {
    return !this.#isStopping && this.#getStanding() !== Standing.Isolated;
  }

  #getStanding(): Standing {
    return getStandingAt(this.#grant, this.#registry.get(ElapsedClock).getElapsed());
  }

  /** Gets the state of every task. */
  getState(): Record<string, unknown> {
    const states = this.#getTasks().map((task) => [
      task.name,
      { mailbox: task.getMailboxState(), state: task.getState() },
    ]);
    return { memberId: this.memberId, ...Object.fromEntries(states) };
  }

  /** Stops without aborting a request, unless the drain limit passes or the signal is aborted. */
  async stop(options: StopOptions = {}): Promise<void> {
    const { settings, log } = this.#options;
    await stopGracefully({
      steps: this.#createStopSteps(),
      balancerDelayMilliseconds: settings.balancerDelay,
      drainLimitMilliseconds: settings.drainLimit,
      signal: options.signal,
      log,
    });
  }

  #createStopSteps(): StopSteps {
    const listener = this.#registry.get(CallerListenerTask);
    return {
      markUnready: () => {
        this.#isStopping = true;
        listener.post({ kind: "drain" });
      },
      drainRequests: () =>
        ask<CallerListenerMessage, void>(
          listener,
          (reply) => ({ kind: "finish", reply }),
          () => undefined,
        ),
      logAbortedRequests: () => this.#registry.get(OpenRequests).logAborted(this.#options.log),
      publishLeave: async () => {
        await this.#releaseStanding();
        await this.#waitForRunningRequests();
        if (this.#fleet.getMember(this.memberId) === undefined) return;
        await this.#publish(MemberRecordKind.Left, { memberId: this.memberId });
      },
      handOver: async () => {
        await Promise.all([this.#handOverClaims(), this.#handOverLoans()]);
      },
      close: () => {
        for (const task of this.#getTasks()) task.stop();
        this.#registry.get(WorkerClient).close();
      },
    };
  }

  #getTasks() {
    return [
      this.#registry.get(CallerListenerTask),
      this.#registry.get(OperatorListenerTask),
      this.#registry.get(PeerListenerTask),
      this.#registry.get(DispatchTask),
      this.#registry.get(KeeperTask),
      this.#registry.get(RetryTask),
      this.#registry.get(ClaimTask),
      this.#registry.get(TargetsTask),
      this.#registry.get(MetricsTask),
      ...getPoolTasks(this.#registry),
      this.#registry.get(JobIntakeTask),
      this.#registry.get(JobQueueTask),
      this.#registry.get(PeersTask),
      this.#registry.get(MemberTask),
      this.#registry.get(RecordTask),
      this.#registry.get(PlatformTask),
    ];
  }

  #createViews(): ReadonlyMap<string, OperatorView> {
    return createEntryViews({
      getRegistry: () => this.#registry,
      getTasks: () => this.#getTasks(),
      getFleet: () => this.#fleet,
      getStanding: () => this.#getStanding(),
      isReady: () => this.isReady(),
      getState: () => this.getState(),
      memberId: this.memberId,
      platformAddress: this.#options.settings.platformAddress,
    });
  }

  #notify(event: EntryEvent): void {
    if (event.kind === "standing-changed") this.#grant = event.grant;
    if (event.kind === "fleet-changed") this.#fleet = event.fleet;
    routeEvent(this.#registry, event);
  }

  async #join(addresses: EntryAddresses): Promise<void> {
    const { advertisedPeerAddress } = this.#options.settings;
    const body = {
      memberId: this.memberId,
      entryHost: this.#options.settings.name,
      zone: this.#options.settings.zone,
      peerAddress: advertisedPeerAddress ?? addresses.peers,
      isAddressBound: advertisedPeerAddress === undefined,
      predecessor: this.#options.predecessor,
      operatorAddress: addresses.operators,
      callerAddress: addresses.callers,
    };
    const id = `join-${this.memberId}`;
    while (!this.#isStopping) {
      const result = await this.#publish(MemberRecordKind.Joined, body, id);
      if (result.outcome === "judged") {
        this.#options.log("joined", { member: this.memberId, offset: result.offset });
        return;
      }
      this.#options.log("join-delayed", { reason: result.reason });
      await new Promise((resolve) => setTimeout(resolve, JOIN_RETRY_MILLISECONDS));
    }
  }

  #handOverClaims(): Promise<void> {
    return ask<ClaimTaskMessage, void>(
      this.#registry.get(ClaimTask),
      (reply) => ({ kind: "leaving", reply }),
      () => undefined,
    );
  }

  #handOverLoans(): Promise<void> {
    return ask<DispatchMessage, void>(
      this.#registry.get(DispatchTask),
      (reply) => ({ kind: "leaving", reply }),
      () => undefined,
    );
  }

  #releaseStanding(): Promise<void> {
    return ask<MemberMessage, void>(
      this.#registry.get(MemberTask),
      (reply) => ({ kind: "leave", reply }),
      () => undefined,
    );
  }

  /** Waits until the dispatch task's mailbox is empty and no request runs, or the time is over. */
  async #waitForRunningRequests(): Promise<void> {
    const dispatch = this.#registry.get(DispatchTask);
    for (
      let waited = 0;
      waited < DRAIN_TIMEOUT_MILLISECONDS;
      waited += DRAIN_CHECK_INTERVAL_MILLISECONDS
    ) {
      const { running } = dispatch.getState() as { running: number };
      if (running === 0 && dispatch.getMailboxState().waiting === 0) return;
      await new Promise((resolve) => setTimeout(resolve, DRAIN_CHECK_INTERVAL_MILLISECONDS));
    }
    this.#options.log("drain-cut-short", { afterMilliseconds: DRAIN_TIMEOUT_MILLISECONDS });
  }

  #publish(kind: string, body: unknown, id: string = randomUUID()): Promise<PublicationResult> {
    const draft = { id, kind, version: 1, author: this.memberId, body };
    return ask<RecordMessage, PublicationResult>(
      this.#registry.get(RecordTask),
      (reply) => ({ kind: "publish", draft, reply }),
      () => ({ outcome: "unknown", reason: "the record task has stopped" }),
    );
  }
}
