/** What a holder knows of the claims made under earlier rosters: who has handed over, and who has not. */

import { MAXIMUM_CLAIM_MILLISECONDS } from "./claim.ts";
import { getHolders, getQuorum } from "./claim_holders.ts";

/** How long a holder waits for the hand-over of one roster before it passes on what it knows. */
export const HAND_OVER_TIMEOUT_MILLISECONDS = 2_000;

/** The most steps that are kept for members that lag behind. */
const MOST_STEPS = 64;

/** Claims that may be lost: those of keys most of whose holders under a roster never handed over. */
export interface ClaimGap {
  /** The name of the roster that followed. */
  rosterId: string;
  /** The members of the roster. */
  members: readonly string[];
  /** The members that did not hand over. */
  missing: readonly string[];
  /** How long a claim made under the roster may still count. */
  remainingMilliseconds: number;
}

/** A change of the roster. */
export interface RosterTransition {
  /** The name of the roster after it. */
  readonly rosterId: string;
  /** The members after it. */
  readonly members: readonly string[];
  /** The members before it. */
  readonly previous: readonly string[];
  /** Whether the rosters before it are unknown here, so that the whole knowledge of others is needed. */
  readonly isWhole: boolean;
}

/** Options of `RosterSteps.add`. */
export interface AddRosterOptions {
  /** The name of the roster: the same at every member, and never used twice. */
  rosterId: string;
  /** The members. */
  members: readonly string[];
  /** The members that joined before this one, if the roster before is unknown here. */
  earlierMembers?: readonly string[];
  /** The time, in elapsed milliseconds. */
  now: number;
}

interface KeptStep extends RosterTransition {
  heard: Set<string>;
  startedAt: number;
}

interface InheritedGap {
  members: readonly string[];
  missing: Set<string>;
  expiresAt: number;
}

/** Options of a `RosterSteps`. */
export interface HandOverTrackerOptions {
  /** The identity of this member. */
  ownMemberId: string;
  /** How long a claim made before a change of the roster may count after it. */
  maximumClaimMilliseconds?: number;
}

/** Keeps the changes of the roster, in their order; every time is an argument. */
export class HandOverTracker {
  readonly #options: HandOverTrackerOptions;
  /** What others did not know, by the roster that followed: one gap for each. */
  readonly #inherited = new Map<string, InheritedGap>();
  #steps: KeptStep[] = [];

  private constructor(options: HandOverTrackerOptions) {
    this.#options = options;
  }

  /** Creates the steps of a member that knows no roster. */
  static create(options: HandOverTrackerOptions): HandOverTracker {
    return new HandOverTracker(options);
  }

  /** Gets the name of the newest roster. */
  getRosterId(): string | undefined {
    return this.#steps.at(-1)?.rosterId;
  }

  /** Gets the members of the newest roster. */
  getMembers(): readonly string[] {
    return this.#steps.at(-1)?.members ?? [];
  }

  /** Gets the change that led to a roster, if it is still kept. */
  getTransition(rosterId: string): RosterTransition | undefined {
    return this.#steps.find((step) => step.rosterId === rosterId);
  }

  /** Adds the next roster; without `elders` it must follow the newest one directly. */
  add(options: AddRosterOptions): void {
    const { rosterId, members, earlierMembers: earlierMembers, now } = options;
    if (rosterId === this.getRosterId()) return;
    this.#steps.push({
      rosterId,
      members,
      previous: earlierMembers ?? this.getMembers(),
      isWhole: earlierMembers !== undefined,
      heard: new Set([this.#options.ownMemberId]),
      startedAt: now,
    });
    this.#removeOld(now);
  }

  /** Gets the steps for which members still owe their hand-over. */
  getMissingHandOvers(now: number): { step: RosterTransition; members: readonly string[] }[] {
    return this.#steps
      .filter((step) => now < step.startedAt + this.#getLongestClaim())
      .map((step) => ({ step, members: getMissing(step) }))
      .filter(({ members }) => members.length > 0);
  }

  /** Adds that a member has handed over for a roster, with the gaps that it knew of. */
  addHandOver(rosterId: string, from: string, gaps: readonly ClaimGap[], now: number): void {
    const step = this.#steps.find((candidate) => candidate.rosterId === rosterId);
    if (step === undefined || step.heard.has(from)) return;
    step.heard.add(from);
    for (const gap of gaps) this.#inherit(gap, now);
  }

  /** Gets whether this member knows all that it can know of the rosters that a hand-over covers. */
  isReadyToHandOver(rosterId: string, isWhole: boolean, now: number): boolean {
    return this.getTransition(rosterId) !== undefined &&
      this.#getCovered(rosterId, isWhole).every((step) =>
        getMissing(step).length === 0 || now >= step.startedAt + HAND_OVER_TIMEOUT_MILLISECONDS
      );
  }

  /** Gets the gaps of the rosters that a hand-over covers, and those of other members. */
  getGapsFor(rosterId: string, isWhole: boolean, now: number): ClaimGap[] {
    return [
      ...this.#getOwnGaps(this.#getCovered(rosterId, isWhole), now),
      ...this.#getInheritedGaps(now),
    ];
  }

  /** Gets whether no claim of a key can be lost, so that an unknown key is a new key. */
  hasCompleteClaims(key: string, now: number): boolean {
    return !this.#getGaps(now).some((gap) => isIn(gap, key));
  }

  /** Gets what the state dump shows. */
  getState(now: number): unknown {
    const gaps = this.#getGaps(now);
    return { rosterId: this.getRosterId(), members: this.getMembers().length, gaps: gaps.length };
  }

  #getGaps(now: number): ClaimGap[] {
    return [...this.#getOwnGaps(this.#steps, now), ...this.#getInheritedGaps(now)];
  }

  #getOwnGaps(steps: readonly KeptStep[], now: number): ClaimGap[] {
    return steps.map((step) => ({
      rosterId: step.rosterId,
      members: step.previous,
      missing: getMissing(step),
      remainingMilliseconds: step.startedAt + this.#getLongestClaim() - now,
    })).filter((gap) => gap.missing.length > 0 && gap.remainingMilliseconds > 0);
  }

  #getInheritedGaps(now: number): ClaimGap[] {
    return [...this.#inherited].map(([rosterId, gap]) => ({
      rosterId,
      members: gap.members,
      missing: [...gap.missing],
      remainingMilliseconds: gap.expiresAt - now,
    })).filter((gap) => gap.remainingMilliseconds > 0);
  }

  /** Adds what another member did not know to what is known of the same change. */
  #inherit(gap: ClaimGap, now: number): void {
    const expiresAt = now + gap.remainingMilliseconds;
    const known = this.#inherited.get(gap.rosterId);
    this.#inherited.set(gap.rosterId, {
      members: gap.members,
      missing: new Set([...known?.missing ?? [], ...gap.missing]),
      expiresAt: Math.max(expiresAt, known?.expiresAt ?? 0),
    });
  }

  /** Gets the steps before a roster, and its own step if the whole knowledge is wanted. */
  #getCovered(rosterId: string, isWhole: boolean): KeptStep[] {
    const index = this.#steps.findIndex((step) => step.rosterId === rosterId);
    return this.#steps.slice(0, isWhole ? index + 1 : Math.max(0, index));
  }

  #getLongestClaim(): number {
    return this.#options.maximumClaimMilliseconds ?? MAXIMUM_CLAIM_MILLISECONDS;
  }

  #removeOld(now: number): void {
    for (const [rosterId, gap] of this.#inherited) {
      if (gap.expiresAt <= now) this.#inherited.delete(rosterId);
    }
    const isOld = (step: KeptStep) => this.#getOwnGaps([step], now).length === 0;
    while (this.#steps.length > MOST_STEPS && isOld(this.#steps[0]!)) this.#steps.shift();
  }
}

function getMissing(step: KeptStep): string[] {
  return step.previous.filter((member) => !step.heard.has(member));
}

/** Gets whether so many holders of a key are missing that those who are left may not know its claim. */
function isIn(gap: ClaimGap, key: string): boolean {
  const holders = getHolders(key, gap.members);
  const missing = holders.filter((holder) => gap.missing.includes(holder));
  return missing.length >= getQuorum(holders.length);
}
