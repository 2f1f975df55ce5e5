/** The task that maintains the membership of this process, and its standing, through heartbeats. */

import type { EventLog } from "../events/mod.ts";
import type { ListResult, PlatformMessage } from "../records/platform_messages.ts";
import type { DraftRecord } from "../records/record.ts";
import type { Fleet } from "../records/fleet.ts";
import { type Address, type ElapsedClock, type Reply, Task } from "../tasks/mod.ts";
import { CONTRACT_DECISIONS } from "./contract_decisions.ts";
import { MAXIMUM_LIST_LAG_MILLISECONDS } from "./freshness.ts";
import type { MemberMessage, MemberPeerMessage, MemberProgress } from "./member_messages.ts";
import { Membership, MembershipState } from "./membership.ts";
import type { MembershipEffect } from "./membership_effect.ts";
import type { Instant } from "./instant.ts";
import type { RosterChanged, RosterView } from "./roster_messages.ts";
import { Standing, type StandingChanged, type StandingGrant } from "./standing.ts";

/** The time between two reads of the platform's list. */
const LIST_INTERVAL_MILLISECONDS = 10_000;

/** How long before its end a grant is replaced, in heartbeat intervals. */
const RENEWAL_INTERVALS = 1.2;

/** Options of a `MemberTask`. */
export interface MemberTaskOptions {
  /** The member id of this process. */
  memberId: string;
  /** The clock of elapsed time. */
  clock: ElapsedClock;
  /** Gets the monotonic time in milliseconds, for delays. */
  getMonotonicTime: () => number;
  /** The time between two heartbeats. */
  heartbeatIntervalMilliseconds: number;
  /** The address of the platform's service. */
  platform: Address<PlatformMessage>;
  /** Notifies the other tasks of the standing of this member and of the roster. */
  notify: (event: StandingChanged | RosterChanged) => void;
  /** Sends a message to one peer. */
  send: (to: string, message: MemberPeerMessage) => void;
  /** Notifies the record task of a peer whose offset is ahead of this process. */
  reportPeerAhead: (from: string, offset: number) => void;
  /** Publishes a record. */
  publish: (draft: DraftRecord) => void;
  /** Reports that this process is no longer in the roster. */
  reportRemoval: () => void;
  /** The log of events. */
  log: EventLog;
}

/** Owns the membership of this process. */
export class MemberTask extends Task<MemberMessage> {
  readonly #options: MemberTaskOptions;
  readonly #membership: Membership;
  readonly #timers: readonly NodeJS.Timeout[];
  #fleet: Fleet | undefined;
  #standing: Standing = Standing.Isolated;

  private constructor(options: MemberTaskOptions) {
    super({ name: "members" });
    this.#options = options;
    const interval = options.heartbeatIntervalMilliseconds;
    this.#membership = Membership.create({
      memberId: options.memberId,
      renewalMilliseconds: interval * RENEWAL_INTERVALS,
      maximumListLagMilliseconds: MAXIMUM_LIST_LAG_MILLISECONDS,
      decisions: CONTRACT_DECISIONS,
    });
    this.#timers = [
      setInterval(() => this.post({ kind: "heartbeat-tick" }), interval),
      setInterval(() => this.post({ kind: "list-tick" }), LIST_INTERVAL_MILLISECONDS),
    ];
  }

  /** Creates the task and starts its heartbeat. */
  static create(options: MemberTaskOptions): MemberTask {
    return new MemberTask(options);
  }

  protected override receive(message: MemberMessage): void {
    const instant = this.#getInstant();
    switch (message.kind) {
      case "fleet-changed":
        this.#fleet = message.fleet;
        return this.#perform(this.#membership.handleFleet(message.fleet, instant));
      case "log-read":
        return this.#perform(this.#membership.handleRead(message.startedAt, instant));
      case "heartbeat-tick":
        this.#perform(this.#membership.handleTick(instant));
        return this.#logStanding(this.#membership.getStanding(instant));
      case "peer":
        return this.#perform(
          this.#membership.handleHeartbeat(message.from, message.message, instant),
        );
      case "list-tick":
        return this.#readList();
      case "listed":
        return this.#handleList(message.result, instant);
      case "leave":
        return this.#leave(message.reply, instant);
      case "get-progress":
        return message.reply(this.#getProgress());
    }
  }

  override getState(): unknown {
    const instant = this.#getInstant();
    const asOf = this.#membership.getAsOf();
    return {
      memberId: this.#options.memberId,
      membership: this.#membership.getState(),
      standing: this.#membership.getStanding(instant),
      ageMilliseconds: asOf === undefined ? undefined : Math.round(instant.elapsed - asOf),
      unheard: this.#getTimedOutMembers(instant.elapsed),
      roster: this.#membership.getRosterView(),
      inForceOffset: this.#membership.getInForceOffset(),
      members: this.#getProgress(),
    };
  }

  override stop(): void {
    super.stop();
    for (const timer of this.#timers) clearInterval(timer);
  }

  #getInstant(): Instant {
    return {
      elapsed: this.#options.clock.getElapsed(),
      monotonic: this.#options.getMonotonicTime(),
    };
  }

  #perform(effects: readonly MembershipEffect[]): void {
    for (const effect of effects) this.#performOne(effect);
  }

  #performOne(effect: MembershipEffect): void {
    switch (effect.kind) {
      case "send-heartbeat":
        return this.#options.send(effect.to, effect.heartbeat);
      case "grant":
        return this.#grant(effect.grant);
      case "report-peer-ahead":
        return this.#options.reportPeerAhead(effect.from, effect.offset);
      case "propose":
        return this.#propose(effect.proposal);
      case "report-roster":
        return this.#reportRoster(effect.roster);
      case "report-removal":
        this.#options.log("removed-from-roster", { member: this.#options.memberId });
        return this.#options.reportRemoval();
    }
  }

  #grant(grant: StandingGrant): void {
    this.#options.notify({ kind: "standing-changed", grant });
    this.#logStanding(grant.standing);
  }

  #logStanding(standing: Standing): void {
    if (standing === this.#standing) return;
    const asOf = this.#membership.getAsOf();
    const now = this.#options.clock.getElapsed();
    const ageMilliseconds = asOf === undefined ? undefined : Math.round(now - asOf);
    this.#options.log("standing-changed", { from: this.#standing, to: standing, ageMilliseconds });
    this.#standing = standing;
  }

  #propose(proposal: { id: string; recordKind: string; body: unknown }): void {
    const { id, recordKind: kind, body } = proposal;
    this.#options.log("roster-change-proposed", { kind, id });
    this.#options.publish({ id, kind, version: 1, author: this.#options.memberId, body });
  }

  #reportRoster(roster: RosterView): void {
    const departing = roster.departing.filter((departure) => !departure.isInForce);
    this.#options.log("roster-changed", {
      offset: roster.offset,
      members: roster.members.length,
      departing: departing.map((departure) => departure.memberId).join(",") || undefined,
      inForceOffset: this.#membership.getInForceOffset(),
    });
    this.#options.notify({ kind: "roster-changed", roster });
  }

  #readList(): void {
    this.#options.platform.post({
      kind: "list-hosts",
      reply: (result) => this.post({ kind: "listed", result }),
    });
  }

  #handleList(result: ListResult, instant: Instant): void {
    if (result.outcome === "failed") return;
    const hosts = new Set(result.hosts.map((host) => host.host));
    this.#membership.handleListedHosts(hosts, instant);
  }

  #leave(reply: Reply<void>, instant: Instant): void {
    this.#perform(this.#membership.leave(instant));
    reply();
  }

  #getTimedOutMembers(now: number): string[] {
    if (this.#membership.getState() !== MembershipState.Admitted) return [];
    const { members } = this.#membership.getRosterView();
    return members.filter((memberId) =>
      this.#membership.getFailureDetector().isTimedOut(memberId, now)
    );
  }

  #getProgress(): MemberProgress[] {
    const now = this.#options.clock.getElapsed();
    const own = { offset: this.#fleet?.offset ?? -1, receivedAt: now };
    return (this.#fleet?.getMembers() ?? []).map((member) => {
      const isOwn = member.getId() === this.#options.memberId;
      const lastHeartbeat = isOwn
        ? own
        : this.#membership.getFailureDetector().getLastHeartbeat(member.getId());
      return {
        memberId: member.getId(),
        entryHost: member.getEntryHost(),
        offset: lastHeartbeat?.offset ?? -1,
        silentMilliseconds: Math.round(now - (lastHeartbeat?.receivedAt ?? 0)),
      };
    });
  }
}
