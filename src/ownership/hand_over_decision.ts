/** Decides whether an owner hands the fleet over to a host that can carry it better, and to which. */

/** How much less shortage a successor must have, so that hand-overs in turn come to an end. */
const MINIMUM_SHORTAGE_DIFFERENCE = 0.25;
/** How long after its claim an owner may hand over, in milliseconds. */
const MINIMUM_CLAIM_AGE_MILLISECONDS = 1_000;
/** How long a candidate's link must have been open, in milliseconds. */
const MINIMUM_LINK_AGE_MILLISECONDS = 1_000;
/** The maximum age of a candidate's last ping, in milliseconds: two ping intervals. */
const MAXIMUM_PING_AGE_MILLISECONDS = 800;

/** What a host says about itself in its pings to the owner. */
export interface Candidacy {
  /** The identity of the process (see `Claim.holder`). */
  holder: string;
  /** The host's shortage (see `getShortage`). */
  shortage: number;
  /** Whether the host may own the fleet. */
  mayOwn: boolean;
}

/** A host that may be named as the successor. */
export interface Candidate extends Candidacy {
  /** When its link was opened, on the monotonic clock, in milliseconds. */
  linkOpenedAt: number;
  /** When its last ping was received, on the monotonic clock, in milliseconds. */
  pingedAt: number;
}

/** Options of `chooseSuccessor`. */
export interface SuccessorOptions {
  /** The shortage of the owner's host. */
  shortage: number;
  /** When the owner claimed the fleet, on the monotonic clock, in milliseconds. */
  claimedAt: number;
  /** The time before which failed hand-overs prevent another one. */
  notBefore: number;
  /** The time on the monotonic clock, in milliseconds. */
  now: number;
  /** The hosts with a link to the owner. */
  candidates: Iterable<Candidate>;
}

/** A chosen successor. */
export interface SuccessorChoice {
  /** The successor. */
  successor: Candidate;
  /** The number of candidates among which it was chosen. */
  candidateCount: number;
}

/** Chooses the candidate with the least shortage; undefined if the owner goes on. */
export function chooseSuccessor(options: SuccessorOptions): SuccessorChoice | undefined {
  const { shortage, claimedAt, notBefore, now, candidates } = options;
  // Spares hosts without much shortage the look at each candidate.
  if (shortage < MINIMUM_SHORTAGE_DIFFERENCE || now < notBefore) return undefined;
  if (now - claimedAt < MINIMUM_CLAIM_AGE_MILLISECONDS) return undefined;
  const suitable = [...candidates].filter((candidate) =>
    candidate.mayOwn &&
    shortage - candidate.shortage >= MINIMUM_SHORTAGE_DIFFERENCE &&
    now - candidate.linkOpenedAt >= MINIMUM_LINK_AGE_MILLISECONDS &&
    now - candidate.pingedAt <= MAXIMUM_PING_AGE_MILLISECONDS
  );
  const [first, ...others] = suitable;
  if (first === undefined) return undefined;
  const successor = others.reduce((best, other) => isBetter(other, best) ? other : best, first);
  return { successor, candidateCount: suitable.length };
}

function isBetter(candidate: Candidate, other: Candidate): boolean {
  return candidate.shortage < other.shortage ||
    (candidate.shortage === other.shortage && candidate.holder < other.holder);
}
