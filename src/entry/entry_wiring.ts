/** The dependencies between the tasks of an entry host. */

import { KeeperTask } from "../contracts/loans/keeper_task.ts";
import { LOAN_RULES } from "../contracts/loans/loan_rules.ts";
import type { LoanPeerMessage } from "../contracts/loans/loan_messages.ts";
import { MemberTask } from "../contracts/member_task.ts";
import type { RosterChanged } from "../contracts/roster_messages.ts";
import type { StandingChanged } from "../contracts/standing.ts";
import type { EventLog } from "../events/mod.ts";
import { JobIntakeTask } from "../jobs/job_intake_task.ts";
import { JobQueueTask } from "../jobs/job_queue_task.ts";
import { JOB_TIMINGS } from "../jobs/job_timings.ts";
import { chooseBestFit } from "../jobs/placement.ts";
import { rankByShare } from "../jobs/queue_plan.ts";
import { CallerListenerTask } from "../links/caller_listener_task.ts";
import { addJobRoutes } from "../links/job_routes.ts";
import { OperatorListenerTask, type OperatorView } from "../links/operator_listener_task.ts";
import { PeerListenerTask } from "../links/peer_listener_task.ts";
import type { PeerMessage } from "../links/peer_message.ts";
import { PeersTask } from "../links/peers_task.ts";
import { PlatformTask } from "../links/platform_task.ts";
import { decodeSnapshot, encodeSnapshot } from "../links/snapshot_text.ts";
import { TargetsTask } from "../links/targets_task.ts";
import { createTlsIdentity } from "../links/tls_identity.ts";
import { WorkerClient } from "../links/worker_client.ts";
import type { ExecutorChoiceOptions } from "../machines/executor_choice.ts";
import { HealthSignal } from "../machines/executor_health.ts";
import { ExecutorRouter } from "../machines/executor_router.ts";
import type { RecordEvent } from "../records/record_messages.ts";
import { RecordTask } from "../records/record_task.ts";
import { decideRetry } from "../requests/attempts/retry_decision.ts";
import { RetryTask } from "../requests/attempts/retry_task.ts";
import { decideClaim } from "../requests/claims/claim_quorum.ts";
import { ClaimTask } from "../requests/claims/claim_task.ts";
import { findRosterChanges } from "../requests/claims/find_roster_changes.ts";
import type { RequestAttemptResult } from "../requests/dispatcher_options.ts";
import { Ending } from "../requests/dispatch_messages.ts";
import { DispatchTask } from "../requests/dispatch_task.ts";
import { OpenRequests } from "../requests/open_requests.ts";
import type { Caller, CallerRequest } from "../requests/exchange.ts";
import { RequestTask } from "../requests/request_task.ts";
import type { SharePeerMessage } from "../teams/share_messages.ts";
import { ElapsedClock } from "../tasks/mod.ts";
import { registerPoolTasks } from "./pool_wiring.ts";
import { MetricsTask } from "./metrics_task.ts";
import { EntryRegistry } from "./entry_registry.ts";
import type { EntrySettings } from "./entry_settings.ts";
import { RECORD_RULES } from "./record_rules.ts";

/** Options of `createEntryRegistry`. */
export interface EntryRegistryOptions {
  /** The settings. */
  settings: EntrySettings;
  /** The member id of this process. */
  memberId: string;
  /** The event log. */
  log: EventLog;
  /** Called with the events of the record task and the member task. */
  notify: (event: RecordEvent | StandingChanged | RosterChanged) => void;
  /** Called when this process is removed from the roster. */
  reportRemoval: () => void;
  /** Called with the messages of peers. */
  deliver: (from: string, message: PeerMessage) => void;
  /** Gets whether the load balancer should send callers to this host. */
  isReady: () => boolean;
  /** The views for operators by path. */
  views: ReadonlyMap<string, OperatorView>;
}

/**
 * Creates the registry of an entry host's tasks; each task is created on first use.
 *
 * The shared `ElapsedClock` also counts the time for which the machine was suspended, by the wall
 * clock. The member task and the dispatch task get the monotonic time in addition. The keeper task
 * has a monotonic clock only, since a wall clock that is set forward must not end its waits early.
 */
export function createEntryRegistry(options: EntryRegistryOptions): EntryRegistry {
  const registry = EntryRegistry.create();
  registry.add(ElapsedClock, () => ElapsedClock.create());
  registerRecordTasks(registry, options);
  registerPeerTasks(registry, options);
  registerRequestTasks(registry, options);
  registerPoolTasks(registry, options);
  registerJobTasks(registry, options);
  registerListeners(registry, options);
  return registry;
}

function registerRecordTasks(registry: EntryRegistry, options: EntryRegistryOptions): void {
  const { settings, memberId, log, notify } = options;
  registry.add(PlatformTask, () =>
    PlatformTask.create({
      address: settings.platformAddress,
      timeoutMilliseconds: settings.platformTimeout,
      clock: registry.get(ElapsedClock),
    }));
  registry.add(RecordTask, () =>
    RecordTask.create({
      memberId,
      platform: registry.get(PlatformTask),
      rules: RECORD_RULES,
      encodeSnapshot,
      decodeSnapshot,
      clock: registry.get(ElapsedClock),
      readIntervalMilliseconds: settings.readInterval,
      appendIntervalMilliseconds: settings.appendInterval,
      snapshotIntervalRecords: settings.snapshotIntervalRecords,
      snapshotIntervalMilliseconds: settings.snapshotInterval,
      publicationTimeoutMilliseconds: settings.publicationTimeout,
      notify,
      broadcast: (message) => registry.get(PeersTask).post({ kind: "broadcast", message }),
      send: (to, message) => registry.get(PeersTask).post({ kind: "send", to, message }),
      log,
    }));
}

function registerPeerTasks(registry: EntryRegistry, options: EntryRegistryOptions): void {
  const { settings, memberId, log, notify, deliver } = options;
  registry.add(PeersTask, () => PeersTask.create({ memberId, log }));
  registry.add(
    PeerListenerTask,
    () => PeerListenerTask.create({ memberId, address: settings.peerAddress, deliver, log }),
  );
  registry.add(MemberTask, () =>
    MemberTask.create({
      memberId,
      clock: registry.get(ElapsedClock),
      getMonotonicTime: () => performance.now(),
      heartbeatIntervalMilliseconds: settings.heartbeatInterval,
      platform: registry.get(PlatformTask),
      notify,
      send: (to, message) => registry.get(PeersTask).post({ kind: "send", to, message }),
      reportPeerAhead: (from, offset) =>
        registry.get(RecordTask).post({ kind: "peer-ahead", from, offset }),
      publish: (draft) =>
        registry.get(RecordTask).post({ kind: "publish", draft, reply: () => undefined }),
      reportRemoval: options.reportRemoval,
      log,
    }));
}

function registerRequestTasks(registry: EntryRegistry, options: EntryRegistryOptions): void {
  const { settings, memberId } = options;
  const sendLoan = createLoanSender(registry, memberId);
  registry.add(DispatchTask, () =>
    DispatchTask.create({
      memberId,
      zone: settings.zone,
      clock: registry.get(ElapsedClock),
      getMonotonicTime: () => performance.now(),
      ...createRouting(),
      random: Math.random,
      send: sendLoan,
    }));
  registry.add(KeeperTask, () =>
    KeeperTask.create({
      memberId,
      clock: ElapsedClock.createMonotonic(),
      rules: LOAN_RULES,
      send: sendLoan,
    }));
  registry.add(MetricsTask, () => MetricsTask.create());
  registry.add(TargetsTask, () => TargetsTask.create());
  registry.add(RetryTask, () => RetryTask.create({ decideRetry }));
  registry.add(OpenRequests, () => OpenRequests.create());
  registry.add(ClaimTask, () =>
    ClaimTask.create({
      memberId,
      clock: registry.get(ElapsedClock),
      decideClaim,
      findRosterChanges,
      random: Math.random,
      send: (to, message) => registry.get(PeersTask).post({ kind: "send", to, message }),
    }));
}

function startRequest(
  registry: EntryRegistry,
  log: EventLog,
  request: CallerRequest,
  caller: Caller,
): void {
  const openRequests = registry.get(OpenRequests);
  const task = RequestTask.create({
    request,
    caller,
    dispatch: registry.get(DispatchTask),
    targets: registry.get(TargetsTask),
    retries: registry.get(RetryTask),
    claims: registry.get(ClaimTask),
    clock: registry.get(ElapsedClock),
    log,
    onOutcome: (settled) => {
      openRequests.remove(request.requestId);
      const { service } = request;
      registry.get(MetricsTask).post({ kind: "request-settled", settled: { service, ...settled } });
    },
  });
  openRequests.add(request, task);
}

function registerJobTasks(registry: EntryRegistry, options: EntryRegistryOptions): void {
  const { memberId, log } = options;
  registry.add(WorkerClient, () => WorkerClient.create());
  registry.add(JobQueueTask, () =>
    JobQueueTask.create({
      memberId,
      clock: registry.get(ElapsedClock),
      records: registry.get(RecordTask),
      members: registry.get(MemberTask),
      callWorker: registry.get(WorkerClient).callWorker,
      chooseWorker: chooseBestFit,
      rankTeam: rankByShare,
      timings: JOB_TIMINGS,
      eventLog: log,
    }));
  registry.add(JobIntakeTask, () =>
    JobIntakeTask.create({
      memberId,
      clock: registry.get(ElapsedClock),
      records: registry.get(RecordTask),
    }));
}

/** Creates the choice of executors and the callback that updates their health. */
function createRouting() {
  const router = ExecutorRouter.create({
    getMaximumUnavailable: (pool) => pool.getMaximumUnavailable(),
  });
  return {
    chooseExecutor: (options: ExecutorChoiceOptions) => router.choose(options),
    handleAttemptResult: ({ pool, executor, ending, isFault, now }: RequestAttemptResult) => {
      const signal = getHealthSignal(ending, isFault);
      router.recordOutcome({ pool, executor, signal, now });
    },
  };
}

/** Gets the health signal of an executor from the end of a request. */
function getHealthSignal(ending: Ending, isFault: boolean): HealthSignal {
  if (isFault) return HealthSignal.Failure;
  return ending === Ending.Completed ? HealthSignal.Success : HealthSignal.None;
}

/** Creates the function that sends messages about loans: to a peer, or to a task of this member. */
function createLoanSender(registry: EntryRegistry, memberId: string) {
  return (to: string, message: LoanPeerMessage | SharePeerMessage): void => {
    if (to !== memberId) {
      registry.get(PeersTask).post({ kind: "send", to, message });
    } else if (message.kind === "loan-statement" || message.kind === "share-demand") {
      registry.get(KeeperTask).post({ kind: "peer", from: memberId, message });
    } else {
      registry.get(DispatchTask).post({ kind: "loan", from: memberId, message });
    }
  };
}

function registerListeners(registry: EntryRegistry, options: EntryRegistryOptions): void {
  const { settings, log, isReady, views } = options;
  registry.add(CallerListenerTask, () =>
    CallerListenerTask.create({
      address: settings.callerAddress,
      tls: createTlsIdentity(settings.callerCertificate, settings.callerCertificateKey),
      addRoutes: (app) => addJobRoutes(app, registry.get(JobIntakeTask)),
      isReady,
      startRequest: (request, caller) => startRequest(registry, log, request, caller),
    }));
  registry.add(OperatorListenerTask, () =>
    OperatorListenerTask.create({
      address: settings.operatorAddress,
      tls: createTlsIdentity(settings.operatorCertificate, settings.operatorCertificateKey),
      operatorKey: settings.operatorKey,
      records: registry.get(RecordTask),
      members: registry.get(MemberTask),
      views,
    }));
}
