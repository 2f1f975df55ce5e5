/** Follows drained hosts until nothing runs on them, and completes the moves among them. */

import { createHash } from "node:crypto";
import { getStandingAt, Standing, type StandingGrant } from "../contracts/standing.ts";
import { type HostData, HostState } from "../machines/host_data.ts";
import type { Fleet } from "../records/fleet.ts";
import type { DraftRecord } from "../records/record.ts";
import type { DispatchMessage } from "../requests/dispatch_messages.ts";
import { type Address, type ElapsedClock, Task } from "../tasks/mod.ts";
import { DrainWatch, type IdleHost } from "./drain_watch.ts";
import { MembershipRecordKind } from "./membership_records.ts";
import type { DrainMessage, IdleHostsChanged, PoolPeerMessage } from "./pool_messages.ts";
import { isResponsible } from "./responsible_member.ts";

/** After how many ticks a member repeats all that it has said, in case a link lost it. */
const TICKS_PER_REPETITION = 10;

/** The most hosts of one statement, so that its frame stays small. */
const MOST_HOSTS_PER_STATEMENT = 500;

/** Options of a `DrainTask`. */
export interface DrainTaskOptions {
  /** The identity of this process. */
  memberId: string;
  /** The clock of elapsed time. */
  clock: ElapsedClock;
  /** The time between two looks at the drained hosts. */
  tickMilliseconds: number;
  /** The dispatch, which knows the requests that run. */
  dispatch: Address<DispatchMessage>;
  /** Tells the other tasks where nothing runs any more. */
  notify: (event: IdleHostsChanged) => void;
  /** Sends a message to every peer. */
  broadcast: (message: PoolPeerMessage) => void;
  /** Publishes a record. */
  publish: (draft: DraftRecord) => void;
}

/** Owns what this member knows of drained hosts. */
export class DrainTask extends Task<DrainMessage> {
  readonly #options: DrainTaskOptions;
  readonly #watch = DrainWatch.create();
  readonly #timer: NodeJS.Timeout;
  readonly #said = new Map<string, number>();
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
        return this.#look();
      case "busy-hosts-found":
        return this.#speak(
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

  #look(): void {
    this.#ticks += 1;
    if (this.#ticks % TICKS_PER_REPETITION === 0) this.#said.clear();
    this.#options.dispatch.post({
      kind: "get-busy-hosts",
      reply: (busy) => this.post({ kind: "busy-hosts-found", busy }),
    });
  }

  #speak(idle: readonly IdleHost[]): void {
    this.#watch.markIdle(this.#options.memberId, idle);
    const news = idle.filter(({ host, drainedAt }) => this.#said.get(host) !== drainedAt)
      .slice(0, MOST_HOSTS_PER_STATEMENT);
    for (const { host, drainedAt } of news) this.#said.set(host, drainedAt);
    if (news.length > 0) this.#options.broadcast({ kind: "hosts-idle", hosts: news });
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
    this.#publish(MembershipRecordKind.Moved, { host: host.host, from: host.pool, to }, host);
    this.#returnHost(host, to);
  }

  #returnHost(host: HostData, pool: string): void {
    this.#publish(MembershipRecordKind.Returned, { host: host.host, pool }, host);
  }

  /** The id follows from the host's last change, so that members and retries publish one record. */
  #publish(kind: string, body: unknown, host: HostData): void {
    const id = createRecordId([kind, host.host, String(host.changedAt)]);
    this.#options.publish({ id, kind, version: 1, author: this.#options.memberId, body });
  }
}

/** Gets the id of a record that any member may publish. */
export function createRecordId(parts: readonly string[]): string {
  return createHash("sha256").update(JSON.stringify(parts)).digest("hex").slice(0, 32);
}
