/** Standing: whether a member may act on what it knows. */

import { FRESHNESS_LIMIT_MILLISECONDS, REPORT_VALIDITY_MILLISECONDS } from "./freshness.ts";
import { getMajority } from "./roster.ts";

/** The standings of a member. */
export const Standing = {
  /** Its knowledge is younger than the freshness limit. */
  Current: "current",
  /** Nobody can read the log, as a majority of the roster agrees: it goes on with what is known. */
  Outage: "outage",
  /** It may have missed something: it starts nothing. */
  Isolated: "isolated",
} as const;

/** One of the standings of a member. */
export type Standing = (typeof Standing)[keyof typeof Standing];

/** A standing with its end, so that a process that was paused cannot act on it after it wakes. */
export interface StandingGrant {
  /** The standing until then. */
  standing: Standing;
  /** When the member is isolated unless a newer grant came, in elapsed milliseconds. */
  validUntil: number;
}

/** Tells the other tasks of a new grant. */
export interface StandingChanged {
  /** The kind of the message. */
  kind: "standing-changed";
  /** The grant. */
  grant: StandingGrant;
}

/** What a standing is decided from. */
export interface StandingContext {
  /** The time of the decision, in elapsed milliseconds. */
  now: number;
  /** Whether the newest roster that this process knows names it. */
  isMember: boolean;
  /** The number of members of that roster. */
  memberCount: number;
  /** When the read began that the newest knowledge comes from, or undefined if there is none. */
  asOf: number | undefined;
  /** Whether this member can reach no fresh reader of the log. */
  isBlind: boolean;
  /** When the pings were sent that other members of that roster answered with "blind as well". */
  blindReportTimes: readonly number[];
  /** How long before its end a grant is replaced by one that lasts longer. */
  renewalMilliseconds: number;
}

/** Decides the standing of a member and how long it lasts without newer facts. */
export type DecideStanding = (facts: StandingContext) => StandingGrant;

/** Decides the standing: current by fresh knowledge, outage by a majority, isolated otherwise. */
export function decideStanding(facts: StandingContext): StandingGrant {
  const { now, renewalMilliseconds } = facts;
  if (!facts.isMember) return createIsolation(now);
  const currentUntil = getCurrentEnd(facts);
  if (now + renewalMilliseconds < currentUntil) {
    return { standing: Standing.Current, validUntil: currentUntil };
  }
  const outageUntil = getOutageEnd(facts);
  if (now < outageUntil && outageUntil > currentUntil) {
    return { standing: Standing.Outage, validUntil: outageUntil };
  }
  if (now < currentUntil) return { standing: Standing.Current, validUntil: currentUntil };
  return createIsolation(now);
}

/** Gets the standing at a time: a grant that has ended leaves the member isolated. */
export function getStandingAt(grant: StandingGrant | undefined, now: number): Standing {
  return grant !== undefined && now < grant.validUntil ? grant.standing : Standing.Isolated;
}

function createIsolation(now: number): StandingGrant {
  return { standing: Standing.Isolated, validUntil: now };
}

function getCurrentEnd(facts: StandingContext): number {
  return facts.asOf === undefined ? -Infinity : facts.asOf + FRESHNESS_LIMIT_MILLISECONDS;
}

/** Gets when the oldest statement lapses that the majority needs; the own statement is made now. */
function getOutageEnd(facts: StandingContext): number {
  if (!facts.isBlind) return -Infinity;
  const needed = getMajority(facts.memberCount) - 1;
  const newestFirst = [facts.now, ...facts.blindReportTimes.toSorted((a, b) => b - a)];
  const oldestNeeded = newestFirst[needed];
  if (oldestNeeded === undefined) return -Infinity;
  return oldestNeeded + REPORT_VALIDITY_MILLISECONDS;
}
