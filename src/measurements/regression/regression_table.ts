/** Formats the results of the regression days beside those of the last landing. */

import type { DayResult } from "./bench_report.ts";
import type { RegressionDay } from "./regression_day.ts";

/** A fall of the worth that counts as a regression: smaller ones are noise of the bench. */
const WORTH_TOLERANCE = 0.03;

/** A day with its result, which is undefined if the day could not be played. */
export interface PlayedDay {
  day: RegressionDay;
  result: DayResult | undefined;
}

const HEADER = [
  "| Site | Day | Served | Before | Worth | Before | Rules | Verdict |",
  "| --- | --- | --- | --- | --- | --- | --- | --- |",
];

/** Gets whether a day broke a rule, fell in worth or could not be played. */
export function hasRegressed({ day, result }: PlayedDay): boolean {
  if (result === undefined || result.broken !== "") return true;
  return day.worth !== undefined && result.worth < day.worth - WORTH_TOLERANCE;
}

/** Formats a Markdown table with a row for each day. */
export function formatRegressionTable(days: readonly PlayedDay[]): string {
  return [...HEADER, ...days.map(formatRow)].join("\n");
}

function formatRow(played: PlayedDay): string {
  const { day, result } = played;
  const cells = [
    day.site,
    day.small ? `${day.day} (small)` : day.day,
    formatFigure(result?.served),
    formatFigure(day.served),
    formatFigure(result?.worth),
    formatFigure(day.worth),
    result === undefined ? "not played" : result.broken || "kept",
    hasRegressed(played) ? "look" : "holds",
  ];
  return `| ${cells.join(" | ")} |`;
}

function formatFigure(figure: number | undefined): string {
  return figure === undefined ? "" : figure.toFixed(3);
}
