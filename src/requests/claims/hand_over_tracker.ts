/** Tracks which members of earlier rosters have handed their claims over to a holder. */

import { MAXIMUM_CLAIM_MILLISECONDS } from "./claim.ts";
import { getHolders, getQuorum } from "./claim_holders.ts";

/** How long a holder waits for the hand-overs of a roster before it hands its own claims over. */
export const HAND_OVER_TIMEOUT_MILLISECONDS = 2_000;

/** The maximum number of transitions that are kept for members at earlier rosters, unless they have gaps. */
const MAXIMUM_TRANSITIONS = 64;

/** Claims that may be missing, because a majority of their holders under a roster did not hand over. */
export interface ClaimGap {
  /** The id of the roster after the transition. */
  rosterId: string;
  /** The ids of the members before the transition, which held the claims. */
  members: readonly string[];
  /** The ids of those members that did not hand over. */
  missing: readonly string[];
  /** How long a claim made before the transition may still be valid. */
  remainingMilliseconds: number;
}

/** A transition from one roster to the next. */
export interface RosterTransition {
  /** The id of the roster after it. */
  readonly rosterId: string;
  /** The ids of the members after it. */
  readonly members: readonly string[];
  /** The ids of the members before it. */
  readonly previous: readonly string[];
  /** Whether the rosters before it are unknown, so that all claims of other members are needed. */
  readonly isWhole: boolean;
}

/** Options of `HandOverTracker.add`. */
export interface AddRosterOptions {
  /** The id of the roster, which is the same at every member and never reused. */
  rosterId: string;
  /** The ids of the members. */
  members: readonly string[];
  /** The members that joined before this one, if the previous roster is unknown. */
  earlierMembers?: readonly string[];
  /** The current time in elapsed milliseconds. */
  now: number;
}

interface TrackedTransition extends RosterTransition {
  /** The ids of the members that have handed over. */
  heard: Set<string>;
  startedAt: number;
}

interface ReportedGap {
  members: readonly string[];
  missing: Set<string>;
  expiresAt: number;
}

/** Options of a `HandOverTracker`. */
export interface HandOverTrackerOptions {
  /** The id of this member. */
  ownMemberId: string;
  /** How long a claim made before a change of the roster may stay valid after it. */
  maximumClaimMilliseconds?: number;
}

/** Keeps the transitions of the roster, in order, with their hand-overs. Times are passed as arguments. */
export class HandOverTracker {
  readonly #options: HandOverTrackerOptions;
  /** The gaps that other members reported, merged by the id of the roster after the transition. */
  readonly #reportedGaps = new Map<string, ReportedGap>();
  #transitions: TrackedTransition[] = [];

  private constructor(options: HandOverTrackerOptions) {
    this.#options = options;
  }

  /** Creates the tracker of a member without a roster. */
  static create(options: HandOverTrackerOptions): HandOverTracker {
    return new HandOverTracker(options);
  }

  /** Gets the id of the newest roster. */
  getRosterId(): string | undefined {
    return this.#transitions.at(-1)?.rosterId;
  }

  /** Gets the ids of the members of the newest roster. */
  getMembers(): readonly string[] {
    return this.#transitions.at(-1)?.members ?? [];
  }

  /** Gets the transition to a roster, if it is still kept. */
  getTransition(rosterId: string): RosterTransition | undefined {
    return this.#transitions.find((transition) => transition.rosterId === rosterId);
  }

  /** Adds the next roster. Without `earlierMembers` it must follow the newest one directly. */
  add(options: AddRosterOptions): void {
    const { rosterId, members, earlierMembers, now } = options;
    if (rosterId === this.getRosterId()) return;
    this.#transitions.push({
      rosterId,
      members,
      previous: earlierMembers ?? this.getMembers(),
      isWhole: earlierMembers !== undefined,
      heard: new Set([this.#options.ownMemberId]),
      startedAt: now,
    });
    this.#removeExpired(now);
  }

  /** Gets the transitions for which hand-overs are missing, with the members that must send them. */
  getMissingHandOvers(now: number): { step: RosterTransition; members: readonly string[] }[] {
    return this.#transitions
      .filter((transition) => now < transition.startedAt + this.#getMaximumClaimMilliseconds())
      .map((transition) => ({ step: transition, members: getMissing(transition) }))
      .filter(({ members }) => members.length > 0);
  }

  /** Marks a member as handed over for a roster, and adds the gaps that it reported. */
  addHandOver(rosterId: string, from: string, gaps: readonly ClaimGap[], now: number): void {
    const transition = this.#transitions.find((candidate) => candidate.rosterId === rosterId);
    if (transition === undefined || transition.heard.has(from)) return;
    transition.heard.add(from);
    for (const gap of gaps) this.#addReportedGap(gap, now);
  }

  /** Gets whether all hand-overs for the rosters that a hand-over covers have arrived or timed out. */
  isReadyToHandOver(rosterId: string, isWhole: boolean, now: number): boolean {
    return this.getTransition(rosterId) !== undefined &&
      this.#getCoveredTransitions(rosterId, isWhole).every((transition) =>
        getMissing(transition).length === 0 ||
        now >= transition.startedAt + HAND_OVER_TIMEOUT_MILLISECONDS
      );
  }

  /** Gets the gaps of the rosters that a hand-over covers, and those that other members reported. */
  getGapsFor(rosterId: string, isWhole: boolean, now: number): ClaimGap[] {
    return [
      ...this.#getOwnGaps(this.#getCoveredTransitions(rosterId, isWhole), now),
      ...this.#getReportedGaps(now),
    ];
  }

  /** Gets whether no claim of a key can be missing, so that an unknown key is a new key. */
  hasCompleteClaims(key: string, now: number): boolean {
    return !this.#getGaps(now).some((gap) => isInGap(gap, key));
  }

  /** Gets the state for the state dump. */
  getState(now: number): unknown {
    const gaps = this.#getGaps(now);
    return { rosterId: this.getRosterId(), members: this.getMembers().length, gaps: gaps.length };
  }

  #getGaps(now: number): ClaimGap[] {
    return [...this.#getOwnGaps(this.#transitions, now), ...this.#getReportedGaps(now)];
  }

  #getOwnGaps(transitions: readonly TrackedTransition[], now: number): ClaimGap[] {
    return transitions.map((transition) => ({
      rosterId: transition.rosterId,
      members: transition.previous,
      missing: getMissing(transition),
      remainingMilliseconds: transition.startedAt + this.#getMaximumClaimMilliseconds() - now,
    })).filter((gap) => gap.missing.length > 0 && gap.remainingMilliseconds > 0);
  }

  #getReportedGaps(now: number): ClaimGap[] {
    return [...this.#reportedGaps].map(([rosterId, gap]) => ({
      rosterId,
      members: gap.members,
      missing: [...gap.missing],
      remainingMilliseconds: gap.expiresAt - now,
    })).filter((gap) => gap.remainingMilliseconds > 0);
  }

  /** Merges a gap that another member reported with the known gap of the same transition. */
  #addReportedGap(gap: ClaimGap, now: number): void {
    const expiresAt = now + gap.remainingMilliseconds;
    const known = this.#reportedGaps.get(gap.rosterId);
    this.#reportedGaps.set(gap.rosterId, {
      members: gap.members,
      missing: new Set([...known?.missing ?? [], ...gap.missing]),
      expiresAt: Math.max(expiresAt, known?.expiresAt ?? 0),
    });
  }

  /** Gets the transitions before a roster, and the one to it if all claims are requested. */
  #getCoveredTransitions(rosterId: string, isWhole: boolean): TrackedTransition[] {
    const index = this.#transitions.findIndex((transition) => transition.rosterId === rosterId);
    return this.#transitions.slice(0, isWhole ? index + 1 : Math.max(0, index));
  }

  #getMaximumClaimMilliseconds(): number {
    return this.#options.maximumClaimMilliseconds ?? MAXIMUM_CLAIM_MILLISECONDS;
  }

  #removeExpired(now: number): void {
    for (const [rosterId, gap] of this.#reportedGaps) {
      if (gap.expiresAt <= now) this.#reportedGaps.delete(rosterId);
    }
    const isExpired = (transition: TrackedTransition) =>
      this.#getOwnGaps([transition], now).length === 0;
    while (this.#transitions.length > MAXIMUM_TRANSITIONS && isExpired(this.#transitions[0]!)) {
      this.#transitions.shift();
    }
  }
}

function getMissing(transition: TrackedTransition): string[] {
  return transition.previous.filter((member) => !transition.heard.has(member));
}

/** Gets whether a quorum of the holders of a key is missing, so that the others may lack its claim. */
function isInGap(gap: ClaimGap, key: string): boolean {
  const holders = getHolders(key, gap.members);
  const missing = holders.filter((holder) => gap.missing.includes(holder));
  return missing.length >= getQuorum(holders.length);
}
