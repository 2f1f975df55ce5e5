/** The membership of one process: its standing, whom it hears, and which removals are in force. */

import type { Fleet } from "../records/fleet.ts";
import type { ContractDecisions } from "./contract_decisions.ts";
import { FailureDetector } from "./failure_detector.ts";
import { getHeartbeatAge, type Heartbeat } from "./heartbeat.ts";
import { FreshnessTracker } from "./freshness_tracker.ts";
import type { MembershipEffect } from "./membership_effect.ts";
import type { Instant } from "./instant.ts";
import { RosterChangeTracker } from "./roster_change_tracker.ts";
import type { Roster } from "./roster.ts";
import type { RosterView } from "./roster_messages.ts";
import { RosterProposals } from "./roster_proposals.ts";
import { getStandingAt, Standing, type StandingGrant } from "./standing.ts";

/** Whether a process belongs to the roster. */
export const MembershipState = {
  /** The log has not admitted it yet. */
  Joining: "joining",
  /** The newest roster that it knows names it. */
  Admitted: "admitted",
  /** It was a member and is none any more: it refuses everything. */
  Removed: "removed",
  /** It leaves by its own decision: it starts nothing more. */
  Leaving: "leaving",
} as const;

/** One of the states of a membership. */
export type MembershipState = (typeof MembershipState)[keyof typeof MembershipState];

/** Options of a `Membership`. */
export interface MembershipOptions {
  /** The identity of the process. */
  memberId: string;
  /** How long before its end a grant is replaced by one that lasts longer. */
  renewalMilliseconds: number;
  /** The longest time by which the platform's list lags. */
  maximumListLagMilliseconds: number;
  /** The decisions. */
  decisions: ContractDecisions;
}

/** Turns what a process hears and reads into grants of standing, heartbeats and proposals. */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #knowledge: FreshnessTracker;
  readonly #hearing: FailureDetector;
  readonly #removals: RosterChangeTracker;
  readonly #proposals: RosterProposals;
  #fleet: Fleet | undefined;
  #state: MembershipState = MembershipState.Joining;
  #grant: StandingGrant | undefined;
  #reportedVersion = "";
  #sequence = 0;

  private constructor(options: MembershipOptions) {
    const {
      memberId: ownMemberId,
      decisions,
      maximumListLagMilliseconds: longestListLagMilliseconds,
    } = options;
    this.#options = options;
    this.#knowledge = FreshnessTracker.create({
      getReadTimeLowerBound: decisions.getReadTimeLowerBound,
    });
    this.#hearing = FailureDetector.create({ ownMemberId });
    this.#removals = RosterChangeTracker.create({ isChangeApplied: decisions.isChangeApplied });
    this.#proposals = RosterProposals.create({
      ownMemberId,
      maximumListLagMilliseconds: longestListLagMilliseconds,
    });
  }

  /** Creates the membership of a process that has just started. */
  static create(options: MembershipOptions): Membership {
    return new Membership(options);
  }

  /** Sends the heartbeats, looks at what has passed and proposes changes of the roster. */
  handleTick(moment: Instant): MembershipEffect[] {
    const now = moment.elapsed;
    if (this.#state === MembershipState.Leaving) return [];
    this.#sequence += 1;
    this.#knowledge.addPing(this.#sequence, now);
    this.#hearing.addTick(now);
    return [...this.#createHeartbeats(now), ...this.#decide(moment), ...this.#propose(moment)];
  }

  /** Follows the fleet as the log's order makes it. */
  handleFleet(fleet: Fleet, moment: Instant): MembershipEffect[] {
    this.#fleet = fleet;
    const roster = fleet.getRoster();
    const departed = roster.getDepartures().map((departure) => departure.memberId);
    this.#hearing.setMembers([...roster.getMemberIds(), ...departed], moment.elapsed);
    this.#knowledge.retain(roster.getMemberIds());
    this.#knowledge.setOffset(fleet.offset);
    return [...this.#followState(roster), ...this.#decide(moment)];
  }

  /** Notes a read to the head of the log. */
  handleRead(startedAt: number, moment: Instant): MembershipEffect[] {
    this.#knowledge.addRead(startedAt);
    return this.#grantStanding(moment.elapsed);
  }

  /** Takes the heartbeat of a peer. */
  handleHeartbeat(from: string, heartbeat: Heartbeat, moment: Instant): MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    const { offset } = heartbeat;
    if (offset > this.#getOffset()) effects.push({ kind: "report-peer-ahead", from, offset });
    if (this.#isKnown(from)) this.#hearing.addHeartbeat(from, heartbeat, moment.elapsed);
    if (!this.#fleet?.getRoster().isMember(from)) return effects;
    this.#knowledge.addHeartbeat(from, heartbeat, moment.elapsed);
    return [...effects, ...this.#grantStanding(moment.elapsed)];
  }

  /** Notes which entry hosts the platform lists. */
  handleListedHosts(hosts: ReadonlySet<string>, moment: Instant): void {
    if (this.#fleet !== undefined) this.#proposals.addList(this.#fleet, hosts, moment);
  }

  /** Gives up the standing for good, before the process leaves the roster. */
  leave(moment: Instant): MembershipEffect[] {
    this.#state = MembershipState.Leaving;
    return this.#decide(moment);
  }

  /** Gets whether the process belongs to the roster. */
  getState(): MembershipState {
    return this.#state;
  }

  /** Gets the standing at a moment. */
  getStanding(moment: Instant): Standing {
    return getStandingAt(this.#grant, moment.elapsed);
  }

  /** Gets when the read began that the newest knowledge comes from. */
  getAsOf(): number | undefined {
    return this.#knowledge.getAsOf();
  }

  /** Gets what was heard of the members and of those who departed. */
  getFailureDetector(): FailureDetector {
    return this.#hearing;
  }

  /** Gets the offset of the newest change of the roster that is in force. */
  getInForceOffset(): number {
    return this.#removals.getInForceOffset();
  }

  /** Gets the roster with those who departed. */
  getRosterView(): RosterView {
    const roster = this.#fleet?.getRoster();
    const departing = (roster?.getDepartures() ?? []).map((departure) => ({
      memberId: departure.memberId,
      entryHost: departure.entryHost,
      removedAt: departure.removedAt,
      isInForce: this.#removals.isInForce(departure),
    }));
    return { offset: roster?.getOffset() ?? -1, members: this.#getMemberIds(), departing };
  }

  #getOffset(): number {
    return this.#fleet?.offset ?? -1;
  }

  #getMemberIds(): readonly string[] {
    return this.#fleet?.getRoster().getMemberIds() ?? [];
  }

  #isKnown(memberId: string): boolean {
    const roster = this.#fleet?.getRoster();
    if (roster === undefined) return false;
    return roster.isMember(memberId) || roster.getDeparture(memberId) !== undefined;
  }

  #followState(roster: Roster): MembershipEffect[] {
    const { memberId } = this.#options;
    const isMember = roster.isMember(memberId);
    if (isMember && this.#state === MembershipState.Joining) {
      this.#state = MembershipState.Admitted;
    }
    const wasMember = this.#state === MembershipState.Admitted ||
      roster.getDeparture(memberId) !== undefined;
    if (isMember || !wasMember || this.#state === MembershipState.Leaving) return [];
    if (this.#state === MembershipState.Removed) return [];
    this.#state = MembershipState.Removed;
    return [{ kind: "report-removal" }];
  }

  /** Creates the heartbeats; a removed process still tells that it has applied its removal. */
  #createHeartbeats(now: number): MembershipEffect[] {
    if (this.#state === MembershipState.Joining) return [];
    const memberIds = this.#getMemberIds();
    const shared = {
      kind: "heartbeat" as const,
      offset: this.#getOffset(),
      rosterOffset: this.#fleet?.getRoster().getOffset() ?? -1,
      sequence: this.#sequence,
      ageMilliseconds: getHeartbeatAge(this.#knowledge.getAsOf(), now),
      isBlind: this.#knowledge.isBlind(now),
      unheard: this.#hearing.getTimedOutIndexes(memberIds, now),
    };
    return memberIds.filter((memberId) => memberId !== this.#options.memberId).map((to) => ({
      kind: "send-heartbeat",
      to,
      heartbeat: { ...shared, echo: this.#hearing.getEcho(to) },
    }));
  }

  #decide(moment: Instant): MembershipEffect[] {
    this.#updateRemovals(moment);
    return [...this.#grantStanding(moment.elapsed), ...this.#reportRoster()];
  }

  #updateRemovals(moment: Instant): void {
    const roster = this.#fleet?.getRoster();
    if (roster === undefined || !this.#removals.hasPendingChange(roster.getHistory())) return;
    const ended = roster.getDepartures().filter((departure) => departure.hasEnded);
    const appliedOffsets = new Map(this.#hearing.getAppliedOffsets());
    appliedOffsets.set(this.#options.memberId, this.#getOffset());
    this.#removals.update({
      history: roster.getHistory(),
      appliedOffsets,
      ended: new Set(ended.map((departure) => departure.memberId)),
      monotonic: moment.monotonic,
    });
  }

  #grantStanding(now: number): MembershipEffect[] {
    const isBlind = this.#knowledge.isBlind(now);
    const grant = this.#options.decisions.decideStanding({
      now,
      isMember: this.#state === MembershipState.Admitted,
      memberCount: this.#getMemberIds().length,
      asOf: this.#knowledge.getAsOf(),
      isBlind,
      blindReportTimes: isBlind ? this.#knowledge.getBlindReportTimes(now) : [],
      renewalMilliseconds: this.#options.renewalMilliseconds,
    });
    const before = this.#grant;
    this.#grant = grant;
    const isSame = before?.standing === grant.standing && before.validUntil === grant.validUntil;
    const isStillIsolated = before?.standing === Standing.Isolated &&
      grant.standing === Standing.Isolated;
    return isSame || isStillIsolated ? [] : [{ kind: "grant", grant }];
  }

  #reportRoster(): MembershipEffect[] {
    const roster = this.#fleet?.getRoster();
    if (roster === undefined) return [];
    const departures = roster.getDepartures().map((departure) =>
      `${departure.memberId}${this.#removals.isInForce(departure)}`
    );
    const inForceOffset = this.getInForceOffset();
    const version = `${roster.getOffset()} ${inForceOffset} ${departures.join(" ")}`;
    if (version === this.#reportedVersion) return [];
    this.#reportedVersion = version;
    return [{ kind: "report-roster", roster: this.getRosterView() }];
  }

  #propose(moment: Instant): MembershipEffect[] {
    if (this.#fleet === undefined || this.getStanding(moment) !== Standing.Current) return [];
    return this.#proposals.getProposals({
      fleet: this.#fleet,
      failureDetector: this.#hearing,
      inForceOffset: this.getInForceOffset(),
      instant: moment,
    }).map((proposal) => ({ kind: "propose", proposal }));
  }
}
