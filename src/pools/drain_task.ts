/** Tracks drained hosts until they are idle, and completes the moves among them. */

import { createHash } from "node:crypto";
import { getStandingAt, Standing, type StandingGrant } from "../contracts/standing.ts";
import { type HostData, HostState } from "../machines/host_data.ts";
import type { Fleet } from "../records/fleet.ts";
import type { DraftRecord } from "../records/record.ts";
import type { DispatchMessage } from "../requests/dispatch_messages.ts";
import { type Address, type ElapsedClock, Task } from "../tasks/mod.ts";
import { DrainWatch, type IdleHost } from "./drain_watch.ts";
import { PoolMembershipRecordKind } from "./pool_membership_records.ts";
import type { DrainMessage, IdleHostsChanged, PoolPeerMessage } from "./pool_messages.ts";
import { isResponsible } from "./responsible_member.ts";

/** The number of ticks after which a member repeats its reports, in case a link lost them. */
const TICKS_PER_FULL_REPORT = 10;

/** The maximum number of hosts in one message, so that its frame stays small. */
const MAXIMUM_HOSTS_PER_MESSAGE = 500;

/** Options of a `DrainTask`. */
export interface DrainTaskOptions {
  /** The identity of this process. */
  memberId: string;
  /** The monotonic clock. */
  clock: ElapsedClock;
  /** The interval between checks of the drained hosts. */
  tickMilliseconds: number;
  /** The dispatch task, which knows the running requests. */
  dispatch: Address<DispatchMessage>;
  /** Notifies the other tasks of the idle hosts. */
  notify: (event: IdleHostsChanged) => void;
  /** Sends a message to every peer. */
  broadcast: (message: PoolPeerMessage) => void;
  /** Publishes a record. */
  publish: (draft: DraftRecord) => void;
}

/** The task that owns the state of drained hosts on this member. */
export class DrainTask extends Task<DrainMessage> {
  readonly #options: DrainTaskOptions;
  readonly #watch = DrainWatch.create();
  readonly #timer: NodeJS.Timeout;
  /** The offsets of the drains of which hosts were last reported as idle, by host. */
  readonly #reportedDrains = new Map<string, number>();
  #fleet: Fleet | undefined;
  #grant: StandingGrant | undefined;
  #ticks = 0;

  private constructor(options: DrainTaskOptions) {
    super({ name: "drains" });
    this.#options = options;
    this.#timer = setInterval(() => this.post({ kind: "drain-tick" }), options.tickMilliseconds);
  }

  /** Creates the task and starts its ticks. */
  static create(options: DrainTaskOptions): DrainTask {
    return new DrainTask(options);
  }

  protected override receive(message: DrainMessage): void {
    switch (message.kind) {
      case "fleet-changed":
        this.#fleet = message.fleet;
        return this.#watch.reconcile(message.fleet, this.#options.clock.getElapsed());
      case "standing-changed":
        this.#grant = message.grant;
        return;
      case "log-read":
        return;
      case "drain-tick":
        return this.#requestBusyHosts();
      case "busy-hosts-found":
        return this.#reportIdleHosts(
          this.#watch.getLocallyIdleHosts(message.busy.offset, message.busy.running),
        );
      case "peer":
        return this.#watch.markIdle(message.from, message.message.hosts);
    }
  }

  override getState(): unknown {
    return { silentMembersByHost: this.#watch.getState() };
  }

  override stop(): void {
    super.stop();
    clearInterval(this.#timer);
  }

  #requestBusyHosts(): void {
    this.#ticks += 1;
    if (this.#ticks % TICKS_PER_FULL_REPORT === 0) this.#reportedDrains.clear();
    this.#options.dispatch.post({
      kind: "get-busy-hosts",
      reply: (busy) => this.post({ kind: "busy-hosts-found", busy }),
    });
  }

  #reportIdleHosts(idle: readonly IdleHost[]): void {
    this.#watch.markIdle(this.#options.memberId, idle);
    const changed = idle.filter(({ host, drainedAt }) =>
      this.#reportedDrains.get(host) !== drainedAt
    )
      .slice(0, MAXIMUM_HOSTS_PER_MESSAGE);
    for (const { host, drainedAt } of changed) this.#reportedDrains.set(host, drainedAt);
    if (changed.length > 0) this.#options.broadcast({ kind: "hosts-idle", hosts: changed });
    const hosts = this.#watch.getIdleHosts(this.#options.clock.getElapsed());
    this.#options.notify({ kind: "idle-hosts-changed", hosts });
    this.#completeMoves(hosts);
  }

  #completeMoves(idle: readonly IdleHost[]): void {
    const fleet = this.#fleet;
    const now = this.#options.clock.getElapsed();
    if (fleet === undefined || getStandingAt(this.#grant, now) !== Standing.Current) return;
    const idleNames = new Set(idle.map(({ host }) => host));
    for (const host of fleet.tables.hosts.values()) {
      if (host.state === HostState.Serving) continue;
      if (!isResponsible(fleet, this.#options.memberId, host.host)) continue;
      if (host.state === HostState.Joining) this.#returnHost(host, host.pool);
      else if (idleNames.has(host.host)) this.#moveHost(host);
    }
  }

  #moveHost(host: HostData): void {
    const to = host.drain?.destination;
    if (to === undefined) return;
    this.#publish(PoolMembershipRecordKind.Moved, { host: host.host, from: host.pool, to }, host);
    this.#returnHost(host, to);
  }

  #returnHost(host: HostData, pool: string): void {
    this.#publish(PoolMembershipRecordKind.Returned, { host: host.host, pool }, host);
  }

  /**
   * Publishes a record about a host. Its id is derived from the last change of the host, so that the
   * records of other members and of retries are duplicates of one.
   */
  #publish(kind: string, body: unknown, host: HostData): void {
    const id = createRecordId([kind, host.host, String(host.changedAt)]);
    this.#options.publish({ id, kind, version: 1, author: this.#options.memberId, body });
  }
}

/** Derives the id of a record that several members may publish: equal parts give equal ids. */
export function createRecordId(parts: readonly string[]): string {
  return createHash("sha256").update(JSON.stringify(parts)).digest("hex").slice(0, 32);
}
