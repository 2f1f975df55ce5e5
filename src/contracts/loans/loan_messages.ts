/** The messages between holders and keepers: the same between tasks and between peers. */

import { z } from "zod";

/** What a holder says of one resource. */
export type StatementEntry = [
  resource: string,
  sequence: number,
  holding: number,
  demand: number,
];

/** What a keeper lends of one resource. */
export type LendEntry = [
  resource: string,
  sequence: number,
  total: number,
  limitOffset: number,
];

/** A holder states what it holds of resources of one keeper. */
export interface LoanStatement {
  /** The kind of the message. */
  kind: "loan-statement";
  /** The offset of the roster that the holder has adopted. */
  roster: number;
  /** The offset of the newest record that the holder has applied. */
  fleet: number;
  /** The number of this batch, for its acknowledgement. */
  batch: number;
  /** Whether resources that are not listed are not held at all. */
  isComplete: boolean;
  /** The former members of which the holder knows that they can run nothing any more. */
  settled: string[];
  /**
   * For each resource: the newest lend that it follows (0 for none under this roster), the permits
   * that it holds (lowered before it says so) and the permits that it could use.
   */
  entries: StatementEntry[];
}

/** A keeper lends permits of some of its resources to one holder, and acknowledges statements. */
export interface LoanLend {
  /** The kind of the message. */
  kind: "loan-lend";
  /** The offset of the roster that the keeper has adopted. */
  roster: number;
  /** The numbers of the batches that it has heard. */
  heard: number[];
  /**
   * For each resource: a number that grows with each lend of the keeper, the absolute number of
   * permits that the holder may hold, and the offset of the limit under which it is lent.
   */
  entries: LendEntry[];
}

/** A keeper that has adopted a roster asks a holder for a complete statement. */
export interface LoanStatementRequest {
  /** The kind of the message. */
  kind: "loan-statement-wanted";
  /** The offset of the roster. */
  roster: number;
}

/** The messages about loans between peers. */
export type LoanPeerMessage = LoanStatement | LoanLend | LoanStatementRequest;

const count = z.int().min(0);
const roster = z.int().min(-1);

/** The shape of the messages about loans between peers. */
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
