/** Carries maintenance on wherever the roster names this member for it. */

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
import { MembershipRecordKind } from "./membership_records.ts";
import type { MaintenanceMessage } from "./pool_messages.ts";
import { isResponsible } from "./responsible_member.ts";

/** Options of a `MaintenanceTask`. */
export interface MaintenanceTaskOptions {
  /** The identity of this process. */
  memberId: string;
  /** The clock of elapsed time. */
  clock: ElapsedClock;
  /** The time between two steps. */
  tickMilliseconds: number;
  /** How long a host may take to reboot before it counts as missing. */
  rebootTimeoutMilliseconds: number;
  /** How long after a stop a host is kept away that did not reboot. */
  stopGraceMilliseconds: number;
  /** The platform's service. */
  platform: Address<PlatformMessage>;
  /** The record task. */
  records: Address<RecordMessage>;
  /** Plans the waves. */
  planWave: PlanWave;
  /** The log of events. */
  log: EventLog;
}

/** Owns what this member does for maintenance. */
export class MaintenanceTask extends Task<MaintenanceMessage> {
  readonly #options: MaintenanceTaskOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #pending = new Set<string>();
  readonly #sights = MaintenanceTracker.create();
  #fleet: Fleet | undefined;
  #grant: StandingGrant | undefined;
  #isListing = false;
  #actions = 0;
  #failedLists = 0;

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
        return this.#sights.reconcile(message.fleet, this.#options.clock.getElapsed());
      case "standing-changed":
        this.#grant = message.grant;
        return;
      case "log-read":
        return;
      case "idle-hosts-changed":
        return this.#hearIdle(message.hosts);
      case "maintenance-tick":
        return this.#list();
      case "hosts-listed":
        return this.#step(message.result);
      case "published":
        this.#pending.delete(message.host);
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
      pending: this.#pending.size,
      actions: this.#actions,
      failedLists: this.#failedLists,
      maintenances: this.#getProgress(),
    };
  }

  override stop(): void {
    super.stop();
    clearInterval(this.#timer);
  }

  #hearIdle(hosts: readonly IdleHost[]): void {
    this.#sights.markIdle(hosts, this.#options.clock.getElapsed());
  }

  /** Asks for the list only while this member has something to do for a maintenance. */
  #list(): void {
    if (this.#isListing || this.#findOwn().length === 0) return;
    this.#isListing = true;
    const isPosted = this.#options.platform.post({
      kind: "list-hosts",
      reply: (result) => this.post({ kind: "hosts-listed", result }),
    });
    if (!isPosted) this.#isListing = false;
  }

  /** Gets the maintenances for which this member acts: none unless its knowledge is current. */
  #findOwn(): MaintenanceData[] {
    const fleet = this.#fleet;
    const now = this.#options.clock.getElapsed();
    if (fleet === undefined || getStandingAt(this.#grant, now) !== Standing.Current) return [];
    return [...fleet.tables.maintenances.values()].filter((maintenance) =>
      isResponsible(fleet, this.#options.memberId, maintenance.maintenance) &&
      (maintenance.state === MaintenanceState.Running ||
        findDrainedHosts(fleet, maintenance).length > 0)
    );
  }

  #step(result: ListResult): void {
    this.#isListing = false;
    if (result.outcome === "failed") {
      this.#failedLists += 1;
      return;
    }
    const listed = new Map(result.hosts.map((host) => [host.host, host]));
    for (const maintenance of this.#findOwn()) this.#decide(maintenance, listed);
  }

  #decide(maintenance: MaintenanceData, listed: ReadonlyMap<string, ListedHost>): void {
    const {
      rebootTimeoutMilliseconds: longestRebootMilliseconds,
      stopGraceMilliseconds,
      planWave,
    } = this.#options;
    const actions = decideMaintenanceStep({
      fleet: this.#fleet as Fleet,
      maintenance,
      listed,
      now: this.#options.clock.getElapsed(),
      stateSince: this.#sights.getStateSince(maintenance),
      drainStatuses: this.#sights.getDrainStatuses(),
      pendingHosts: this.#pending,
      estimateDowntimeMilliseconds: this.#getCycle,
      rebootTimeoutMilliseconds: longestRebootMilliseconds,
      stopGraceMilliseconds,
      planWave,
    });
    this.#actions += actions.length;
    for (const action of actions) this.#perform(maintenance, action);
  }

  #perform(maintenance: MaintenanceData, action: MaintenanceAction): void {
    const name = maintenance.maintenance;
    const { offset } = this.#fleet as Fleet;
    switch (action.kind) {
      case "drain":
        return this.#publish(MembershipRecordKind.Drained, action.body, action.body.host, offset);
      case "return": {
        const { host, boots } = action.body;
        const version = `${action.changedAt}-${boots}`;
        return this.#publish(MembershipRecordKind.Returned, action.body, host, version);
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

  /** The id follows from what was decided on, so that members and retries publish one record. */
  #publish(kind: string, body: unknown, subject: string, basis: string | number): void {
    this.#pending.add(subject);
    const id = createRecordId([kind, subject, String(basis)]);
    const draft = { id, kind, version: 1, author: this.#options.memberId, body };
    const isPosted = this.#options.records.post({
      kind: "publish",
      draft,
      reply: (result) => this.post({ kind: "published", host: subject, result }),
    });
    if (!isPosted) this.#pending.delete(subject);
  }

  #orderReboot(host: string, boots: number): void {
    this.#sights.markRebootOrdered(host, this.#options.clock.getElapsed());
    this.#options.platform.post({
      kind: "order-reboot",
      host,
      boots,
      reply: (result) => this.post({ kind: "reboot-ordered", host, result }),
    });
  }

  readonly #getCycle: EstimateDowntimeMilliseconds = (host) =>
    this.#sights.estimateDowntimeMilliseconds(host);

  #getProgress() {
    const fleet = this.#fleet;
    if (fleet === undefined) return [];
    return [...fleet.tables.maintenances.values()].map((maintenance) =>
      getMaintenanceProgress(fleet, maintenance, this.#getCycle)
    );
  }
}
