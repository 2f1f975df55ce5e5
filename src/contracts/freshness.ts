/** Limits on the age of a member's view of the log, and bounds between the times of two clocks. */

/** The age from which a view of the log is too old to act on. */
export const FRESHNESS_LIMIT_MILLISECONDS = 3_000;

/** The age of the newest view, own or a peer's, at which a member is blind. */
export const BLIND_THRESHOLD_MILLISECONDS = 1_200;

/** How long the report in a peer's heartbeat is valid. */
export const REPORT_VALIDITY_MILLISECONDS = 2_000;

/** The time without a heartbeat of a member after which its removal is proposed. */
export const MEMBER_TIMEOUT_MILLISECONDS = 4_000;

/** The maximum time that a run goes on after the removal of its process is in force. */
export const MAXIMUM_ORPHAN_RUN_MILLISECONDS = 3_600_000;

/** The maximum lag of the platform's list of hosts. */
export const MAXIMUM_LIST_LAG_MILLISECONDS = 60_000;

/** The maximum difference between the rates of two clocks, as a fraction. */
export const CLOCK_RATE_MARGIN = 0.02;

/** Gets how long to wait on the local clock so that a duration has passed on every other clock. */
export function widenDuration(milliseconds: number): number {
  return milliseconds * (1 + CLOCK_RATE_MARGIN);
}

/** The age of a peer's view of the log, as reported in answer to a ping. */
export interface AgeReport {
  /** When this member sent the ping, on the local clock. */
  sentAt: number;
  /** The age of the peer's view when it answered, on the peer's clock. */
  ageMilliseconds: number;
}

/** Gets a lower bound, on the local clock, of the time at which the read behind a report began. */
export type GetReadTimeLowerBound = (report: AgeReport) => number;

/**
 * Counts the age from the time at which the ping was sent, because the time of the answer is known
 * only on the peer's clock, and widens the age by the clock rate margin.
 */
export function getReadTimeLowerBound(report: AgeReport): number {
  return report.sentAt - widenDuration(report.ageMilliseconds);
}
