import test from "ava";
import fc from "fast-check";
import type { ConfigurationData } from "../fleet/configuration.ts";
import type { JobSpecification } from "../fleet/job_specification.ts";
import { FleetSimulation } from "../platform/stand_in/fleet_simulation.ts";
import type { FalsifiedInput, SimulationFaults } from "../platform/stand_in/simulation_options.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { getRunOptions } from "../tests/run_options.ts";

const NO_FAULTS: SimulationFaults = { lostFraction: 0, lateFraction: 0, failingFraction: 0 };

const CONFIGURATION: ConfigurationData = {
  version: 1,
  queues: [createQueue()],
  services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
  customers: [],
  largestBodyBytes: 10_000,
};

const EXECUTORS = [0, 1, 2, 3].map((number) =>
  createListedExecutor({ id: `i-${number}`, born: 1_000, address: `10.0.0.${number + 1}:80` })
);

/** Two steps of tasks that are short, so that an acknowledgement is on its way most of the time. */
const JOB: JobSpecification = {
  text: "",
  steps: [{}, { after: [0] }].map((step) =>
    createStepSpecification({
      count: 3,
      demand: { cpu: 1_500, memory: 1_000, accelerators: 0 },
      estimatedMilliseconds: 150,
      ...step,
    })
  ),
  repeats: 0,
  firstAt: 0,
  intervalMilliseconds: 0,
};
const LONG_RUNNING: JobSpecification = {
  ...JOB,
  steps: [createStepSpecification({ count: 2, isLasting: true })],
};

const TURNS = 40;
const TURN_MILLISECONDS = 150;

interface Scenario {
  seed: number;
  faults: SimulationFaults;
  /** How long restarted executors carry orders out and answer none, in milliseconds. */
  muteMilliseconds: number;
  /** How long their earlier incarnations stay listed, in milliseconds. */
  listingMilliseconds: number;
  /** How long an owner that is paused makes no decisions, in milliseconds. */
  pauseMilliseconds: number;
  /** The events, one each turn. */
  events: readonly string[];
  falsifiedInput?: FalsifiedInput;
}

/** Simulates 6 s in which jobs arrive under faults and changes, and then 24 s without either. */
function simulate(scenario: Scenario): FleetSimulation {
  const { seed, faults, events, falsifiedInput } = scenario;
  const world = FleetSimulation.create({
    seed,
    faults,
    configuration: CONFIGURATION,
    executors: EXECUTORS,
    ...(falsifiedInput === undefined ? {} : { falsifiedInput }),
  });
  world.run(200);
  world.submit("lasting", "tugs", "", LONG_RUNNING);
  for (let turn = 0; turn < TURNS; turn += 1) {
    world.submit(`job${turn}`, "tugs", "", JOB);
    applyEvent(world, scenario, events[turn], turn);
    world.run(TURN_MILLISECONDS);
  }
  world.clearFaults();
  world.run(24_000);
  world.checkJobsServed();
  return world;
}

function applyEvent(
  world: FleetSimulation,
  { listingMilliseconds, muteMilliseconds, pauseMilliseconds }: Scenario,
  event: string | undefined,
  turn: number,
): void {
  switch (event) {
    case "restart":
      return world.restart(`i-${turn % EXECUTORS.length}`, {
        listingMilliseconds,
        muteMilliseconds,
      });
    case "crash of the owner":
      return world.crashOwner();
    case "hand-over":
      return world.handOver();
    case "pause":
      return world.pauseOwner(pauseMilliseconds);
  }
}

test("no task is repeated by silent restarts of executors while owners crash, hand over and pause", (t) => {
  const event = fc.constantFrom(
    "none",
    "none",
    "none",
    "restart",
    "restart",
    "crash of the owner",
    "hand-over",
    "pause",
  );
  const scenarios = fc.record({
    seed: fc.integer({ min: 1, max: 2 ** 30 }),
    faults: fc.record({
      lostFraction: fc.constantFrom(0, 0.05, 0.2),
      lateFraction: fc.constantFrom(0, 0.5, 1),
      failingFraction: fc.constantFrom(0, 0.05),
      lateAppendFraction: fc.constantFrom(0, 0.3),
    }),
    muteMilliseconds: fc.constantFrom(0, 800, 5_000, 9_000),
    listingMilliseconds: fc.constantFrom(0, 1_500, 9_000),
    pauseMilliseconds: fc.constantFrom(600, 1_400, 3_000, 7_000),
    events: fc.array(event, { minLength: TURNS, maxLength: TURNS }),
  });
  let started = 0;
  fc.assert(
    fc.property(scenarios, (scenario) => {
      const world = simulate(scenario);
      started += world.eventCounts["started"] ?? 0;
      if (world.violations.length > 0) throw new Error(world.violations.join("; "));
    }),
    { ...getRunOptions({ seed: 20261207, numRuns: 200 }), includeErrorInReport: true },
  );
  t.true(started > 10_000, `only ${started} starts`);
});

// Guards against an acknowledgement for one life of an executor that discards ends of the next one.
test("no task is repeated by a restart of an executor that an acknowledgement is on its way to", (t) => {
  const events = Array<string>(TURNS).fill("none");
  for (const turn of [1, 3]) events[turn] = "restart";
  const world = simulate({
    seed: 1,
    faults: NO_FAULTS,
    muteMilliseconds: 800,
    listingMilliseconds: 9_000,
    pauseMilliseconds: 0,
    events,
  });
  t.deepEqual(world.violations, []);
});

// Guards against an owner that starts a task in a new life, which knows no fence, after its successor has.
test("an owner that wakes from a pause starts no task at an executor that knows no fence", (t) => {
  const cases = [
    { seed: 52_977_266, listingMilliseconds: 1_500, pauses: [1], restarts: [6, 10] },
    { seed: 194_034_435, listingMilliseconds: 0, pauses: [2, 10], restarts: [6, 11] },
  ];
  const found = cases.map(({ seed, listingMilliseconds, pauses, restarts }) => {
    const events = Array<string>(TURNS).fill("none");
    for (const turn of pauses) events[turn] = "pause";
    for (const turn of restarts) events[turn] = "restart";
    const world = simulate({
      seed,
      faults: NO_FAULTS,
      muteMilliseconds: 0,
      listingMilliseconds,
      pauseMilliseconds: 1_400,
      events,
    });
    return world.violations;
  });
  t.deepEqual(found, [[], []]);
});

test("every job completes in a run without faults and changes", (t) => {
  const world = simulate({
    seed: 1,
    faults: NO_FAULTS,
    muteMilliseconds: 0,
    listingMilliseconds: 0,
    pauseMilliseconds: 0,
    events: [],
  });
  t.deepEqual(world.violations, []);
});
