import { writeFileSync } from "node:fs";
import { join } from "node:path";
import test, { type ExecutionContext } from "ava";
import { getRunOptions, type RunOptions } from "../tests/run_options.ts";
import { ProcessSoak, SoakFault } from "./stand_in/process_soak.ts";

/** How long faults come in each run, in milliseconds. */
const FAULT_MILLISECONDS = Number(process.env["TANAGERPIN_SOAK_MILLISECONDS"] ?? 20_000);
const HOSTS = Number(process.env["TANAGERPIN_SOAK_HOSTS"] ?? 3);
const EXECUTORS = Number(process.env["TANAGERPIN_SOAK_EXECUTORS"] ?? 6);
/** The folder for what the hosts of a broken run have logged; nothing is kept if unset. */
const LOG_FOLDER = process.env["TANAGERPIN_SOAK_LOGS"];

/** The part of a soak in which the tests differ. */
interface SoakVariant {
  taskMilliseconds: number;
  faults?: readonly SoakFault[];
}

async function soak(t: ExecutionContext, variant: SoakVariant, defaults: RunOptions) {
  const { seed: firstSeed, numRuns } = getRunOptions(defaults);
  for (let seed = firstSeed; seed < firstSeed + numRuns; seed += 1) {
    const { violations, open, counts } = await ProcessSoak.run({
      ...variant,
      seed,
      faultMilliseconds: FAULT_MILLISECONDS,
      hosts: HOSTS,
      executors: EXECUTORS,
      onBroken: (lines) => {
        if (LOG_FOLDER === undefined) return;
        writeFileSync(join(LOG_FOLDER, `soak-${seed}.log`), lines.join("\n"));
      },
    });
    t.log(`seed ${seed}: ${JSON.stringify(counts)}`);
    t.deepEqual({ violations, open }, { violations: [], open: [] }, `seed ${seed}`);
  }
}

// Guards against what only separate processes show: signals, restarts and changes that overlap.
test("hosts in processes of their own keep their promises under overlapping faults", (t) =>
  soak(t, { taskMilliseconds: 700 }, { seed: 20261206, numRuns: 1 }));

// Guards against acknowledgements that reach the next incarnation of an executor.
test("no task is repeated while hosts pause and executors restart under their ids", (t) =>
  soak(t, {
    taskMilliseconds: 150,
    faults: [
      SoakFault.Kill,
      SoakFault.Pause,
      SoakFault.ExecutorRestart,
      SoakFault.SilentExecutorRestart,
    ],
  }, { seed: 20261207, numRuns: 1 }));
