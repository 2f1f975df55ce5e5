import test from "ava";
import fc from "fast-check";
import type { ConfigurationData } from "../fleet/configuration.ts";
import { AnswerOutcome } from "../front/call.ts";
import { FleetSimulation } from "../platform/stand_in/fleet_simulation.ts";
import type { FalsifiedInput, SimulationFaults } from "../platform/stand_in/simulation_options.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { getRunOptions } from "../tests/run_options.ts";

const NO_FAULTS: SimulationFaults = { lostFraction: 0, lateFraction: 0, failingFraction: 0 };

const QUEUES = ["berths", "tugs"].map((name) =>
  createQueue({ name, host: `${name}.example`, isPublic: false })
);
const CUSTOMERS = ["mine", "quay"].map((name) => ({
  name,
  keys: [`${name}-key`],
  weight: 1,
  ceiling: { cpu: 0, memory: 0, accelerators: 0 },
}));

const CONFIGURATION: ConfigurationData = {
  version: 1,
  queues: QUEUES,
  services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
  customers: CUSTOMERS,
  largestBodyBytes: 10_000,
};

const EXECUTORS = [0, 1, 2].map((number) =>
  createListedExecutor({ id: `i-${number}`, born: 1_000, address: `10.0.0.${number + 1}:80` })
);

const JOB = {
  text: "",
  steps: [createStepSpecification({ estimatedMilliseconds: 100 })],
  repeats: 0,
  firstAt: 0,
  intervalMilliseconds: 0,
};

interface Scenario {
  seed: number;
  faults: SimulationFaults;
  falsifiedInput?: FalsifiedInput;
  /** The events, one each 500 ms. */
  events: readonly string[];
}

/** Simulates 8 s in which jobs are submitted under faults, and then 8 s without new jobs. */
function simulate({ seed, faults, falsifiedInput, events }: Scenario): FleetSimulation {
  const world = FleetSimulation.create({
    seed,
    faults,
    configuration: CONFIGURATION,
    executors: EXECUTORS,
    ...(falsifiedInput === undefined ? {} : { falsifiedInput }),
  });
  world.run(500);
  for (let turn = 0; turn < 64; turn += 1) {
    const [queue, customer] = [QUEUES[turn % 2]!, CUSTOMERS[Math.floor(turn / 2) % 2]!];
    world.submitThroughFront(`job${turn}`, queue.name, customer.keys[0]!, JOB);
    if (turn % 4 === 1) applyEvent(world, events[Math.floor(turn / 4)], turn);
    world.run(125);
  }
  world.clearFaults();
  world.run(8_000);
  return world;
}

function applyEvent(world: FleetSimulation, event: string | undefined, turn: number): void {
  const version = 2 + turn;
  switch (event) {
    case "owner":
      return world.replaceOwner();
    case "withdraw": {
      const customers = CUSTOMERS.map((customer, index) =>
        index === Math.floor(turn / 4) % 2 ? { ...customer, keys: [] } : customer
      );
      return world.publish({ ...CONFIGURATION, version, customers });
    }
    case "remove queue":
      return world.publish({ ...CONFIGURATION, version, queues: QUEUES.slice(1) });
    case "restore":
      return world.publish({ ...CONFIGURATION, version });
  }
}

/** The outcomes that callers are told often in random runs. */
const EXPECTED_OUTCOMES = [
  AnswerOutcome.Accepted,
  AnswerOutcome.InDoubt,
  AnswerOutcome.InvalidKey,
  AnswerOutcome.UnknownQueue,
  AnswerOutcome.Unavailable,
];

test("no refused job starts in random runs with new owners, lost links and withdrawn keys", (t) => {
  const event = fc.constantFrom("none", "owner", "withdraw", "withdraw", "remove queue", "restore");
  const scenarios = fc.record({
    seed: fc.integer({ min: 1, max: 2 ** 30 }),
    faults: fc.record({
      lostFraction: fc.constantFrom(0, 0.2),
      lateFraction: fc.constantFrom(0, 0.5),
      failingFraction: fc.constantFrom(0, 0.05),
      lateAppendFraction: fc.constantFrom(0, 0.3),
      lostAnswerFraction: fc.constantFrom(0, 0.2, 0.5),
      lateDeliveryFraction: fc.constantFrom(0, 0.2),
      notOwnerFraction: fc.constantFrom(0, 0.2),
      unavailableFraction: fc.constantFrom(0, 0.2),
    }),
    events: fc.array(event, { minLength: 16, maxLength: 16 }),
  });
  const told: Record<string, number> = {};
  fc.assert(
    fc.property(scenarios, (scenario) => {
      const world = simulate(scenario);
      for (const [kind, count] of Object.entries(world.eventCounts)) {
        told[kind] = (told[kind] ?? 0) + count;
      }
      if (world.violations.length > 0) throw new Error(world.violations.join("; "));
    }),
    { ...getRunOptions({ seed: 20261205, numRuns: 100 }), includeErrorInReport: true },
  );
  for (const outcome of EXPECTED_OUTCOMES) {
    t.true((told[`told-${outcome}`] ?? 0) > 100, `few answers ${outcome}`);
  }
});

test("a job whose queue is removed between two deliveries to its owner is not refused", (t) => {
  const { violations } = simulate({
    seed: 1,
    faults: { ...NO_FAULTS, lostAnswerFraction: 0.5 },
    events: ["none", "remove queue"],
  });
  t.deepEqual(violations, []);
});

test("a job is not refused while an earlier delivery can be carried out under a later configuration", (t) => {
  const { violations } = simulate({
    seed: 1,
    faults: { ...NO_FAULTS, lateDeliveryFraction: 0.2 },
    events: [
      "remove queue",
      "none",
      "restore",
      "remove queue",
      "none",
      "none",
      "withdraw",
      "withdraw",
      "withdraw",
      "restore",
      "restore",
      "withdraw",
      "restore",
    ],
  });
  t.deepEqual(violations, []);
});

test("each check on submissions fails for a front or an owner with falsified input", (t) => {
  const cases: [rule: string, falsifiedInput: FalsifiedInput, events: string[]][] = [
    [
      "REFUSED",
      {
        answer: (answer) =>
          answer.outcome === AnswerOutcome.Accepted
            ? { outcome: AnswerOutcome.InvalidKey }
            : answer,
      },
      [],
    ],
    [
      "CONFIG",
      { configuration: (data) => ({ ...data, customers: CUSTOMERS }) },
      ["none", "withdraw"],
    ],
  ];
  const seen = cases.map(([rule, falsifiedInput, events]) => {
    const { violations } = simulate({ seed: 7, faults: NO_FAULTS, events, falsifiedInput });
    return [rule, violations.some((line) => line.startsWith(rule))];
  });
  t.deepEqual(seen, cases.map(([rule]) => [rule, true]));
});
