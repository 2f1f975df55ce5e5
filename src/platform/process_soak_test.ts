import test from "ava";
import { getRunOptions } from "../tests/run_options.ts";
import { ProcessSoak } from "./stand_in/process_soak.ts";

/** How long faults come in each run, in milliseconds. */
const FAULT_MILLISECONDS = Number(process.env["TANAGERPIN_SOAK_MILLISECONDS"] ?? 20_000);
const HOSTS = Number(process.env["TANAGERPIN_SOAK_HOSTS"] ?? 3);
const EXECUTORS = 6;

// Guards against what only separate processes show: signals, restarts and changes that overlap.
test("hosts in processes of their own keep their promises under overlapping faults", async (t) => {
  const { seed, numRuns } = getRunOptions({ seed: 20261206, numRuns: 1 });
  for (let run = 0; run < numRuns; run += 1) {
    const { violations, open, counts } = await ProcessSoak.run({
      seed: seed + run,
      faultMilliseconds: FAULT_MILLISECONDS,
      hosts: HOSTS,
      executors: EXECUTORS,
    });
    t.log(`seed ${seed + run}: ${JSON.stringify(counts)}`);
    t.deepEqual({ violations, open }, { violations: [], open: [] }, `seed ${seed + run}`);
  }
});
