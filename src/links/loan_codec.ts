/** The wire format of loan messages: arrays without field names, as they are sent often. */

import { type LoanPeerMessage, loanPeerMessageSchema } from "../contracts/loans/loan_messages.ts";

/** The first element of the array, by kind of message. */
const LoanCode = { Statement: "s", Lend: "l", Wanted: "w" } as const;

/** Encodes a loan message. */
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

/** Decodes a loan message, or gets undefined if the values are not a loan message. */
export function decodeLoanMessage(values: readonly unknown[]): LoanPeerMessage | undefined {
  const parsed = loanPeerMessageSchema.safeParse(toCandidate(values));
  return parsed.success ? parsed.data : undefined;
}

function toCandidate(values: readonly unknown[]): unknown {
  const [code, roster] = values;
  switch (code) {
    case LoanCode.Statement: {
      const [, , fleetDelta, batch, flag, settled, ...entries] = values;
      return {
        kind: "loan-statement",
        roster,
        fleet: Number(roster) + Number(fleetDelta),
        batch,
        isComplete: flag === 1,
        settled,
        entries: toQuadruples(entries),
      };
    }
    case LoanCode.Lend:
      return {
        kind: "loan-lend",
        roster,
        heard: values[2],
        entries: toQuadruples(values.slice(3)),
      };
    case LoanCode.Wanted:
      return { kind: "loan-statement-wanted", roster };
    default:
      return undefined;
  }
}

function toQuadruples(values: readonly unknown[]): unknown[][] {
  const quadruples: unknown[][] = [];
  for (let index = 0; index < values.length; index += 4) {
    quadruples.push(values.slice(index, index + 4));
  }
  return quadruples;
}
