/** The messages about loans on the wire: arrays without names, since they are sent often. */

import { type LoanPeerMessage, loanPeerMessageSchema } from "../contracts/loans/loan_messages.ts";

/** The first element of the array of each kind of message. */
const LoanCode = { Statement: "s", Lend: "l", Wanted: "w" } as const;

/** Gets the array of a message about loans. */
export function encodeLoanMessage(message: LoanPeerMessage): unknown[] {
  switch (message.kind) {
    case "loan-statement": {
      const { roster, fleet, batch, isComplete, settled, entries } = message;
      const flag = isComplete ? 1 : 0;
      return [LoanCode.Statement, roster, fleet - roster, batch, flag, settled, ...entries.flat()];
    }
    case "loan-lend": {
      const { roster, heard, entries } = message;
      return [LoanCode.Lend, roster, heard, ...entries.flat()];
    }
    case "loan-statement-wanted":
      return [LoanCode.Wanted, message.roster];
  }
}

/** Gets the message of an array, or undefined if it is none about loans. */
export function decodeLoanMessage(values: readonly unknown[]): LoanPeerMessage | undefined {
  const parsed = loanPeerMessageSchema.safeParse(toCandidate(values));
  return parsed.success ? parsed.data : undefined;
}

function toCandidate(values: readonly unknown[]): unknown {
  const [code, roster] = values;
  switch (code) {
    case LoanCode.Statement: {
      const [, , lead, batch, flag, settled, ...entries] = values;
      return {
        kind: "loan-statement",
        roster,
        fleet: Number(roster) + Number(lead),
        batch,
        isComplete: flag === 1,
        settled,
        entries: toFours(entries),
      };
    }
    case LoanCode.Lend:
      return { kind: "loan-lend", roster, heard: values[2], entries: toFours(values.slice(3)) };
    case LoanCode.Wanted:
      return { kind: "loan-statement-wanted", roster };
    default:
      return undefined;
  }
}

function toFours(values: readonly unknown[]): unknown[][] {
  const fours: unknown[][] = [];
  for (let index = 0; index < values.length; index += 4) fours.push(values.slice(index, index + 4));
  return fours;
}
