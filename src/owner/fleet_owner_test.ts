import test from "ava";
import { decode as decodeCbor, encode as encodeCbor } from "cbor-x";
import fc from "fast-check";
import type { ConfigurationData } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { JobState } from "../fleet/job.ts";
import type { JobSpecification, StepSpecification } from "../fleet/job_specification.ts";
import { RunEnd } from "../fleet/run.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { getRunOptions } from "../tests/run_options.ts";
import { FleetSimulation } from "../platform/stand_in/fleet_simulation.ts";
import type { FalsifiedInput, SimulationFaults } from "../platform/stand_in/simulation_options.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";

const NO_FAULTS: SimulationFaults = { lostFraction: 0, lateFraction: 0, failingFraction: 0 };

const CONFIGURATION: ConfigurationData = {
  version: 1,
  queues: [
    createQueue({
      name: "berths",
      host: "berths.example",
      pathPrefix: "/berths/",
      service: "berthbook",
      attemptLimit: 2,
      isPublic: false,
    }),
  ],
  services: [{ name: "berthbook", isGuarded: false, isSpare: false }],
  customers: [
    { name: "mine", keys: ["k1"], weight: 50, ceiling: { cpu: 9_000, memory: 0, accelerators: 0 } },
    { name: "quay", keys: ["k2"], weight: 50, ceiling: { cpu: 0, memory: 0, accelerators: 0 } },
  ],
  largestBodyBytes: 10_000,
};

const EXECUTORS: ExecutorEntry[] = [0, 1, 2, 3].map((number) =>
  createListedExecutor({
    id: `i-${number}`,
    born: 1_000,
    service: "berthbook",
    address: `10.0.0.${number + 1}:80`,
    zone: number < 2 ? "zl-a" : "zl-b",
    labels: [number % 2 === 0 ? "a" : "b", "r1"],
  })
);

function createStep(parts: Partial<StepSpecification>): StepSpecification {
  return createStepSpecification({
    count: 3,
    demand: { cpu: 1_500, memory: 2_000, accelerators: 0 },
    estimatedMilliseconds: 400,
    ...parts,
  });
}

function createJob(steps: Partial<StepSpecification>[]): JobSpecification {
  return {
    text: "plan",
    steps: steps.map(createStep),
    repeats: 0,
    firstAt: 0,
    intervalMilliseconds: 0,
  };
}

const TWO_STEPS = createJob([{ count: 4 }, { count: 2, after: [0] }]);

interface Scenario {
  seed: number;
  faults: SimulationFaults;
  falsifiedInput?: FalsifiedInput;
  /** The maximum number of ends that an executor reports at a time. */
  listedEnds?: number;
  /** The events that are applied in turn, at fixed intervals. */
  events: readonly string[];
}

/**
 * Simulates 6 s in which four jobs a second arrive under faults, and then 18 s without new jobs.
 */
function simulate(scenario: Scenario): FleetSimulation {
  const { seed, faults, events } = scenario;
  const world = FleetSimulation.create({
    seed,
    faults,
    configuration: CONFIGURATION,
    executors: EXECUTORS,
    listedEnds: scenario.listedEnds,
    ...(scenario.falsifiedInput === undefined ? {} : { falsifiedInput: scenario.falsifiedInput }),
  });
  world.run(200);
  for (let turn = 0; turn < 24; turn += 1) {
    world.submit(`job${turn}`, "berths", turn % 3 === 0 ? "quay" : "mine", TWO_STEPS);
    if (turn % 3 === 2) applyEvent(world, events[Math.floor(turn / 3)], turn);
    world.run(250);
  }
  world.clearFaults();
  world.run(18_000);
  if (!events.includes("evacuate") && !events.includes("drain")) world.checkJobsServed();
  return world;
}

function applyEvent(world: FleetSimulation, event: string | undefined, turn: number): void {
  switch (event) {
    case "owner":
      return world.replaceOwner();
    case "crash":
      return world.crash(`i-${turn % 4}`);
    case "cancel":
      return world.cancel(`job${turn - 1}`);
    case "drain":
      return world.drain("i-0");
    case "evacuate":
      return world.evacuate("zl-a");
  }
}

test("the invariants hold in random runs with faults", (t) => {
  const event = fc.constantFrom("none", "owner", "crash", "cancel", "drain", "evacuate");
  const scenarios = fc.record({
    seed: fc.integer({ min: 1, max: 2 ** 30 }),
    faults: fc.record({
      lostFraction: fc.constantFrom(0, 0.05, 0.2, 0.4),
      lateFraction: fc.constantFrom(0, 0.5, 1),
      failingFraction: fc.constantFrom(0, 0.05, 0.2),
      refusedFraction: fc.constantFrom(0, 0, 0.5, 0.95),
    }),
    events: fc.array(event, { minLength: 8, maxLength: 8 }),
  });
  let started = 0;
  fc.assert(
    fc.property(scenarios, (scenario) => {
      const world = simulate(scenario);
      started += world.eventCounts["started"] ?? 0;
      if (world.violations.length > 0) throw new Error(world.violations.join("; "));
    }),
    { ...getRunOptions({ seed: 20261204, numRuns: 250 }), includeErrorInReport: true },
  );
  t.true(started > 20_000, `only ${started} starts`);
});

interface ClockScenario extends Scenario {
  /** How far the clocks of successive owners are ahead, in milliseconds, used cyclically. */
  clockErrors: readonly number[];
}

/** Simulates single and repeating jobs under owners whose clocks differ. */
function simulateClockErrors(scenario: ClockScenario): FleetSimulation {
  const { seed, faults, events, clockErrors } = scenario;
  const world = FleetSimulation.create({
    seed,
    faults,
    configuration: CONFIGURATION,
    executors: EXECUTORS,
    getClockOffset: (fence) => clockErrors[fence % clockErrors.length] ?? 0,
    ...(scenario.falsifiedInput === undefined ? {} : { falsifiedInput: scenario.falsifiedInput }),
  });
  world.run(200);
  for (let turn = 0; turn < 24; turn += 1) {
    const isRepeating = turn % 4 === 1;
    const job = isRepeating
      ? { ...TWO_STEPS, repeats: 3, firstAt: world.getNow() + 300, intervalMilliseconds: 700 }
      : TWO_STEPS;
    world.submit(`job${turn}`, "berths", turn % 3 === 0 ? "quay" : "mine", job);
    applyEvent(world, events[turn], turn);
    world.run(250);
  }
  world.clearFaults();
  world.run(24_000);
  world.checkJobsServed();
  return world;
}

test("answers to callers remain valid across new owners, late appends and clock differences", (t) => {
  const event = fc.constantFrom("none", "none", "none", "owner", "crash", "cancel");
  const scenarios = fc.record({
    seed: fc.integer({ min: 1, max: 2 ** 30 }),
    faults: fc.record({
      lostFraction: fc.constantFrom(0, 0.05, 0.2, 0.4),
      lateFraction: fc.constantFrom(0, 0.5, 1),
      failingFraction: fc.constantFrom(0, 0.05, 0.2),
      lateAppendFraction: fc.constantFrom(0, 0.3, 0.8),
    }),
    events: fc.array(event, { minLength: 24, maxLength: 24 }),
    clockErrors: fc.array(fc.constantFrom(0, 0, 400, 2_400), { minLength: 2, maxLength: 2 }),
  });
  let lateAppends = 0;
  fc.assert(
    fc.property(scenarios, (scenario) => {
      const world = simulateClockErrors(scenario);
      lateAppends += world.eventCounts["late-append"] ?? 0;
      if (world.violations.length > 0) throw new Error(world.violations.join("; "));
    }),
    { ...getRunOptions({ seed: 20261204, numRuns: 120 }), includeErrorInReport: true },
  );
  t.true(lateAppends > 1_000, `only ${lateAppends} late appends`);
});

test("a job that is cancelled while it is being stored does not run", (t) => {
  const world = FleetSimulation.create({
    seed: 1,
    faults: NO_FAULTS,
    configuration: CONFIGURATION,
    executors: EXECUTORS,
  });
  world.run(200);
  world.submit("job", "berths", "mine", TWO_STEPS);
  world.cancel("job");
  world.run(3_000);
  t.is(world.getJobState("job"), "cancelled");
  t.is(world.eventCounts["started"] ?? 0, 0);
  t.deepEqual(world.violations, []);
});

test("an occurrence started by an owner with a clock ahead is not started again", (t) => {
  const scenarios: Pick<ClockScenario, "seed" | "faults" | "events">[] = [
    { seed: 1, faults: NO_FAULTS, events: ["owner", "none", "none", "none", "owner"] },
    {
      seed: 3,
      faults: { ...NO_FAULTS, lostFraction: 0.05 },
      events: ["owner", "none", "crash", "cancel", "owner"],
    },
  ];
  for (const scenario of scenarios) {
    const world = simulateClockErrors({ ...scenario, clockErrors: [400, 0] });
    t.deepEqual(world.violations, []);
  }
});

test("an ended job is retained by an owner whose clock is ahead", (t) => {
  const world = simulateClockErrors({
    seed: 1,
    faults: NO_FAULTS,
    events: [...Array<string>(23).fill("none"), "owner"],
    clockErrors: [3_600_000, 0],
  });
  t.is(world.getJobState("job0"), "completed");
  t.deepEqual(world.violations, []);
});

test("every job completes in a run without faults", (t) => {
  const world = simulate({ seed: 1, faults: NO_FAULTS, events: [] });
  const states = new Set([...Array(24).keys()].map((turn) => world.getJobState(`job${turn}`)));
  t.deepEqual([...states], ["completed"]);
  t.deepEqual(world.violations, []);
});

test("a gang starts completely or not at all, and not beyond its customer's ceiling", (t) => {
  const member = { demand: { cpu: 5_000, memory: 1_000, accelerators: 0 }, isGang: true };
  const gangs: Record<string, [customer: string, step: Partial<StepSpecification>]> = {
    "four that fit": ["quay", { ...member, count: 4 }],
    "five on four executors": ["quay", { ...member, count: 5 }],
    "two beyond the ceiling": ["mine", { ...member, count: 2 }],
    "two on one rack": ["quay", { ...member, count: 2, wantsSameRack: true }],
  };
  const started = Object.entries(gangs).map(([name, [customer, step]]) => {
    const world = FleetSimulation.create({
      seed: 3,
      faults: NO_FAULTS,
      configuration: CONFIGURATION,
      executors: EXECUTORS,
    });
    world.run(200);
    world.submit("gang", "berths", customer, createJob([step]));
    world.run(100);
    return [name, world.eventCounts["started"] ?? 0];
  });
  t.deepEqual(Object.fromEntries(started), {
    "four that fit": 4,
    "five on four executors": 0,
    "two beyond the ceiling": 0,
    "two on one rack": 2,
  });
});

test("each check fails for an owner with falsified input", (t) => {
  const cases: [string, FalsifiedInput, string[], SimulationFaults][] = [
    [
      "LIMIT",
      {
        entry: (entry) => ({
          ...entry,
          capacity: { cpu: 80_000, memory: 160_000, accelerators: 0 },
          isDraining: entry.id !== "i-0",
        }),
      },
      [],
      NO_FAULTS,
    ],
    [
      "ORDER",
      {
        job: (job) => ({ ...job, steps: job.steps.map((step) => ({ ...step, after: [] })) }),
      },
      [],
      NO_FAULTS,
    ],
    [
      "QUOTA",
      {
        configuration: (data) => ({ ...data, customers: [] }),
      },
      [],
      NO_FAULTS,
    ],
    [
      "BUDGET",
      {
        configuration: (data) => ({
          ...data,
          queues: data.queues.map((queue) => ({ ...queue, attemptLimit: 99 })),
        }),
      },
      [],
      { ...NO_FAULTS, failingFraction: 0.5 },
    ],
    ["EVAC", { hidesPlannedActions: true }, ["evacuate"], NO_FAULTS],
    [
      "MIXED",
      { stored: (entries) => entries.filter(([key]) => !key.startsWith("job/")) },
      ["none", "none", "owner"],
      { ...NO_FAULTS, refusedFraction: 1 },
    ],
    ["TWICE", { losesJournal: true }, ["none", "none", "owner"], NO_FAULTS],
  ];
  const detected = cases.map(([rule, input, events, faults]) => {
    const world = simulate({ seed: 7, faults, events, falsifiedInput: input });
    return [rule, world.violations.some((line) => line.startsWith(rule))];
  });
  t.deepEqual(detected, cases.map(([rule]) => [rule, true]));
});

// Guards against ends that the simulation does not record as acknowledged.
test("the check of repeated tasks fails for an owner that loses acknowledged ends", (t) => {
  const { violations } = simulate({
    seed: 7,
    faults: NO_FAULTS,
    events: ["none", "none", "owner"],
    falsifiedInput: { losesJournal: true },
  });
  t.true(violations.some((line) => /^TWICE: .* after its end was acknowledged/.test(line)));
});

test("each check of answers to callers fails for an owner with falsified input", (t) => {
  const without = (prefix: string) => (entries: [string, Uint8Array][]) =>
    entries.filter(([key]) => !key.startsWith(prefix));
  const cases: [line: RegExp, lies: FalsifiedInput, events: string[]][] = [
    [/^LOST: job\d+ is accepted and not known/, { stored: without("job/job") }, ["none", "owner"]],
    [
      /^MIXED: job\d+ was shown as completed and is queued/,
      { stored: without("progress/") },
      ["none", "none", "none", "none", "owner"],
    ],
    [
      /^MIXED: job\d+ is completed without/,
      {
        report: (report) => ({
          ...report,
          ended: report.running.map(({ task, run }, index) => ({
            number: report.executorTime + index,
            task,
            run,
            end: RunEnd.Done,
            checkpoint: "",
          })),
        }),
      },
      [],
    ],
    [
      /^MIXED: nobody was never submitted/,
      {
        stored: (entries) => {
          const found = entries.find(([key]) => key.startsWith("job/"));
          const over = { outcome: JobState.Cancelled, endedAt: 0, doneOccurrences: [], tasks: [] };
          return found === undefined
            ? entries
            : [...entries, ["job/nobody", found[1]], ["progress/nobody", encodeCbor(over)]];
        },
      },
      ["none", "owner"],
    ],
    ...[JobState.Cancelled, JobState.Failed].map((outcome): [RegExp, FalsifiedInput, string[]] => [
      new RegExp(`^LOST: job\\d+ is shown as ${outcome}`),
      {
        stored: (entries) =>
          entries.map(([key, value]) =>
            key.startsWith("progress/")
              ? [key, encodeCbor({ ...decodeCbor(value), outcome })]
              : [key, value]
          ),
      },
      ["none", "owner"],
    ]),
  ];
  const detected = cases.map(([line, input, events]) => {
    const world = simulate({ seed: 7, faults: NO_FAULTS, events, falsifiedInput: input });
    return [line.source, world.violations.some((violation) => line.test(violation))];
  });
  t.deepEqual(detected, cases.map(([line]) => [line.source, true]));
});

test("an executor whose list entry was temporarily lost is used again", (t) => {
  const world = FleetSimulation.create({
    seed: 4,
    faults: NO_FAULTS,
    configuration: CONFIGURATION,
    executors: EXECUTORS,
  });
  world.run(500);
  world.unlistExecutors(world.getExecutorIds(), 500);
  world.run(1_000);
  world.submit("job", "berths", "quay", TWO_STEPS);
  world.run(10_000);
  t.is(world.getJobState("job"), "completed");
  t.deepEqual(world.violations, []);
});

test("a late answer of an executor's earlier incarnation does not end the next one", (t) => {
  const world = FleetSimulation.create({
    seed: 5,
    faults: { ...NO_FAULTS, delayMilliseconds: 600 },
    configuration: CONFIGURATION,
    executors: EXECUTORS,
  });
  world.run(3_000);
  world.submit("before", "berths", "quay", TWO_STEPS);
  world.run(1_000);
  for (const id of world.getExecutorIds()) world.crash(id);
  world.run(1_000);
  world.clearFaults();
  world.submit("job", "berths", "quay", TWO_STEPS);
  world.run(10_000);
  t.is(world.getJobState("job"), "completed");
  t.deepEqual(world.violations, []);
});
