/** The proposals of one member for records about the roster. */

import type { Fleet } from "../records/fleet.ts";
import { MAXIMUM_ORPHAN_RUN_MILLISECONDS, MEMBER_TIMEOUT_MILLISECONDS } from "./freshness.ts";
import type { FailureDetector } from "./failure_detector.ts";
import type { Proposal } from "./membership_effect.ts";
import type { Instant } from "./instant.ts";
import type { Roster } from "./roster.ts";
import { RosterRecordKind } from "./roster_records.ts";

/** How long successive lists must lack a host before its process counts as ended. */
const UNLISTED_MILLISECONDS = 10_000;

/** The delay per rank, which gives a member of lower rank the time to propose the same first. */
const RANK_DELAY_MILLISECONDS = 500;

/** The time after which a proposal without effect is repeated. */
const REPEAT_MILLISECONDS = 5_000;

/** The data on one process from the platform's lists of hosts. */
interface Listing {
  /** When this member first saw the process. */
  firstSeenAt: number;
  /** Whether its host was in a list that is newer than the process. */
  wasListed: boolean;
  /** When the first and the last of the newest successive lists without the host came. */
  unlisted: { since: number; until: number } | undefined;
}

/** Options of `RosterProposals`. */
export interface RosterProposalsOptions {
  /** The member id of this process. */
  ownMemberId: string;
  /** The maximum lag of the platform's list of hosts. */
  maximumListLagMilliseconds: number;
}

/** The data from which proposals are derived. */
export interface ProposalContext {
  fleet: Fleet;
  /** The failure detector of this member. */
  failureDetector: FailureDetector;
  /** The offset of the newest change of the roster that is in force. */
  inForceOffset: number;
  /** The instant of the decision. */
  instant: Instant;
}

/**
 * Decides what a member proposes. Members propose one after the other by rank, to avoid duplicates.
 */
export class RosterProposals {
  readonly #ownMemberId: string;
  readonly #dueSince = new Map<string, number>();
  readonly #proposedAt = new Map<string, number>();
  readonly #listings = new Map<string, Listing>();
  readonly #inForceSince = new Map<string, number>();

  readonly #maximumListLag: number;

  private constructor(options: RosterProposalsOptions) {
    this.#ownMemberId = options.ownMemberId;
    this.#maximumListLag = options.maximumListLagMilliseconds;
  }

  /** Creates the proposals of a member. */
  static create(options: RosterProposalsOptions): RosterProposals {
    return new RosterProposals(options);
  }

  /** Adds a list of hosts; only a host that was listed before can be found missing. */
  addList(fleet: Fleet, hosts: ReadonlySet<string>, instant: Instant): void {
    const departures = fleet.getRoster().getDepartures();
    const processes = [...fleet.getMembers().map((member) => member.getData()), ...departures];
    for (const { memberId, entryHost } of processes) {
      const previous = this.#listings.get(memberId);
      this.#listings.set(memberId, this.#updateListing(previous, hosts.has(entryHost), instant));
    }
    const known = new Set(processes.map((process) => process.memberId));
    for (const id of this.#listings.keys()) if (!known.has(id)) this.#listings.delete(id);
  }

  /** Gets the proposals that are due and were not made recently. */
  getProposals(context: ProposalContext): Proposal[] {
    const roster = context.fleet.getRoster();
    const { monotonic } = context.instant;
    const candidates = [
      ...this.#proposeRemoval(roster, context),
      ...this.#proposeEnds(roster, context),
      ...proposeInForce(roster, context),
      ...this.#proposeForgetting(roster, context),
    ];
    this.#removeObsolete(candidates);
    const delay = this.#getRank(roster, context) * RANK_DELAY_MILLISECONDS;
    return candidates.filter(({ id }) => this.#isDue(id, monotonic, delay));
  }

  /**
   * Updates a listing. A list that may be older than the process can mean its predecessor on the
   * host.
   */
  #updateListing(previous: Listing | undefined, isListed: boolean, instant: Instant): Listing {
    const { monotonic } = instant;
    const firstSeenAt = previous?.firstSeenAt ?? monotonic;
    const isNewer = monotonic - firstSeenAt >= this.#maximumListLag;
    if (isListed) {
      return {
        firstSeenAt,
        wasListed: isNewer || (previous?.wasListed ?? false),
        unlisted: undefined,
      };
    }
    const unlisted = { since: previous?.unlisted?.since ?? monotonic, until: monotonic };
    return { firstSeenAt, wasListed: previous?.wasListed ?? false, unlisted };
  }

  #proposeRemoval(roster: Roster, context: ProposalContext): Proposal[] {
    const rosterOffset = roster.getOffset();
    const memberIds = context.failureDetector.getUnreachableMembers({
      memberIds: roster.getMemberIds(),
      rosterOffset,
      now: context.instant.elapsed,
    });
    if (memberIds.length === 0) return [];
    const id = `removed-${rosterOffset}-${memberIds.join("-")}`.slice(0, 128);
    return [{ id, recordKind: RosterRecordKind.Removed, body: { memberIds, rosterOffset } }];
  }

  #proposeEnds(roster: Roster, context: ProposalContext): Proposal[] {
    const departed = roster.getDepartures().filter((departure) => !departure.hasEnded)
      .map((departure) => departure.memberId);
    return [...roster.getMemberIds(), ...departed]
      .filter((memberId) => this.#hasEnded(memberId, context))
      .map((memberId) => createMemberProposal(RosterRecordKind.Ended, memberId));
  }

  #hasEnded(memberId: string, context: ProposalContext): boolean {
    const listing = this.#listings.get(memberId);
    if (listing?.unlisted === undefined || !listing.wasListed) return false;
    const { since, until } = listing.unlisted;
    if (until - since < UNLISTED_MILLISECONDS) return false;
    const receivedAt = context.failureDetector.getLastHeartbeat(memberId)?.receivedAt ?? -Infinity;
    return memberId !== this.#ownMemberId &&
      context.instant.elapsed - receivedAt >= MEMBER_TIMEOUT_MILLISECONDS;
  }

  #proposeForgetting(roster: Roster, context: ProposalContext): Proposal[] {
    const inForce = roster.getDepartures()
      .filter((departure) => departure.removedAt <= roster.getInForceOffset())
      .map((departure) => departure.memberId);
    for (const memberId of inForce) {
      if (!this.#inForceSince.has(memberId)) {
        this.#inForceSince.set(memberId, context.instant.monotonic);
      }
    }
    for (const id of this.#inForceSince.keys()) {
      if (!inForce.includes(id)) this.#inForceSince.delete(id);
    }
    const isExpired = (memberId: string) =>
      context.instant.monotonic - this.#inForceSince.get(memberId)! >=
        MAXIMUM_ORPHAN_RUN_MILLISECONDS;
    return inForce.filter(isExpired)
      .map((memberId) => createMemberProposal(RosterRecordKind.Forgotten, memberId));
  }

  #getRank(roster: Roster, context: ProposalContext): number {
    const reachable = roster.getMemberIds().filter((memberId) =>
      !context.failureDetector.isTimedOut(memberId, context.instant.elapsed)
    );
    return reachable.indexOf(this.#ownMemberId);
  }

  #isDue(id: string, monotonic: number, delay: number): boolean {
    const since = this.#dueSince.get(id) ?? monotonic;
    this.#dueSince.set(id, since);
    if (monotonic - since < delay) return false;
    if (monotonic - (this.#proposedAt.get(id) ?? -Infinity) < REPEAT_MILLISECONDS) return false;
    this.#proposedAt.set(id, monotonic);
    return true;
  }

  #removeObsolete(candidates: readonly Proposal[]): void {
    const ids = new Set(candidates.map((proposal) => proposal.id));
    for (const times of [this.#dueSince, this.#proposedAt]) {
      for (const id of times.keys()) if (!ids.has(id)) times.delete(id);
    }
  }
}

function proposeInForce(roster: Roster, context: ProposalContext): Proposal[] {
  const rosterOffset = context.inForceOffset;
  if (rosterOffset <= roster.getInForceOffset()) return [];
  const id = `settled-${rosterOffset}`;
  return [{ id, recordKind: RosterRecordKind.Settled, body: { rosterOffset } }];
}

function createMemberProposal(recordKind: RosterRecordKind, memberId: string): Proposal {
  return { id: `${recordKind}-${memberId}`, recordKind, body: { memberId } };
}
