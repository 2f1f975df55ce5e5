import test from "ava";
import { Decoder, Encoder } from "cbor-x";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { Configuration } from "../fleet/configuration.ts";
import { Executor } from "../fleet/executor.ts";
import { Job, TaskState } from "../fleet/job.ts";
import type { JobSpecification, StepSpecification } from "../fleet/job_specification.ts";
import { createListedExecutor, createQueue, JOB_LIMITS } from "../stand_ins/fleet_fixtures.ts";
import { createOwnerPorts } from "../stand_ins/owner_ports_fixture.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { FleetState } from "./fleet_state.ts";
import { RunControl } from "./run_control.ts";

/** By how much an estimate may exceed the memory: more would refuse jobs for which there is room. */
const MAXIMUM_EXCESS = 4;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

function getHeapBytes(): number {
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

function createSpecification(
  steps: readonly Partial<StepSpecification>[],
  text = "",
): JobSpecification {
  return {
    text,
    steps: steps.map((step) => createStepSpecification(step)),
    repeats: 1_000,
    firstAt: 0,
    intervalMilliseconds: 1,
  };
}

function createState(): FleetState {
  const state = FleetState.create({
    fence: 1,
    limits: {
      retentionMilliseconds: 1,
      stopMilliseconds: 900,
      longestLeaseMilliseconds: 10_000,
      jobLimits: JOB_LIMITS,
      maximumJobBytes: 100_000_000,
      earlierLeases: { reckonedMilliseconds: 0, longestMilliseconds: 0 },
      offRackFactor: 1,
    },
    ports: createOwnerPorts(),
    log: () => {},
    startedAt: 0,
  });
  state.setConfiguration(Configuration.create({
    version: 1,
    queues: [createQueue()],
    services: [],
    customers: [],
    largestBodyBytes: 1,
  }));
  return state;
}

interface Shape {
  jobs: number;
  occurrences: number;
  specification: JobSpecification;
  /** Whether all tasks run. */
  isRunning?: boolean;
}

/** Fills a state with jobs as they are received, and gets their memory with its estimate. */
function measure({ jobs, occurrences, specification, isRunning = false }: Shape) {
  const state = createState();
  const runs = RunControl.create(state);
  const executor = Executor.create(createListedExecutor());
  const message = encoder.encode(specification);
  const before = getHeapBytes();
  for (let number = 0; number < jobs; number += 1) {
    const job = Job.create({
      id: String(number).padStart(16, "0"),
      queue: "tugs",
      customer: "",
      specification: decoder.decode(message) as JobSpecification,
      acceptedAt: 0,
    });
    state.jobs.set(job.id, job);
    state.jobMemory.update(job);
    for (let occurrence = 0; occurrence < occurrences; occurrence += 1) {
      state.addOccurrence(job, occurrence, TaskState.Waiting);
    }
    if (!isRunning) continue;
    for (const task of job.getTasks()) {
      const run = state.createRunNumber();
      runs.start({ task, executor, run });
      runs.handleStartAnswer(executor.id, task.name, run, { outcome: "done", executorTime: 0 });
    }
  }
  const measured = getHeapBytes() - before;
  // Keeps the state alive until it is measured.
  return { measured, estimated: state.jobMemory.getBytes(), jobs: state.jobs.size };
}

const STEP_OF_MANY = { count: 1_000 };
const SHAPES: Record<string, Shape> = {
  "many jobs of one task": {
    jobs: 10_000,
    occurrences: 1,
    specification: createSpecification([{}]),
  },
  "a few jobs of many occurrences": {
    jobs: 10,
    occurrences: 1_000,
    specification: createSpecification([{}]),
  },
  "steps of many tasks": {
    jobs: 10,
    occurrences: 2,
    specification: createSpecification([STEP_OF_MANY, STEP_OF_MANY]),
  },
  "tasks that run": {
    jobs: 10,
    occurrences: 2,
    specification: createSpecification([STEP_OF_MANY, STEP_OF_MANY]),
    isRunning: true,
  },
  "occurrences that run": {
    jobs: 10,
    occurrences: 1_000,
    specification: createSpecification([{}]),
    isRunning: true,
  },
  "many steps": {
    jobs: 10,
    occurrences: 5,
    specification: createSpecification(
      Array.from({ length: 500 }, (_, number) => ({ after: number === 0 ? [] : [number - 1] })),
    ),
  },
  "long texts": {
    jobs: 500,
    occurrences: 1,
    specification: createSpecification([{}], "t".repeat(4_000)),
  },
  "a long image": {
    jobs: 50,
    occurrences: 1,
    specification: createSpecification([{ image: "i".repeat(200_000) }]),
  },
  "an image with one wide character": {
    jobs: 50,
    occurrences: 1,
    specification: createSpecification([{ image: "i".repeat(200_000) + "\u20ac" }]),
  },
  "long labels and racks": {
    jobs: 20,
    occurrences: 1,
    specification: createSpecification(
      Array.from({ length: 50 }, () => ({ label: "l".repeat(1_000), rack: "r".repeat(1_000) })),
    ),
  },
  "a long list of earlier steps": {
    jobs: 10,
    occurrences: 1,
    specification: createSpecification([{}, { after: Array.from({ length: 50_000 }, () => 0) }]),
  },
};

// Guards against jobs that take more memory than is counted for them, so that no limit holds.
for (const [name, shape] of Object.entries(SHAPES)) {
  test.serial(`the estimated memory of ${name} is not below what they take`, (t) => {
    measure({ ...shape, jobs: 1 });
    const { measured, estimated } = measure(shape);
    t.log(`${estimated} bytes estimated, ${measured} on the heap`);
    t.true(measured <= estimated, `${estimated} bytes estimated, ${measured} on the heap`);
    t.true(estimated <= measured * MAXIMUM_EXCESS, `${estimated} bytes estimated, ${measured}`);
  });
}
