/** Performs the maintenances for which this member is responsible according to the roster. */

import { getStandingAt, Standing, type StandingGrant } from "../contracts/standing.ts";
import type { EventLog } from "../events/mod.ts";
import type { Fleet } from "../records/fleet.ts";
import type { ListedHost, ListResult, PlatformMessage } from "../records/platform_messages.ts";
import type { RecordMessage } from "../records/record_messages.ts";
import { type Address, type ElapsedClock, Task } from "../tasks/mod.ts";
import { createRecordId } from "./drain_task.ts";
import type { IdleHost } from "./drain_watch.ts";
import { type MaintenanceData, MaintenanceState } from "./maintenance_data.ts";
import type { EstimateDowntimeMilliseconds, PlanWave } from "./maintenance_planner.ts";
import { getMaintenanceProgress } from "./maintenance_progress.ts";
import { MaintenanceRecordKind } from "./maintenance_records.ts";
import { MaintenanceTracker } from "./maintenance_tracker.ts";
import {
  decideMaintenanceStep,
  findDrainedHosts,
  type MaintenanceAction,
} from "./maintenance_step.ts";
import { PoolMembershipRecordKind } from "./pool_membership_records.ts";
import type { MaintenanceMessage } from "./pool_messages.ts";
import { isResponsible } from "./responsible_member.ts";

/** Options of a `MaintenanceTask`. */
export interface MaintenanceTaskOptions {
  /** The identity of this process. */
  memberId: string;
  /** The monotonic clock. */
  clock: ElapsedClock;
  /** The interval between steps. */
  tickMilliseconds: number;
  /** How long after it became idle a host may take to reboot before it counts as missing. */
  rebootTimeoutMilliseconds: number;
  /** How long hosts that did not reboot stay drained after a stop. */
  stopGraceMilliseconds: number;
  /** The task of the platform's service. */
  platform: Address<PlatformMessage>;
  /** The record task. */
  records: Address<RecordMessage>;
  /** Plans the next wave. */
  planWave: PlanWave;
  /** The event log. */
  log: EventLog;
}

/** The task that owns the maintenances for which this member is responsible. */
export class MaintenanceTask extends Task<MaintenanceMessage> {
  readonly #options: MaintenanceTaskOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #pendingSubjects = new Set<string>();
  readonly #tracker = MaintenanceTracker.create();
  #fleet: Fleet | undefined;
  #grant: StandingGrant | undefined;
  #isListing = false;
  #performedActions = 0;
  #listFailures = 0;

  private constructor(options: MaintenanceTaskOptions) {
    super({ name: "maintenance" });
    this.#options = options;
    this.#timer = setInterval(
      () => this.post({ kind: "maintenance-tick" }),
      options.tickMilliseconds,
    );
  }

  /** Creates the task and starts its ticks. */
  static create(options: MaintenanceTaskOptions): MaintenanceTask {
    return new MaintenanceTask(options);
  }

  protected override receive(message: MaintenanceMessage): void {
    switch (message.kind) {
      case "fleet-changed":
        this.#fleet = message.fleet;
        return this.#tracker.reconcile(message.fleet, this.#options.clock.getElapsed());
      case "standing-changed":
        this.#grant = message.grant;
        return;
      case "log-read":
        return;
      case "idle-hosts-changed":
        return this.#markIdle(message.hosts);
      case "maintenance-tick":
        return this.#requestList();
      case "hosts-listed":
        return this.#handleList(message.result);
      case "published":
        this.#pendingSubjects.delete(message.host);
        return;
      case "reboot-ordered":
        this.#options.log("reboot-ordered", { host: message.host, ...message.result });
        return;
      case "get-progress":
        return message.reply(this.#getProgress());
    }
  }

  override getState(): unknown {
    return {
      pending: this.#pendingSubjects.size,
      actions: this.#performedActions,
      failedLists: this.#listFailures,
      maintenances: this.#getProgress(),
    };
  }

  override stop(): void {
    super.stop();
    clearInterval(this.#timer);
  }

  #markIdle(hosts: readonly IdleHost[]): void {
    this.#tracker.markIdle(hosts, this.#options.clock.getElapsed());
  }

  /** Requests the platform's host list, but only while this member has a maintenance to perform. */
  #requestList(): void {
    if (this.#isListing || this.#findResponsible().length === 0) return;
    this.#isListing = true;
    const isPosted = this.#options.platform.post({
      kind: "list-hosts",
      reply: (result) => this.post({ kind: "hosts-listed", result }),
    });
    if (!isPosted) this.#isListing = false;
  }

  /** Gets the maintenances that this member performs; none while its view of the log is not current. */
  #findResponsible(): MaintenanceData[] {
    const fleet = this.#fleet;
    const now = this.#options.clock.getElapsed();
    if (fleet === undefined || getStandingAt(this.#grant, now) !== Standing.Current) return [];
    return [...fleet.tables.maintenances.values()].filter((maintenance) =>
      isResponsible(fleet, this.#options.memberId, maintenance.maintenance) &&
      (maintenance.state === MaintenanceState.Running ||
        findDrainedHosts(fleet, maintenance).length > 0)
    );
  }

  #handleList(result: ListResult): void {
    this.#isListing = false;
    if (result.outcome === "failed") {
      this.#listFailures += 1;
      return;
    }
    const listed = new Map(result.hosts.map((host) => [host.host, host]));
    for (const maintenance of this.#findResponsible()) this.#decide(maintenance, listed);
  }

  #decide(maintenance: MaintenanceData, listed: ReadonlyMap<string, ListedHost>): void {
    const { rebootTimeoutMilliseconds: rebootTimeout, stopGraceMilliseconds, planWave } =
      this.#options;
    const actions = decideMaintenanceStep({
      fleet: this.#fleet as Fleet,
      maintenance,
      listed,
      now: this.#options.clock.getElapsed(),
      stateSince: this.#tracker.getStateSince(maintenance),
      drainStatuses: this.#tracker.getDrainStatuses(),
      pendingSubjects: this.#pendingSubjects,
      estimateDowntimeMilliseconds: this.#estimateDowntime,
      rebootTimeoutMilliseconds: rebootTimeout,
      stopGraceMilliseconds,
      planWave,
    });
    this.#performedActions += actions.length;
    for (const action of actions) this.#perform(maintenance, action);
  }

  #perform(maintenance: MaintenanceData, action: MaintenanceAction): void {
    const name = maintenance.maintenance;
    const { offset } = this.#fleet as Fleet;
    switch (action.kind) {
      case "drain":
        return this.#publish(
          PoolMembershipRecordKind.Drained,
          action.body,
          action.body.host,
          offset,
        );
      case "return": {
        const { host, boots } = action.body;
        const version = `${action.changedAt}-${boots}`;
        return this.#publish(PoolMembershipRecordKind.Returned, action.body, host, version);
      }
      case "order-reboot":
        return this.#orderReboot(action.host, action.boots);
      case "pause": {
        const body = { maintenance: name, reason: action.reason };
        return this.#publish(MaintenanceRecordKind.Paused, body, name, maintenance.resumedAt);
      }
      case "complete":
        return this.#publish(MaintenanceRecordKind.Completed, { maintenance: name }, name, offset);
    }
  }

  /**
   * Publishes a record. Its id is derived from the state that the decision was based on, so that the
   * records of other members and of retries are duplicates of one.
   */
  #publish(kind: string, body: unknown, subject: string, basis: string | number): void {
    this.#pendingSubjects.add(subject);
    const id = createRecordId([kind, subject, String(basis)]);
    const draft = { id, kind, version: 1, author: this.#options.memberId, body };
    const isPosted = this.#options.records.post({
      kind: "publish",
      draft,
      reply: (result) => this.post({ kind: "published", host: subject, result }),
    });
    if (!isPosted) this.#pendingSubjects.delete(subject);
  }

  #orderReboot(host: string, boots: number): void {
    this.#tracker.markRebootOrdered(host, this.#options.clock.getElapsed());
    this.#options.platform.post({
      kind: "order-reboot",
      host,
      boots,
      reply: (result) => this.post({ kind: "reboot-ordered", host, result }),
    });
  }

  readonly #estimateDowntime: EstimateDowntimeMilliseconds = (host) =>
    this.#tracker.estimateDowntimeMilliseconds(host);

  #getProgress() {
    const fleet = this.#fleet;
    if (fleet === undefined) return [];
    return [...fleet.tables.maintenances.values()].map((maintenance) =>
      getMaintenanceProgress(fleet, maintenance, this.#estimateDowntime)
    );
  }
}
