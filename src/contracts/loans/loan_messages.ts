/**
 * The messages between the holders of permits and the keepers that lend them. Tasks of one process
 * and peers exchange the same messages.
 */

import { z } from "zod";

/** The state of one resource at a holder. */
export type StatementEntry = [
  resource: string,
  sequence: number,
  holding: number,
  demand: number,
];

/** The permits of one resource that a keeper lends to a holder. */
export type LendEntry = [
  resource: string,
  sequence: number,
  total: number,
  limitOffset: number,
];

/** States what a holder holds of the resources of one keeper. */
export interface LoanStatement {
  kind: "loan-statement";
  /** The offset of the roster that the holder uses. */
  roster: number;
  /** The offset of the newest record that the holder has applied. */
  fleet: number;
  /** The number of this batch, for its acknowledgement. */
  batch: number;
  /** Whether the holder holds nothing of the resources that are not listed. */
  isComplete: boolean;
  /** The former members that can no longer run anything, as far as the holder knows. */
  settled: string[];
  /**
   * For each resource: the sequence number of the newest applied lend (0 for none under this
   * roster), the permits that are held, which the holder lowers before it sends this, and those in
   * demand.
   */
  entries: StatementEntry[];
}

/** Lends permits of a keeper's resources to one holder, and acknowledges its statements. */
export interface LoanLend {
  kind: "loan-lend";
  /** The offset of the roster that the keeper uses. */
  roster: number;
  /** The numbers of the batches that are acknowledged. */
  heard: number[];
  /**
   * For each resource: a sequence number that increases with each lend of the keeper, the total of
   * permits that the holder may hold, and the offset of the limit under which they are lent.
   */
  entries: LendEntry[];
}

/** Asks a holder for a complete statement, after the keeper has switched to a new roster. */
export interface LoanStatementRequest {
  kind: "loan-statement-wanted";
  /** The offset of the roster. */
  roster: number;
}

/** A message about loans between peers. */
export type LoanPeerMessage = LoanStatement | LoanLend | LoanStatementRequest;

const count = z.int().min(0);
const roster = z.int().min(-1);

/** The schema of the messages about loans between peers. */
export const loanPeerMessageSchema: z.ZodType<LoanPeerMessage> = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("loan-statement"),
    roster,
    fleet: z.int().min(-1),
    batch: count,
    isComplete: z.boolean(),
    settled: z.array(z.string()),
    entries: z.array(z.tuple([z.string(), count, count, count])),
  }),
  z.object({
    kind: z.literal("loan-lend"),
    roster,
    heard: z.array(count),
    entries: z.array(z.tuple([z.string(), count, count, z.int()])),
  }),
  z.object({ kind: z.literal("loan-statement-wanted"), roster }),
]) as unknown as z.ZodType<LoanPeerMessage>;
