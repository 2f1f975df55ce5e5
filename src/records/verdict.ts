/** The fold's verdict on a record: the same on every host, as it depends only on the log's order. */

/** The outcomes of applying a record. */
export const VerdictOutcome = {
  Accepted: "accepted",
  Refused: "refused",
  Repeated: "repeated",
  Unknown: "unknown",
  Malformed: "malformed",
} as const;

/** One of the outcomes of applying a record. */
export type VerdictOutcome = (typeof VerdictOutcome)[keyof typeof VerdictOutcome];

/** The verdict on one record. */
export interface Verdict {
  outcome: VerdictOutcome;
  /** The reason, for operators; empty if accepted. */
  reason: string;
  /** The first verdict on the record, if this one is repeated. */
  first?: FirstVerdict;
}

/** The first verdict on a record. */
export interface FirstVerdict {
  /** The offset at which the record was first applied. */
  offset: number;
  outcome: VerdictOutcome;
}

/** Gets the first outcome of a record, which holds even if the record was appended repeatedly. */
export function getFirstOutcome(verdict: Verdict): VerdictOutcome {
  return verdict.first?.outcome ?? verdict.outcome;
}

/** The verdict on a record that took effect. */
export const ACCEPTED: Verdict = { outcome: VerdictOutcome.Accepted, reason: "" };

/** Creates the verdict on a record whose precondition does not hold at its offset. */
export function refuse(reason: string): Verdict {
  return { outcome: VerdictOutcome.Refused, reason };
}
