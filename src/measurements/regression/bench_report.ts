/** Reads the result of a day from the output of the users' bench. */

/** The result of a day. */
export interface DayResult {
  /** The fraction of the credit that was earned. */
  served: number;
  /** The worth of the day: credit less prices. */
  worth: number;
  /** The broken rules with their counts, or an empty text. */
  broken: string;
}

/** The columns of a result line, after the day's name. */
const COLUMNS = /^\S+\s+\d+\/\d+\s+-?[\d.]+\s+(-?[\d.]+)\s+([\d.]+)\s/;
const BROKEN_RULES = /BROKEN: (.*?)(?: \(else|$)/;

/** Gets the result of a day, or undefined if the output has no result line, as after a failure. */
export function findDayResult(output: string): DayResult | undefined {
  for (const line of output.split("\n")) {
    const columns = COLUMNS.exec(line);
    if (columns === null) continue;
    const [, worth, served] = columns;
    const broken = BROKEN_RULES.exec(line)?.[1] ?? "";
    return { served: Number(served), worth: Number(worth), broken };
  }
  return undefined;
}
