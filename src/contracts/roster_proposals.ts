/** What one member proposes for the roster: removals, ends, settled changes and departures to forget. */

import type { Fleet } from "../records/fleet.ts";
import { MAXIMUM_ORPHAN_RUN_MILLISECONDS, MEMBER_TIMEOUT_MILLISECONDS } from "./freshness.ts";
import type { FailureDetector } from "./failure_detector.ts";
import type { Proposal } from "./membership_effect.ts";
import type { Instant } from "./instant.ts";
import type { Roster } from "./roster.ts";
import { RosterRecordKind } from "./roster_records.ts";

/** The time between the first and the last list that leave out a host whose process has ended. */
const UNLISTED_MILLISECONDS = 10_000;

/** The wait before a member proposes what the member of the rank before has not proposed. */
const MILLISECONDS_PER_RANK = 500;

/** The time after which a proposal that had no effect is made again. */
const REPEAT_MILLISECONDS = 5_000;

/** What the platform's list says of one process. */
interface Listing {
  /** When this member learned of the process. */
  knownSince: number;
  /** Whether a list named its host that was newer than the process. */
  isSeen: boolean;
  /** When the first and the last of the lists came that left out the host, one after the other. */
  unlisted: { since: number; until: number } | undefined;
}

/** Options of `RosterProposals`. */
export interface RosterProposalsOptions {
  /** The identity of this process. */
  ownMemberId: string;
  /** The longest time by which the platform's list lags. */
  maximumListLagMilliseconds: number;
}

/** The facts that proposals follow from. */
export interface ProposalContext {
  /** The fleet. */
  fleet: Fleet;
  /** What was heard of the members. */
  failureDetector: FailureDetector;
  /** The offset of the newest change of the roster that is in force. */
  inForceOffset: number;
  /** The moment. */
  instant: Instant;
}

/** Keeps since when each proposal is due, so that members propose one after the other by rank. */
export class RosterProposals {
  readonly #ownMemberId: string;
  readonly #dueSince = new Map<string, number>();
  readonly #proposedAt = new Map<string, number>();
  readonly #listings = new Map<string, Listing>();
  readonly #inForceSince = new Map<string, number>();

  readonly #longestListLag: number;

  private constructor(options: RosterProposalsOptions) {
    this.#ownMemberId = options.ownMemberId;
    this.#longestListLag = options.maximumListLagMilliseconds;
  }

  /** Creates the proposals of a member. */
  static create(options: RosterProposalsOptions): RosterProposals {
    return new RosterProposals(options);
  }

  /** Notes which entry hosts the platform lists: only one that it named before can go missing. */
  addList(fleet: Fleet, hosts: ReadonlySet<string>, moment: Instant): void {
    const departures = fleet.getRoster().getDepartures();
    const processes = [...fleet.getMembers().map((member) => member.getData()), ...departures];
    for (const { memberId, entryHost } of processes) {
      const before = this.#listings.get(memberId);
      this.#listings.set(memberId, this.#updateListing(before, hosts.has(entryHost), moment));
    }
    const known = new Set(processes.map((process) => process.memberId));
    for (const id of this.#listings.keys()) if (!known.has(id)) this.#listings.delete(id);
  }

  /** Gets the proposals that are due at this moment and not made lately. */
  getProposals(facts: ProposalContext): Proposal[] {
    const roster = facts.fleet.getRoster();
    const { monotonic: steady } = facts.instant;
    const wanted = [
      ...this.#getRemoval(roster, facts),
      ...this.#getEnds(roster, facts),
      ...getSettled(roster, facts),
      ...this.#getForgotten(roster, facts),
    ];
    this.#forgetUnwanted(wanted);
    const wait = this.#getRank(roster, facts) * MILLISECONDS_PER_RANK;
    return wanted.filter(({ id }) => this.#isDue(id, steady, wait));
  }

  /** A list that may be older than the process tells of an earlier one on the same host. */
  #updateListing(before: Listing | undefined, isNamed: boolean, moment: Instant): Listing {
    const { monotonic: steady } = moment;
    const knownSince = before?.knownSince ?? steady;
    const isNewer = steady - knownSince >= this.#longestListLag;
    if (isNamed) {
      return { knownSince, isSeen: isNewer || (before?.isSeen ?? false), unlisted: undefined };
    }
    const unlisted = { since: before?.unlisted?.since ?? steady, until: steady };
    return { knownSince, isSeen: before?.isSeen ?? false, unlisted };
  }

  #getRemoval(roster: Roster, facts: ProposalContext): Proposal[] {
    const rosterOffset = roster.getOffset();
    const memberIds = facts.failureDetector.getUnreachableMembers({
      memberIds: roster.getMemberIds(),
      rosterOffset,
      now: facts.instant.elapsed,
    });
    if (memberIds.length === 0) return [];
    const id = `removed-${rosterOffset}-${memberIds.join("-")}`.slice(0, 128);
    return [{ id, recordKind: RosterRecordKind.Removed, body: { memberIds, rosterOffset } }];
  }

  #getEnds(roster: Roster, facts: ProposalContext): Proposal[] {
    const departed = roster.getDepartures().filter((departure) => !departure.hasEnded)
      .map((departure) => departure.memberId);
    return [...roster.getMemberIds(), ...departed]
      .filter((memberId) => this.#hasEnded(memberId, facts))
      .map((memberId) => createNamed(RosterRecordKind.Ended, memberId));
  }

  #hasEnded(memberId: string, facts: ProposalContext): boolean {
    const listing = this.#listings.get(memberId);
    if (listing?.unlisted === undefined || !listing.isSeen) return false;
    const { since, until } = listing.unlisted;
    if (until - since < UNLISTED_MILLISECONDS) return false;
    const heardAt = facts.failureDetector.getLastHeartbeat(memberId)?.receivedAt ?? -Infinity;
    return memberId !== this.#ownMemberId &&
      facts.instant.elapsed - heardAt >= MEMBER_TIMEOUT_MILLISECONDS;
  }

  #getForgotten(roster: Roster, facts: ProposalContext): Proposal[] {
    const settled = roster.getDepartures()
      .filter((departure) => departure.removedAt <= roster.getSettledOffset())
      .map((departure) => departure.memberId);
    for (const memberId of settled) {
      if (!this.#inForceSince.has(memberId)) {
        this.#inForceSince.set(memberId, facts.instant.monotonic);
      }
    }
    for (const id of this.#inForceSince.keys()) {
      if (!settled.includes(id)) this.#inForceSince.delete(id);
    }
    const isOver = (memberId: string) =>
      facts.instant.monotonic - this.#inForceSince.get(memberId)! >=
        MAXIMUM_ORPHAN_RUN_MILLISECONDS;
    return settled.filter(isOver)
      .map((memberId) => createNamed(RosterRecordKind.Forgotten, memberId));
  }

  #getRank(roster: Roster, facts: ProposalContext): number {
    const heard = roster.getMemberIds().filter((memberId) =>
      !facts.failureDetector.isTimedOut(memberId, facts.instant.elapsed)
    );
    return heard.indexOf(this.#ownMemberId);
  }

  #isDue(id: string, steady: number, wait: number): boolean {
    const since = this.#dueSince.get(id) ?? steady;
    this.#dueSince.set(id, since);
    if (steady - since < wait) return false;
    if (steady - (this.#proposedAt.get(id) ?? -Infinity) < REPEAT_MILLISECONDS) return false;
    this.#proposedAt.set(id, steady);
    return true;
  }

  #forgetUnwanted(wanted: readonly Proposal[]): void {
    const ids = new Set(wanted.map((proposal) => proposal.id));
    for (const known of [this.#dueSince, this.#proposedAt]) {
      for (const id of known.keys()) if (!ids.has(id)) known.delete(id);
    }
  }
}

function getSettled(roster: Roster, facts: ProposalContext): Proposal[] {
  const rosterOffset = facts.inForceOffset;
  if (rosterOffset <= roster.getSettledOffset()) return [];
  const id = `settled-${rosterOffset}`;
  return [{ id, recordKind: RosterRecordKind.Settled, body: { rosterOffset } }];
}

function createNamed(recordKind: RosterRecordKind, memberId: string): Proposal {
  return { id: `${recordKind}-${memberId}`, recordKind, body: { memberId } };
}
