import test from "ava";
import fc from "fast-check";
import type { ConfigurationData } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { JobSpecification, StepSpecification } from "../fleet/job_specification.ts";
import { createStepSpecification } from "../stand_ins/step_samples.ts";
import { getRunOptions } from "../tests/run_options.ts";
import { FleetWorld } from "../platform/stand_in/fleet_world.ts";
import type { WorldFaults, WorldLies } from "../platform/stand_in/world_options.ts";

const NO_FAULTS: WorldFaults = { lostPart: 0, latePart: 0, failingPart: 0 };

const CONFIGURATION: ConfigurationData = {
  version: 1,
  queues: [{
    name: "berths",
    host: "berths.example",
    pathPrefix: "/berths/",
    service: "berthbook",
    priority: 0,
    attemptLimit: 2,
    stretch: 1.6,
    objectiveMilliseconds: 600,
    isPublic: false,
  }],
  services: [{ name: "berthbook", isGuarded: false, isSpare: false }],
  customers: [
    { name: "mine", keys: ["k1"], weight: 50, ceiling: { cpu: 9_000, memory: 0, accelerators: 0 } },
    { name: "quay", keys: ["k2"], weight: 50, ceiling: { cpu: 0, memory: 0, accelerators: 0 } },
  ],
  largestBodyBytes: 10_000,
};

const EXECUTORS: ExecutorEntry[] = [0, 1, 2, 3].map((number) => ({
  id: `i-${number}`,
  born: 1_000,
  service: "berthbook",
  address: `10.0.0.${number + 1}:80`,
  zone: number < 2 ? "zl-a" : "zl-b",
  labels: [number % 2 === 0 ? "a" : "b", "r1"],
  capacity: { cpu: 8_000, memory: 16_000, accelerators: 0 },
  isDraining: false,
}));

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
  faults: WorldFaults;
  lies?: WorldLies;
  /** Things that happen, every 700 ms. */
  happenings: readonly string[];
}

/** Plays jobs that come four a second among faults, and gets the world at its end. */
function play(scenario: Scenario): FleetWorld {
  const { seed, faults, happenings } = scenario;
  const world = FleetWorld.create({
    seed,
    faults,
    configuration: CONFIGURATION,
    executors: EXECUTORS,
    ...(scenario.lies === undefined ? {} : { lies: scenario.lies }),
  });
  world.run(200);
  for (let turn = 0; turn < 24; turn += 1) {
    world.submit(`job${turn}`, "berths", turn % 3 === 0 ? "quay" : "mine", TWO_STEPS);
    if (turn % 3 === 2) apply(world, happenings[Math.floor(turn / 3)], turn);
    world.run(250);
  }
  world.endFaults();
  world.run(18_000);
  if (!happenings.includes("evacuate") && !happenings.includes("drain")) world.checkServed();
  return world;
}

function apply(world: FleetWorld, happening: string | undefined, turn: number): void {
  switch (happening) {
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

test("the promises hold in random runs with faults", (t) => {
  const happening = fc.constantFrom("none", "owner", "crash", "cancel", "drain", "evacuate");
  const scenarios = fc.record({
    seed: fc.integer({ min: 1, max: 2 ** 30 }),
    faults: fc.record({
      lostPart: fc.constantFrom(0, 0.05, 0.2, 0.4),
      latePart: fc.constantFrom(0, 0.5, 1),
      failingPart: fc.constantFrom(0, 0.05, 0.2),
    }),
    happenings: fc.array(happening, { minLength: 8, maxLength: 8 }),
  });
  let started = 0;
  fc.assert(
    fc.property(scenarios, (scenario) => {
      const world = play(scenario);
      started += world.counts["started"] ?? 0;
      if (world.violations.length > 0) throw new Error(world.violations.join("; "));
    }),
    { ...getRunOptions({ seed: 20261204, numRuns: 250 }), includeErrorInReport: true },
  );
  t.true(started > 20_000, `only ${started} starts`);
});

test("a calm day completes every job", (t) => {
  const world = play({ seed: 1, faults: NO_FAULTS, happenings: [] });
  const states = new Set([...Array(24).keys()].map((turn) => world.getJobState(`job${turn}`)));
  t.deepEqual([...states], ["completed"]);
  t.deepEqual(world.violations, []);
});

test("a gang starts whole or not at all, and not beyond its customer's ceiling", (t) => {
  const member = { demand: { cpu: 5_000, memory: 1_000, accelerators: 0 }, isGang: true };
  const gangs: Record<string, [customer: string, step: Partial<StepSpecification>]> = {
    "four that fit": ["quay", { ...member, count: 4 }],
    "five on four executors": ["quay", { ...member, count: 5 }],
    "two beyond the ceiling": ["mine", { ...member, count: 2 }],
    "two on one rack": ["quay", { ...member, count: 2, wantsSameRack: true }],
  };
  const started = Object.entries(gangs).map(([name, [customer, step]]) => {
    const world = FleetWorld.create({
      seed: 3,
      faults: NO_FAULTS,
      configuration: CONFIGURATION,
      executors: EXECUTORS,
    });
    world.run(200);
    world.submit("gang", "berths", customer, createJob([step]));
    world.run(100);
    return [name, world.counts["started"] ?? 0];
  });
  t.deepEqual(Object.fromEntries(started), {
    "four that fit": 4,
    "five on four executors": 0,
    "two beyond the ceiling": 0,
    "two on one rack": 2,
  });
});

test("each check fails on an owner that is told falsely", (t) => {
  const cases: [string, WorldLies, string[], WorldFaults][] = [
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
      { ...NO_FAULTS, failingPart: 0.5 },
    ],
    ["EVAC", { hidesEvacuation: true }, ["evacuate"], NO_FAULTS],
    ["TWICE", { losesJournal: true }, ["none", "none", "owner"], NO_FAULTS],
  ];
  const seen = cases.map(([rule, lies, happenings, faults]) => {
    const world = play({ seed: 7, faults, happenings, lies });
    return [rule, world.violations.some((line) => line.startsWith(rule))];
  });
  t.deepEqual(seen, cases.map(([rule]) => [rule, true]));
});

test("an executor whose entry the list lost for a moment gets starts again", (t) => {
  const world = FleetWorld.create({
    seed: 4,
    faults: NO_FAULTS,
    configuration: CONFIGURATION,
    executors: EXECUTORS,
  });
  world.run(500);
  world.hide(world.getExecutorIds(), 500);
  world.run(1_000);
  world.submit("job", "berths", "quay", TWO_STEPS);
  world.run(10_000);
  t.is(world.getJobState("job"), "completed");
  t.deepEqual(world.violations, []);
});

test("a late answer of an executor's life before does not end the next one", (t) => {
  const world = FleetWorld.create({
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
  world.endFaults();
  world.submit("job", "berths", "quay", TWO_STEPS);
  world.run(10_000);
  t.is(world.getJobState("job"), "completed");
  t.deepEqual(world.violations, []);
});
