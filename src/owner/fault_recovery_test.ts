import test from "ava";
import fc from "fast-check";
import type { ConfigurationData } from "../fleet/configuration.ts";
import { type Host, HostState } from "../fleet/host.ts";
import type { JobSpecification, StepSpecification } from "../fleet/job_specification.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { getRunOptions } from "../tests/run_options.ts";
import { FleetSimulation } from "../platform/stand_in/fleet_simulation.ts";
import type { FalsifiedInput, SimulationFaults } from "../platform/stand_in/simulation_options.ts";
import { createQueue } from "../stand_ins/fleet_fixtures.ts";

const NO_FAULTS: SimulationFaults = { lostFraction: 0, lateFraction: 0, failingFraction: 0 };
const SERVICES = ["tugdesk", "berthbook"];
const HOSTS_PER_POOL = 4;
/** The length of each phase with faults, in turns. Jobs are submitted on every turn. */
const FAULT_TURNS = 8;
/** The length of each phase without faults, in turns. Jobs are submitted on every fourth turn. */
const FAULT_FREE_TURNS = 44;
const TURN_MILLISECONDS = 250;

const CONFIGURATION: ConfigurationData = {
  version: 1,
  queues: SERVICES.map((service) =>
    createQueue({ name: service, host: `${service}.example`, service, attemptLimit: 3 })
  ),
  services: [
    ...SERVICES.map((name) => ({ name, isGuarded: false, isSpare: false })),
    { name: "spare", isGuarded: false, isSpare: true },
  ],
  customers: [
    { name: "quay", keys: [], weight: 50, ceiling: { cpu: 24_000, memory: 0, accelerators: 0 } },
  ],
  largestBodyBytes: 10_000,
};

const HOSTS: Host[] = [...SERVICES, "spare"].flatMap((pool) =>
  Array.from({ length: HOSTS_PER_POOL }, (_, number) => ({
    name: `${pool}-${number}`,
    pool,
    state: HostState.Up,
    zone: number % 2 === 0 ? "zl-a" : "zl-b",
    capacity: { cpu: 8_000, memory: 64_000, accelerators: 0 },
    executorId: "",
  }))
);

function createJob(steps: Partial<StepSpecification>[]): JobSpecification {
  const whole = steps.map((step) =>
    createStepSpecification({
      count: 2,
      demand: { cpu: 1_500, memory: 1_000, accelerators: 0 },
      ...step,
    })
  );
  return { text: "", steps: whole, repeats: 0, firstAt: 0, intervalMilliseconds: 0 };
}

const JOBS = [
  createJob([{}]),
  createJob([{ count: 3 }, { after: [0] }]),
  createJob([{ count: 1, demand: { cpu: 4_000, memory: 4_000, accelerators: 0 } }]),
];
const LONG_RUNNING = createJob([{ count: 4, isLasting: true, mostAway: 1, mostPerExecutor: 2 }]);
const LONG_RUNNING_WITHOUT_BUDGET = createJob([{ isLasting: true }]);

/** The faults and events before one phase without faults. */
interface FaultPhase {
  faults: SimulationFaults;
  /** The events, one each half second. */
  events: readonly string[];
}

interface Scenario {
  seed: number;
  phases: readonly FaultPhase[];
  falsifiedInput?: FalsifiedInput;
}

/** Simulates phases with faults, each followed by a phase without faults and with fewer jobs. */
function simulate({ seed, phases, falsifiedInput: input }: Scenario): FleetSimulation {
  const world = FleetSimulation.create({
    seed,
    faults: NO_FAULTS,
    configuration: CONFIGURATION,
    hosts: HOSTS,
    staleEntryMilliseconds: 3_000,
    ...(input === undefined ? {} : { falsifiedInput: input }),
  });
  world.run(500);
  for (const service of SERVICES) {
    world.submit(`lasting-${service}`, service, "", LONG_RUNNING);
    world.submit(`boundless-${service}`, service, "quay", LONG_RUNNING_WITHOUT_BUDGET);
  }
  phases.forEach(({ faults, events }, number) => {
    world.setFaults(faults);
    for (let turn = 0; turn < FAULT_TURNS + FAULT_FREE_TURNS; turn += 1) {
      if (turn === FAULT_TURNS) world.clearFaults();
      if (turn % 2 === 0) applyEvent(world, events[turn / 2], number * 8 + turn);
      const submitsJob = turn < FAULT_TURNS || turn % 4 === 0;
      const job = JOBS[turn % JOBS.length]!;
      const service = SERVICES[turn % 8 < 6 ? 0 : 1]!;
      const customer = turn % 3 === 0 ? "quay" : "";
      if (submitsJob) world.submit(`job${number}-${turn}`, service, customer, job);
      world.run(TURN_MILLISECONDS);
    }
  });
  world.checkExecutorsKnown();
  return world;
}

function applyEvent(world: FleetSimulation, event: string | undefined, turn: number): void {
  const ids = world.getExecutorIds();
  const id = ids[turn % ids.length] ?? "";
  switch (event) {
    case "owner":
      return world.replaceOwner();
    case "crash":
      return world.crash(id);
    case "drain":
      return world.drain(id);
    case "hide":
      return world.unlistExecutors(
        ids.filter((_, index) => index % 2 === turn % 4 / 2),
        25 * (1 + turn % 8),
      );
    case "wave": {
      const hosts = HOSTS.filter((_, index) => index % 3 !== 0).map(({ name }) => name);
      return world.requestWave({ number: 1, hosts, ceiling: 3, durationMilliseconds: 20_000 });
    }
  }
}

test("all runnable tasks are started once faults have ended, in random runs", (t) => {
  const event = fc.constantFrom("none", "none", "owner", "crash", "drain", "hide", "wave");
  const phase = fc.record({
    faults: fc.record({
      lostFraction: fc.constantFrom(0, 0.05, 0.2, 0.4),
      lateFraction: fc.constantFrom(0, 0, 0.1),
      failingFraction: fc.constantFrom(0, 0.05, 0.2),
      delayMilliseconds: fc.constantFrom(0, 300, 900),
    }),
    events: fc.array(event, { minLength: 4, maxLength: 4 }),
  });
  const scenarios = fc.record({
    seed: fc.integer({ min: 1, max: 2 ** 30 }),
    phases: fc.array(phase, { minLength: 3, maxLength: 3 }),
  });
  let started = 0;
  fc.assert(
    fc.property(scenarios, (scenario) => {
      const world = simulate(scenario);
      started += world.eventCounts["started"] ?? 0;
      if (world.violations.length > 0) throw new Error(world.violations.join("; "));
    }),
    { ...getRunOptions({ seed: 20261204, numRuns: 60 }), includeErrorInReport: true },
  );
  t.true(started > 3_000, `only ${started} starts`);
});

test("the check for unstarted tasks fails for an owner with falsified input", (t) => {
  const cases: Record<string, FalsifiedInput> = {
    "all executors are draining": { entry: (entry) => ({ ...entry, isDraining: true }) },
    "a customer has almost no quota": {
      configuration: (data) => ({
        ...data,
        customers: data.customers.map((customer) => ({
          ...customer,
          ceiling: { ...customer.ceiling, cpu: 1 },
        })),
      }),
    },
    "tasks need a label that no executor has": {
      job: (job) => ({ ...job, steps: job.steps.map((step) => ({ ...step, label: "none" })) }),
    },
  };
  const seen = Object.entries(cases).map(([name, input]) => {
    const world = simulate({
      seed: 7,
      phases: [{ faults: NO_FAULTS, events: [] }],
      falsifiedInput: input,
    });
    const lines = world.violations.filter((line) => line.includes("could run and does not"));
    return [name, [...new Set(lines.map((line) => line.replace(/\d.*$/, "")))]];
  });
  t.snapshot(Object.fromEntries(seen));
});
