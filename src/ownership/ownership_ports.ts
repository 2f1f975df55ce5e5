/** The interfaces of the storage that ownership depends on. */

import type { JournalEntry } from "../owner/owner_ports.ts";

/**
 * The result of an append to the journal; `unanswered` means that there was no valid response, so
 * that the effect is in doubt, and `unstorable` that no repetition can succeed.
 */
export type JournalAppendResult =
  | { outcome: "done" }
  | { outcome: "fenced" }
  | { outcome: "wrong-sequence"; expected: number }
  | { outcome: "refused"; status: number }
  | { outcome: "unstorable"; reason: string }
  | { outcome: "unanswered"; reason: string };

/** A journal: a keyed topic that one process at a time writes, under its epoch. */
export interface EntryStore {
  /** Appends entries atomically under an epoch; an empty append only sets the epoch. */
  append: (
    entries: readonly JournalEntry[],
    epoch: number,
    sequence: number,
  ) => Promise<JournalAppendResult>;
}

/** The owner's journal, from which a later owner restores the state of earlier ones. */
export interface JournalStore extends EntryStore {
  /** Reads the newest value of each key; undefined if the store does not answer. */
  readAll: () => Promise<[string, Uint8Array][] | undefined>;
}

/** A claim of ownership of the fleet, as stored. */
export interface Claim {
  /** The epoch, which increases with each new owner. */
  epoch: number;
  /** The identity of the process that holds it, unique for each start. */
  holder: string;
  /** The name of the holder's host, for logs. */
  hostName: string;
  /** The address on which the holder accepts links from other entry hosts. */
  address: string;
  /** Whether the holder has released it; it makes no decisions afterwards. */
  isReleased: boolean;
  /** The number of renewals. */
  renewal: number;
  /** How long others wait for the next renewal, in milliseconds; the minimum if unset. */
  timeoutMilliseconds?: number;
  /**
   * The longest lease that may remain at executors, in milliseconds: once the claim is released, of
   * any owner; before, of those before its holder. Claims of old versions lack this field.
   */
  leaseMilliseconds?: number;
  /**
   * The holder identity of the process that is to claim next, in a claim that was released for it;
   * hosts of earlier versions ignore it.
   */
  successor?: string;
}

/** The result of appending a claim: `lost` if another claim was appended first. */
export type ClaimAppendResult = { outcome: "done"; end: number } | { outcome: "lost" } | {
  outcome: "failed";
};

/** Appends a claim on the condition that the claims end at a given offset. */
export type AppendClaim = (claim: Claim, at: number) => Promise<ClaimAppendResult>;
