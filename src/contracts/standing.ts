/** Standing: whether a member may act on its view of the log. */

import { FRESHNESS_LIMIT_MILLISECONDS, REPORT_VALIDITY_MILLISECONDS } from "./freshness.ts";
import { getMajority } from "./roster.ts";

/** The standings of a member. */
export const Standing = {
  /** Its view of the log is younger than the freshness limit. */
  Current: "current",
  /** A majority of the roster reports that nobody can read the log: it goes on with its view. */
  Outage: "outage",
  /** It may lack newer records: it starts nothing. */
  Isolated: "isolated",
} as const;

/** One of the standings of a member. */
export type Standing = (typeof Standing)[keyof typeof Standing];

/** A standing with an expiry, so that a process cannot act on it after a pause. */
export interface StandingGrant {
  /** The standing until the expiry. */
  standing: Standing;
  /**
   * When the grant expires, in elapsed milliseconds: without a newer one the member is then
   * isolated.
   */
  validUntil: number;
}

/** Reports a new grant to the other tasks. */
export interface StandingChanged {
  kind: "standing-changed";
  grant: StandingGrant;
}

/** The data for the decision on a standing. */
export interface StandingContext {
  /** The time of the decision, in elapsed milliseconds. */
  now: number;
  /** Whether this process is in the newest roster that it has applied. */
  isMember: boolean;
  /** The number of members of that roster. */
  memberCount: number;
  /** When the read behind the newest view of the log began, or undefined if there is none. */
  asOf: number | undefined;
  /** Whether this member can reach no up-to-date view of the log. */
  isBlind: boolean;
  /** When the pings were sent that other members of that roster answered as blind. */
  blindReportTimes: readonly number[];
  /** How long before its end a grant is replaced by one that lasts longer. */
  renewalMilliseconds: number;
}

/** Decides the standing of a member and how long it is valid without newer data. */
export type DecideStanding = (context: StandingContext) => StandingGrant;

/** Decides the standing: current by a fresh view, outage by a majority, and isolated otherwise. */
export function decideStanding(context: StandingContext): StandingGrant {
  const { now, renewalMilliseconds } = context;
  if (!context.isMember) return createIsolation(now);
  const currentUntil = getCurrentEnd(context);
  if (now + renewalMilliseconds < currentUntil) {
    return { standing: Standing.Current, validUntil: currentUntil };
  }
  const outageUntil = getOutageEnd(context);
  if (now < outageUntil && outageUntil > currentUntil) {
    return { standing: Standing.Outage, validUntil: outageUntil };
  }
  if (now < currentUntil) return { standing: Standing.Current, validUntil: currentUntil };
  return createIsolation(now);
}

/** Gets the standing at a time: after the grant has expired, the member is isolated. */
export function getStandingAt(grant: StandingGrant | undefined, now: number): Standing {
  return grant !== undefined && now < grant.validUntil ? grant.standing : Standing.Isolated;
}

function createIsolation(now: number): StandingGrant {
  return { standing: Standing.Isolated, validUntil: now };
}

function getCurrentEnd(context: StandingContext): number {
  return context.asOf === undefined ? -Infinity : context.asOf + FRESHNESS_LIMIT_MILLISECONDS;
}

/**
 * Gets when the oldest report expires that the majority needs; this member's own report is of now.
 */
function getOutageEnd(context: StandingContext): number {
  if (!context.isBlind) return -Infinity;
  const needed = getMajority(context.memberCount) - 1;
  const newestFirst = [context.now, ...context.blindReportTimes.toSorted((a, b) => b - a)];
  const oldestNeeded = newestFirst[needed];
  if (oldestNeeded === undefined) return -Infinity;
  return oldestNeeded + REPORT_VALIDITY_MILLISECONDS;
}
