/** Runs one proof by processes from the command line: `npm run prove -- --seed N --seconds S`. */

import { parseArgs } from "node:util";
import { runFaultInjection } from "./fault_injection.ts";
import { Fault } from "./fault_schedule.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seconds: { type: "string", default: "60" },
    faults: { type: "string" },
    mean: { type: "string", default: "1500" },
    hosts: { type: "string", default: "8" },
  },
});

const all = Object.values(Fault);
const faults = all.filter((fault) => values.faults?.split(",").includes(fault) ?? true);
const seed = Number(values.seed);
const { violations: violations, counts } = await runFaultInjection({
  seed,
  milliseconds: Number(values.seconds) * 1_000,
  meanMilliseconds: Number(values.mean),
  faults,
  entryHosts: Number(values.hosts),
  writeLine: (line) => console.log(line),
});
console.log(counts);
for (const line of violations) console.log(`BROKEN: ${line}`);
const chosen = values.faults === undefined ? "" : ` --faults ${values.faults}`;
const length = `--seconds ${values.seconds} --mean ${values.mean} --hosts ${values.hosts}`;
console.log(`again: npm run prove -- --seed ${seed} ${length}${chosen}`);
process.exitCode = violations.length > 0 ? 1 : 0;
