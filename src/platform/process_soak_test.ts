import { writeFileSync } from "node:fs";
import { join } from "node:path";
import test, { type ExecutionContext } from "ava";
import { getRunOptions, type RunOptions } from "../tests/run_options.ts";
import { ProcessSoak } from "./stand_in/process_soak.ts";
import { SoakFault } from "./stand_in/soak_fault.ts";

/** How long faults come in each run, in milliseconds. */
const FAULT_MILLISECONDS = Number(process.env["TANAGERPIN_SOAK_MILLISECONDS"] ?? 20_000);
const HOSTS = Number(process.env["TANAGERPIN_SOAK_HOSTS"] ?? 3);
const EXECUTORS = Number(process.env["TANAGERPIN_SOAK_EXECUTORS"] ?? 6);
/** The folder for what the hosts of a broken run have logged; nothing is kept if unset. */
const LOG_FOLDER = process.env["TANAGERPIN_SOAK_LOGS"];

/** The kinds of faults of a manual run, as keys of `SoakFault` with commas; those of the test if unset. */
const FAULT_NAMES = process.env["TANAGERPIN_SOAK_FAULTS"];
/** How long a task takes in a manual run, in milliseconds; as the test has it if unset. */
const TASK_MILLISECONDS = process.env["TANAGERPIN_SOAK_TASK_MILLISECONDS"];

/** The resources of the hosts, in turn: they are unequal, so that owners hand over. */
const HOST_LIMITS = [
  { cores: 0.324, linkMbps: 10 },
  { cores: 0.6, linkMbps: 60 },
  { cores: 1.35, linkMbps: 200 },
];

/** The part of a soak in which the tests differ. */
interface SoakVariant {
  taskMilliseconds: number;
  faults: readonly SoakFault[];
  /** The number of occurrences of repeating jobs; none repeats if unset. */
  repeats?: number;
  /** The memory for an owner's jobs on the hosts, in turn, in bytes. */
  ownerJobBytes?: readonly number[];
}

function getFaults(names: string): SoakFault[] {
  return names.split(",").map((name) => {
    const fault = (SoakFault as Record<string, SoakFault>)[name];
    if (fault === undefined) throw new Error(`no kind of fault is named ${name}`);
    return fault;
  });
}

async function soak(t: ExecutionContext, variant: SoakVariant, defaults: RunOptions) {
  const { seed: firstSeed, numRuns } = getRunOptions(defaults);
  for (let seed = firstSeed; seed < firstSeed + numRuns; seed += 1) {
    const { violations, open, counts } = await ProcessSoak.run({
      taskMilliseconds: Number(TASK_MILLISECONDS ?? variant.taskMilliseconds),
      faults: FAULT_NAMES === undefined ? variant.faults : getFaults(FAULT_NAMES),
      seed,
      faultMilliseconds: FAULT_MILLISECONDS,
      hosts: HOSTS,
      hostLimits: HOST_LIMITS,
      ownerJobBytes: variant.ownerJobBytes,
      executors: EXECUTORS,
      repeats: variant.repeats ?? 0,
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
  soak(t, {
    taskMilliseconds: 700,
    faults: [
      SoakFault.Stop,
      SoakFault.StopOfAllHosts,
      SoakFault.Kill,
      SoakFault.Pause,
      SoakFault.Reload,
      SoakFault.ExecutorRestart,
      SoakFault.SilentExecutorRestart,
      SoakFault.QueueMove,
      SoakFault.RouteChange,
      SoakFault.StoreOutage,
    ],
  }, { seed: 20261206, numRuns: 1 }));

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

// Guards against starts and acknowledgements that are carried out late, and ends that nobody has read.
test.serial("hosts keep their promises while orders are late and links are cut", (t) =>
  soak(t, {
    taskMilliseconds: 300,
    faults: [
      SoakFault.Stop,
      SoakFault.Kill,
      SoakFault.Pause,
      SoakFault.LateOrders,
      SoakFault.LinkCut,
      SoakFault.StoreLoss,
      SoakFault.Compaction,
    ],
  }, { seed: 20261208, numRuns: 1 }));

// Guards against orders for an executor that reach another, and jobs that are lost with all hosts.
test.serial("hosts keep their promises while executors are replaced and power is lost", (t) =>
  soak(t, {
    taskMilliseconds: 300,
    faults: [
      SoakFault.Stop,
      SoakFault.PowerLoss,
      SoakFault.LateOrders,
      SoakFault.Compaction,
      SoakFault.ExecutorReplacement,
      SoakFault.AddressTakeOver,
    ],
  }, { seed: 20261209, numRuns: 1 }));

// Guards against occurrences that are lost or repeated as owners with unequal memory hold them in turn.
test.serial("each occurrence is executed once while owners with little memory change", (t) =>
  soak(t, {
    taskMilliseconds: 100,
    faults: [
      SoakFault.Stop,
      SoakFault.StopOfAllHosts,
      SoakFault.Kill,
      SoakFault.Pause,
      SoakFault.ExecutorRestart,
      SoakFault.SilentExecutorRestart,
      SoakFault.StoreOutage,
      SoakFault.QueueMove,
    ],
    repeats: 60,
    ownerJobBytes: [400_000, 800_000, 1_600_000],
  }, { seed: 20261210, numRuns: 1 }));
