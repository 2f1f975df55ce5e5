/** Reads the results of a test run, passes over known faults, and prints the closing line of CI. */

import { existsSync, readFileSync } from "node:fs";

/** The number of ava configurations that `run_tests.js` runs, each with a TAP output of its own. */
const TEST_RUNS = 2;

const [resultsFile, knownFile] = process.argv.slice(2);

/** Gets the names of the tests that are known to fail: the first field of each entry. */
function readKnownFaults(file) {
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, "utf8").split("\n");
  const entries = lines.filter((line) => line.trim() !== "" && !line.startsWith("#"));
  return entries.map((line) => line.split("|")[0].trim());
}

/** Gets whether a TAP output has a plan, and as many results as planned. */
function isCompleteRun(lines) {
  const plans = lines.filter((line) => /^1\.\.\d+$/.test(line));
  const count = lines.filter((line) => /^(not )?ok \d+ - /.test(line)).length;
  return plans.length === 1 && plans[0] === `1..${count}`;
}

/** Splits the lines of TAP outputs that follow each other. */
function splitRuns(lines) {
  const starts = lines.flatMap((line, index) => line.startsWith("TAP version") ? [index] : []);
  return starts.map((start, index) => lines.slice(start, starts[index + 1]));
}

const results = readFileSync(resultsFile, "utf8");
const lines = results.split("\n");
const passed = lines.filter((line) => /^ok \d+ - /.test(line) && !/# (SKIP|TODO)/.test(line));
const failed = lines.filter((line) => line.startsWith("not ok "))
  .map((line) => line.replace(/^not ok \d+ - /, "").trim());
const knownFaults = readKnownFaults(knownFile);
const isKnown = (name) => knownFaults.some((known) => name.startsWith(known));
const unknown = failed.filter((name) => !isKnown(name));
const runs = splitRuns(lines);
const isComplete = runs.length === TEST_RUNS && runs.every(isCompleteRun);

for (const name of failed) console.log(`${isKnown(name) ? "known red" : "failed"}: ${name}`);
if (unknown.length > 0 || passed.length === 0 || !isComplete) console.log(results);
console.log(`${passed.length} passed, ${unknown.length} failed`);
process.exitCode = unknown.length > 0 || passed.length === 0 || !isComplete ? 1 : 0;
