/** When a removal is in force: from then on the removed member is neither current nor in outage. */

import { FRESHNESS_LIMIT_MILLISECONDS, widenDuration } from "./freshness.ts";
import { getMajority } from "./roster.ts";
import type { DepartureData, RosterData } from "./roster_data.ts";

/** What is known of a change of the roster. */
export interface RosterChangeContext {
  /** The rosters since the newest change in force, in offset order. */
  history: readonly RosterData[];
  /** The offset of the change. */
  change: number;
  /** The newest offset that each member has applied, this one included. */
  appliedOffsets: ReadonlyMap<string, number>;
  /** The processes that are known to have ended. */
  ended: ReadonlySet<string>;
}

/** Decides whether enough members have applied a change that no earlier roster can be acted on. */
export type IsChangeApplied = (facts: RosterChangeContext) => boolean;

/** Asks a majority of each roster on which a member that lacks the change may still count votes. */
export function isAppliedByEarlierMajorities(facts: RosterChangeContext): boolean {
  const earlier = facts.history.filter((roster) => roster.offset < facts.change);
  return earlier.every((roster) => isAppliedByMajority(roster.members, facts));
}

/** Gets whether a majority of these members have applied the change or have ended. */
export function isAppliedByMajority(
  members: readonly string[],
  facts: RosterChangeContext,
): boolean {
  if (members.length === 0) return true;
  const silenced = members.filter((memberId) =>
    facts.ended.has(memberId) || (facts.appliedOffsets.get(memberId) ?? -1) >= facts.change
  );
  return silenced.length >= getMajority(members.length);
}

/** Options of a `RemovalWatch`. */
export interface RosterChangeTrackerOptions {
  /** Decides whether enough members have applied a change. */
  isChangeApplied: IsChangeApplied;
}

/** The facts of a moment; the time comes from a clock that passes at most as fast as time does. */
export interface RosterProgress extends Omit<RosterChangeContext, "change"> {
  /** The time, in steady milliseconds. */
  monotonic: number;
}

/** Watches the changes of the roster until they are in force. */
export class RosterChangeTracker {
  readonly #isChangeApplied: IsChangeApplied;
  readonly #appliedSince = new Map<number, number>();
  #inForceOffset = -1;

  private constructor(options: RosterChangeTrackerOptions) {
    this.#isChangeApplied = options.isChangeApplied;
  }

  /** Creates a watch that knows of no change. */
  static create(options: RosterChangeTrackerOptions): RosterChangeTracker {
    return new RosterChangeTracker(options);
  }

  /** Gets whether the history holds a change that is not known to be in force. */
  hasPendingChange(history: readonly RosterData[]): boolean {
    return (history.at(-1)?.offset ?? -1) > this.#inForceOffset;
  }

  /** Follows the log and the heartbeats to this moment. */
  update(facts: RosterProgress): void {
    this.#settle(facts.history[0]?.offset ?? -1);
    const history = facts.history.filter((roster) => roster.offset >= this.#inForceOffset);
    for (const { offset: change } of history.slice(1)) {
      if (this.#appliedSince.has(change)) continue;
      if (!this.#isChangeApplied({ ...facts, history, change })) continue;
      this.#appliedSince.set(change, facts.monotonic);
    }
    for (const [change, since] of [...this.#appliedSince]) {
      const waited = facts.monotonic - since;
      if (waited >= widenDuration(FRESHNESS_LIMIT_MILLISECONDS)) this.#settle(change);
    }
  }

  /** Gets the offset of the newest change of the roster that is in force. */
  getInForceOffset(): number {
    return this.#inForceOffset;
  }

  /** Gets whether a departed process starts nothing any more. */
  isInForce(departure: DepartureData): boolean {
    return departure.hasEnded || departure.removedAt <= this.#inForceOffset;
  }

  #settle(change: number): void {
    if (change <= this.#inForceOffset) return;
    this.#inForceOffset = change;
    for (const offset of this.#appliedSince.keys()) {
      if (offset <= change) this.#appliedSince.delete(offset);
    }
  }
}
