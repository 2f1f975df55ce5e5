/** Runs the soaks one after the other, each for an equal part of the time, and prints how to replay a failure. */

import { parseArgs } from "node:util";
import { SOAKS } from "./all_soaks.ts";
import type { Soak } from "./soak.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seconds: { type: "string", default: "60" },
    only: { type: "string" },
    runs: { type: "string", default: "1000000000" },
  },
});

const soaks = SOAKS.filter((soak) => values.only === undefined || soak.name === values.only);
const milliseconds = Number(values.seconds) * 1_000 / soaks.length;
let hasFailed = soaks.length === 0;
for (const soak of soaks) if (!await runSoak(soak)) hasFailed = true;
process.exitCode = hasFailed ? 1 : 0;

/** Runs one soak with consecutive seeds, and gets whether no invariant was violated. */
async function runSoak(soak: Soak): Promise<boolean> {
  const firstSeed = Number(values.seed);
  const end = performance.now() + milliseconds;
  const counts = new Map<string, number>();
  let runs = 0;
  for (; runs < Number(values.runs) && performance.now() < end; runs += 1) {
    const seed = firstSeed + runs;
    const result = await soak.run({ seed });
    for (const [name, count] of Object.entries(result.counts)) {
      counts.set(name, (counts.get(name) ?? 0) + count);
    }
    if (result.violation === undefined) continue;
    console.log(`BROKEN: ${soak.name} seed ${seed}: ${result.violation}`);
    console.log(`replay: npm run soak -- --only ${soak.name} --seed ${seed} --runs 1`);
    return false;
  }
  const texts = [...counts].map(([name, count]) => `${count} ${name}`);
  const seeds = `seeds ${firstSeed} to ${firstSeed + runs - 1}`;
  console.log(`${soak.name}: ${runs} runs without a violation, ${seeds}, ${texts.join(", ")}`);
  return true;
}
