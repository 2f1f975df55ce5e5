/** How old knowledge may be, and how times of different clocks bound each other. */

/** The age at which knowledge is too old to act on. */
export const FRESHNESS_LIMIT_MILLISECONDS = 3_000;

/** The age from which a member says that it can reach no fresh reader of the log. */
export const BLIND_THRESHOLD_MILLISECONDS = 1_200;

/** How long the statement of a peer counts that it can reach no fresh reader. */
export const REPORT_VALIDITY_MILLISECONDS = 2_000;

/** How long a member goes unheard before its removal is proposed. */
export const MEMBER_TIMEOUT_MILLISECONDS = 4_000;

/** How long a process may run what it started before its removal was in force. */
export const MAXIMUM_ORPHAN_RUN_MILLISECONDS = 3_600_000;

/** The longest time by which the platform's list of hosts lags. */
export const MAXIMUM_LIST_LAG_MILLISECONDS = 60_000;

/** How far the rates of two clocks may be apart, as a fraction. */
export const CLOCK_RATE_MARGIN = 0.02;

/** Gets the least time that must pass here so that a duration has surely passed on any clock. */
export function widenDuration(milliseconds: number): number {
  return milliseconds * (1 + CLOCK_RATE_MARGIN);
}

/** A statement of a peer that answers a ping. */
export interface AgeReport {
  /** When this member sent the ping, on its own clock. */
  sentAt: number;
  /** The age of the peer's knowledge when it answered, on the peer's clock. */
  ageMilliseconds: number;
}

/** Gets, on the own clock, a time no later than the beginning of the read that a statement is about. */
export type GetReadTimeLowerBound = (statement: AgeReport) => number;

/** Takes the sending of the ping for the time of the answer, and widens the age for clock rates. */
export function getReadTimeLowerBound(statement: AgeReport): number {
  return statement.sentAt - widenDuration(statement.ageMilliseconds);
}
