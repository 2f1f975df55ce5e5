/**
 * Plays the regression days with the users' bench, prints one table, and fails if a day broke a
 * rule, fell in worth or could not be played. The bench and its sites are given by path.
 */

import { execFile } from "node:child_process";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs, promisify } from "node:util";
import { findDayResult } from "./regression/bench_report.ts";
import { decodeRegressionDays, type RegressionDay } from "./regression/regression_day.ts";
import {
  formatRegressionTable,
  hasRegressed,
  type PlayedDay,
} from "./regression/regression_table.ts";

/** The maximum output of one play, in bytes. */
const MAXIMUM_OUTPUT_BYTES = 64 * 1024 * 1024;

const { values } = parseArgs({
  options: {
    bench: { type: "string" },
    sites: { type: "string" },
    days: { type: "string", default: "deploy/regression.yaml" },
    only: { type: "string", default: "" },
    jobs: { type: "string", default: "3" },
  },
});
const { bench, sites } = values;
if (bench === undefined || sites === undefined) {
  console.error("usage: npm run regression -- --bench PROGRAM --sites FOLDER [--only TEXT]");
  process.exit(2);
}

const days = decodeRegressionDays(readFileSync(values.days, "utf8"))
  .filter(({ site, day }) => `${site} ${day}`.includes(values.only));
const played = await playAll(days, Number(values.jobs), (day) => play(bench, sites, day));
console.log(formatRegressionTable(played));
process.exitCode = played.length === 0 || played.some(hasRegressed) ? 1 : 0;

/** Plays days, at most `jobs` of them at once, and gets them in their order. */
async function playAll(
  all: readonly RegressionDay[],
  jobs: number,
  playDay: (day: RegressionDay) => Promise<PlayedDay>,
): Promise<PlayedDay[]> {
  const results = new Map<RegressionDay, PlayedDay>();
  const waiting = [...all];
  const playNext = async () => {
    for (let day = waiting.shift(); day !== undefined; day = waiting.shift()) {
      results.set(day, await playDay(day));
    }
  };
  await Promise.all(Array.from({ length: jobs }, playNext));
  return all.map((day) => results.get(day)!);
}

async function play(program: string, folder: string, day: RegressionDay): Promise<PlayedDay> {
  const options = ["--why", "Regression run", ...(day.small ? ["--small"] : [])];
  try {
    const { stdout } = await promisify(execFile)(
      program,
      ["run", join(folder, day.site), day.day, ...options],
      { maxBuffer: MAXIMUM_OUTPUT_BYTES },
    );
    return { day, result: findDayResult(stdout) };
  } catch (error) {
    // The bench fails for a day that breaks a rule too, after it has printed the result.
    const output = (error as { stdout?: string }).stdout ?? "";
    const result = findDayResult(output);
    if (result === undefined) console.error(`${day.site} ${day.day}: ${String(error)}`);
    return { day, result };
  }
}
