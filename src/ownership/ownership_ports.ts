/** What ownership needs from the place where things last. */

import type { JournalEntry } from "../owner/owner_ports.ts";

/** What became of an append to the journal. */
export type JournalAppendResult =
  | { outcome: "done" }
  | { outcome: "fenced" }
  | { outcome: "wrong-sequence"; expected: number }
  | { outcome: "refused"; status: number }
  | { outcome: "unanswered"; reason: string };

/** Entries by key, written by one owner at a time. */
export interface EntryStore {
  /** Appends entries under an epoch, all or nothing; none only sets the epoch. */
  append: (
    entries: readonly JournalEntry[],
    epoch: number,
    sequence: number,
  ) => Promise<JournalAppendResult>;
}

/** The journal: a later owner reads what earlier ones wrote. */
export interface JournalStore extends EntryStore {
  /** Gets the newest value of each key, or undefined if the store does not answer. */
  readAll: () => Promise<[string, Uint8Array][] | undefined>;
}

/** A claim of ownership, as it is stored. */
export interface Claim {
  /** Rises with each new owner. */
  epoch: number;
  /** The process that holds it, unique for each start. */
  holder: string;
  /** The name of its host, for logs. */
  hostName: string;
  /** The address for links of other entry hosts. */
  address: string;
  /** Whether the holder has given it up, with nothing of its own on the way. */
  isReleased: boolean;
  /** Counts the renewals. */
  renewal: number;
}

/** What became of the append of a claim. */
export type ClaimAppendResult = { outcome: "done"; end: number } | { outcome: "lost" } | {
  outcome: "failed";
};

/** Appends a claim where the claims end at an offset. */
export type AppendClaim = (claim: Claim, at: number) => Promise<ClaimAppendResult>;
