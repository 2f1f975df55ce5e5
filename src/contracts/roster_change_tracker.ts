/**
 * Tracks when changes of the roster are in force. From the time when a removal is in force, the
 * removed member's standing is neither current nor outage.
 */

import { FRESHNESS_LIMIT_MILLISECONDS, widenDuration } from "./freshness.ts";
import { getMajority } from "./roster.ts";
import type { DepartureData, RosterData } from "./roster_data.ts";

/** The data for the decision on a change of the roster. */
export interface RosterChangeContext {
  /** The rosters since the newest change in force, in offset order. */
  history: readonly RosterData[];
  /** The offset of the change. */
  change: number;
  /** The newest offset that each member has applied, including this member. */
  appliedOffsets: ReadonlyMap<string, number>;
  /** The processes that are known to have ended. */
  ended: ReadonlySet<string>;
}

/**
 * Decides whether so many members have applied a change that nobody can act on an earlier roster.
 */
export type IsChangeApplied = (context: RosterChangeContext) => boolean;

/**
 * Requires a majority of each earlier roster, because a member that lacks the change may still
 * count the majority of any of them.
 */
export function isAppliedByEarlierMajorities(context: RosterChangeContext): boolean {
  const earlier = context.history.filter((roster) => roster.offset < context.change);
  return earlier.every((roster) => isAppliedByMajority(roster.members, context));
}

/** Gets whether a majority of these members have applied the change or have ended. */
export function isAppliedByMajority(
  members: readonly string[],
  context: RosterChangeContext,
): boolean {
  if (members.length === 0) return true;
  const confirmed = members.filter((memberId) =>
    context.ended.has(memberId) || (context.appliedOffsets.get(memberId) ?? -1) >= context.change
  );
  return confirmed.length >= getMajority(members.length);
}

/** Options of a `RosterChangeTracker`. */
export interface RosterChangeTrackerOptions {
  /** Decides whether enough members have applied a change. */
  isChangeApplied: IsChangeApplied;
}

/** The progress of the members at an instant. */
export interface RosterProgress extends Omit<RosterChangeContext, "change"> {
  /** The time of the monotonic clock, which never runs faster than real time, in milliseconds. */
  monotonic: number;
}

/** Tracks the changes of the roster until they are in force. */
export class RosterChangeTracker {
  readonly #isChangeApplied: IsChangeApplied;
  readonly #appliedSince = new Map<number, number>();
  #inForceOffset = -1;

  private constructor(options: RosterChangeTrackerOptions) {
    this.#isChangeApplied = options.isChangeApplied;
  }

  /** Creates a tracker without changes. */
  static create(options: RosterChangeTrackerOptions): RosterChangeTracker {
    return new RosterChangeTracker(options);
  }

  /** Gets whether the history contains a change that is not known to be in force. */
  hasPendingChange(history: readonly RosterData[]): boolean {
    return (history.at(-1)?.offset ?? -1) > this.#inForceOffset;
  }

  /**
   * Updates from the log and the heartbeats. A change is in force once enough members have
   * applied it for the freshness limit: by then no member can act on an earlier view.
   */
  update(progress: RosterProgress): void {
    this.#setInForce(progress.history[0]?.offset ?? -1);
    const history = progress.history.filter((roster) => roster.offset >= this.#inForceOffset);
    for (const { offset: change } of history.slice(1)) {
      if (this.#appliedSince.has(change)) continue;
      if (!this.#isChangeApplied({ ...progress, history, change })) continue;
      this.#appliedSince.set(change, progress.monotonic);
    }
    for (const [change, since] of [...this.#appliedSince]) {
      const waited = progress.monotonic - since;
      if (waited >= widenDuration(FRESHNESS_LIMIT_MILLISECONDS)) this.#setInForce(change);
    }
  }

  /** Gets the offset of the newest change of the roster that is in force. */
  getInForceOffset(): number {
    return this.#inForceOffset;
  }

  /** Gets whether a former member can no longer start anything. */
  isInForce(departure: DepartureData): boolean {
    return departure.hasEnded || departure.removedAt <= this.#inForceOffset;
  }

  #setInForce(change: number): void {
    if (change <= this.#inForceOffset) return;
    this.#inForceOffset = change;
    for (const offset of this.#appliedSince.keys()) {
      if (offset <= change) this.#appliedSince.delete(offset);
    }
  }
}
