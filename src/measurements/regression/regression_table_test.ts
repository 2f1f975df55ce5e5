import { readFileSync } from "node:fs";
import test from "ava";
import { findDayResult } from "./bench_report.ts";
import { decodeRegressionDays } from "./regression_day.ts";
import { formatRegressionTable, hasRegressed } from "./regression_table.ts";

const HEADER = "day  own/srv  score  worth served refused failed  weakest part";
const KEPT = "trouble-3  6/49  0.57  0.209  0.626  0.000  0.052  worst windows 0.20; prices 0.293";
const BROKEN =
  "quiet-1  23/102  0.00  -0.459  0.072  0.000  0.945  prices 0.495  BROKEN: AVAIL 25, LOST 37 (else 0.00)";

test("the table tells which days hold, and why others must be looked at", (t) => {
  const days = decodeRegressionDays(`
- { site: a.toml, day: trouble-3, served: 0.51, worth: 0.23 }
- { site: a.toml, day: trouble-3, served: 0.7, worth: 0.24 }
- { site: a.toml, day: trouble-3 }
- { site: b.toml, day: quiet-1, small: true, worth: -0.9 }
- { site: b.toml, day: quiet-1 }
`);
  const outputs = [KEPT, KEPT, KEPT, BROKEN, "the build failed"];
  const played = days.map((day, number) => {
    const output = ["built in 0.1 s", HEADER, outputs[number]].join("\n");
    return { day, result: findDayResult(output) };
  });
  t.snapshot(formatRegressionTable(played));
  t.deepEqual(played.map(hasRegressed), [false, true, false, true, true]);
});

test("the list of regression days is valid", (t) => {
  t.notThrows(() => decodeRegressionDays(readFileSync("deploy/regression.yaml", "utf8")));
  t.throws(() => decodeRegressionDays("- { site: a.toml, dya: quiet-1 }"));
});
