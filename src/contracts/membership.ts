/** The membership of one process: its standing, its failure detector and the removals in force. */

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
  /** The log has not yet admitted the process. */
  Joining: "joining",
  /** The process is in the newest roster that it has applied. */
  Admitted: "admitted",
  /** The process is no longer a member: it refuses every request. */
  Removed: "removed",
  /** The process is leaving by its own decision: it starts nothing more. */
  Leaving: "leaving",
} as const;

/** One of the states of a membership. */
export type MembershipState = (typeof MembershipState)[keyof typeof MembershipState];

/** Options of a `Membership`. */
export interface MembershipOptions {
  /** The member id of the process. */
  memberId: string;
  /** How long before its end a grant is replaced by one that lasts longer. */
  renewalMilliseconds: number;
  /** The maximum lag of the platform's list of hosts. */
  maximumListLagMilliseconds: number;
  /** The replaceable decisions. */
  decisions: ContractDecisions;
}

/**
 * Derives grants of standing, heartbeats and proposals from heartbeats of peers and reads of the
 * log.
 */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #freshness: FreshnessTracker;
  readonly #failureDetector: FailureDetector;
  readonly #rosterChanges: RosterChangeTracker;
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
      maximumListLagMilliseconds,
    } = options;
    this.#options = options;
    this.#freshness = FreshnessTracker.create({
      getReadTimeLowerBound: decisions.getReadTimeLowerBound,
    });
    this.#failureDetector = FailureDetector.create({ ownMemberId });
    this.#rosterChanges = RosterChangeTracker.create({
      isChangeApplied: decisions.isChangeApplied,
    });
    this.#proposals = RosterProposals.create({
      ownMemberId,
      maximumListLagMilliseconds,
    });
  }

  /** Creates the membership of a process that has just started. */
  static create(options: MembershipOptions): Membership {
    return new Membership(options);
  }

  /**
   * Handles a timer tick: sends heartbeats, decides the standing and proposes changes of the
   * roster.
   */
  handleTick(instant: Instant): MembershipEffect[] {
    const now = instant.elapsed;
    if (this.#state === MembershipState.Leaving) return [];
    this.#sequence += 1;
    this.#freshness.addPing(this.#sequence, now);
    this.#failureDetector.addTick(now);
    return [...this.#createHeartbeats(now), ...this.#decide(instant), ...this.#propose(instant)];
  }

  /** Handles a fleet that results from newly applied records. */
  handleFleet(fleet: Fleet, instant: Instant): MembershipEffect[] {
    this.#fleet = fleet;
    const roster = fleet.getRoster();
    const departed = roster.getDepartures().map((departure) => departure.memberId);
    this.#failureDetector.setMembers([...roster.getMemberIds(), ...departed], instant.elapsed);
    this.#freshness.retain(roster.getMemberIds());
    this.#freshness.setOffset(fleet.offset);
    return [...this.#updateState(roster), ...this.#decide(instant)];
  }

  /** Handles a read to the head of the log. */
  handleRead(startedAt: number, instant: Instant): MembershipEffect[] {
    this.#freshness.addRead(startedAt);
    return this.#grantStanding(instant.elapsed);
  }

  /** Handles the heartbeat of a peer. */
  handleHeartbeat(from: string, heartbeat: Heartbeat, instant: Instant): MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    const { offset } = heartbeat;
    if (offset > this.#getOffset()) effects.push({ kind: "report-peer-ahead", from, offset });
    if (this.#isKnown(from)) this.#failureDetector.addHeartbeat(from, heartbeat, instant.elapsed);
    if (!this.#fleet?.getRoster().isMember(from)) return effects;
    this.#freshness.addHeartbeat(from, heartbeat, instant.elapsed);
    return [...effects, ...this.#grantStanding(instant.elapsed)];
  }

  /** Handles the list of entry hosts from the platform. */
  handleListedHosts(hosts: ReadonlySet<string>, instant: Instant): void {
    if (this.#fleet !== undefined) this.#proposals.addList(this.#fleet, hosts, instant);
  }

  /** Gives up the standing permanently, before the process leaves the roster. */
  leave(instant: Instant): MembershipEffect[] {
    this.#state = MembershipState.Leaving;
    return this.#decide(instant);
  }

  /** Gets the state of the membership. */
  getState(): MembershipState {
    return this.#state;
  }

  /** Gets the standing at an instant. */
  getStanding(instant: Instant): Standing {
    return getStandingAt(this.#grant, instant.elapsed);
  }

  /** Gets when the read behind the newest view of the log began. */
  getAsOf(): number | undefined {
    return this.#freshness.getAsOf();
  }

  /** Gets the failure detector, which covers members and former members. */
  getFailureDetector(): FailureDetector {
    return this.#failureDetector;
  }

  /** Gets the offset of the newest change of the roster that is in force. */
  getInForceOffset(): number {
    return this.#rosterChanges.getInForceOffset();
  }

  /** Gets the roster with the former members. */
  getRosterView(): RosterView {
    const roster = this.#fleet?.getRoster();
    const departing = (roster?.getDepartures() ?? []).map((departure) => ({
      memberId: departure.memberId,
      entryHost: departure.entryHost,
      removedAt: departure.removedAt,
      isInForce: this.#rosterChanges.isInForce(departure),
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

  #updateState(roster: Roster): MembershipEffect[] {
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

  /**
   * Creates the heartbeats. A removed process still sends them, to report that it applied its
   * removal.
   */
  #createHeartbeats(now: number): MembershipEffect[] {
    if (this.#state === MembershipState.Joining) return [];
    const memberIds = this.#getMemberIds();
    const shared = {
      kind: "heartbeat" as const,
      offset: this.#getOffset(),
      rosterOffset: this.#fleet?.getRoster().getOffset() ?? -1,
      sequence: this.#sequence,
      ageMilliseconds: getHeartbeatAge(this.#freshness.getAsOf(), now),
      isBlind: this.#freshness.isBlind(now),
      unheard: this.#failureDetector.getTimedOutIndexes(memberIds, now),
    };
    return memberIds.filter((memberId) => memberId !== this.#options.memberId).map((to) => ({
      kind: "send-heartbeat",
      to,
      heartbeat: { ...shared, echo: this.#failureDetector.getEcho(to) },
    }));
  }

  #decide(instant: Instant): MembershipEffect[] {
    this.#updateRosterChanges(instant);
    return [...this.#grantStanding(instant.elapsed), ...this.#reportRoster()];
  }

  #updateRosterChanges(instant: Instant): void {
    const roster = this.#fleet?.getRoster();
    if (roster === undefined || !this.#rosterChanges.hasPendingChange(roster.getHistory())) return;
    const ended = roster.getDepartures().filter((departure) => departure.hasEnded);
    const appliedOffsets = new Map(this.#failureDetector.getAppliedOffsets());
    appliedOffsets.set(this.#options.memberId, this.#getOffset());
    this.#rosterChanges.update({
      history: roster.getHistory(),
      appliedOffsets,
      ended: new Set(ended.map((departure) => departure.memberId)),
      monotonic: instant.monotonic,
    });
  }

  #grantStanding(now: number): MembershipEffect[] {
    const isBlind = this.#freshness.isBlind(now);
    const grant = this.#options.decisions.decideStanding({
      now,
      isMember: this.#state === MembershipState.Admitted,
      memberCount: this.#getMemberIds().length,
      asOf: this.#freshness.getAsOf(),
      isBlind,
      blindReportTimes: isBlind ? this.#freshness.getBlindReportTimes(now) : [],
      renewalMilliseconds: this.#options.renewalMilliseconds,
    });
    const previous = this.#grant;
    this.#grant = grant;
    const isSame = previous?.standing === grant.standing &&
      previous.validUntil === grant.validUntil;
    const isStillIsolated = previous?.standing === Standing.Isolated &&
      grant.standing === Standing.Isolated;
    return isSame || isStillIsolated ? [] : [{ kind: "grant", grant }];
  }

  #reportRoster(): MembershipEffect[] {
    const roster = this.#fleet?.getRoster();
    if (roster === undefined) return [];
    const departures = roster.getDepartures().map((departure) =>
      `${departure.memberId}${this.#rosterChanges.isInForce(departure)}`
    );
    const inForceOffset = this.getInForceOffset();
    const version = `${roster.getOffset()} ${inForceOffset} ${departures.join(" ")}`;
    if (version === this.#reportedVersion) return [];
    this.#reportedVersion = version;
    return [{ kind: "report-roster", roster: this.getRosterView() }];
  }

  #propose(instant: Instant): MembershipEffect[] {
    if (this.#fleet === undefined || this.getStanding(instant) !== Standing.Current) return [];
    return this.#proposals.getProposals({
      fleet: this.#fleet,
      failureDetector: this.#failureDetector,
      inForceOffset: this.getInForceOffset(),
      instant,
    }).map((proposal) => ({ kind: "propose", proposal }));
  }
}
