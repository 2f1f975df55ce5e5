import test from "ava";
import fc from "fast-check";
import type { ConfigurationData } from "../fleet/configuration.ts";
import { type Host, HostState } from "../fleet/host.ts";
import type { JobSpecification, StepSpecification } from "../fleet/job_specification.ts";
import type { MaintenanceWave } from "../fleet/maintenance_wave.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { getRunOptions } from "../tests/run_options.ts";
import { FleetSimulation } from "../platform/stand_in/fleet_simulation.ts";
import type {
  FalsifiedInput,
  ListingOptions,
  SimulationFaults,
} from "../platform/stand_in/simulation_options.ts";
import { createQueue } from "../stand_ins/fleet_fixtures.ts";

const NO_FAULTS: SimulationFaults = { lostFraction: 0, lateFraction: 0, failingFraction: 0 };
const SERVICES = ["tugdesk", "berthbook"];
const HOSTS_PER_POOL = 5;
const SPARE_HOSTS = 4;

const CONFIGURATION: ConfigurationData = {
  version: 1,
  queues: SERVICES.map((service) =>
    createQueue({ name: service, host: `${service}.example`, service, attemptLimit: 3 })
  ),
  services: [
    ...SERVICES.map((name) => ({ name, isGuarded: false, isSpare: false })),
    { name: "spare", isGuarded: false, isSpare: true },
  ],
  customers: [],
  largestBodyBytes: 10_000,
};

const HOSTS: Host[] = [...SERVICES, "spare"].flatMap((pool) =>
  Array.from({ length: pool === "spare" ? SPARE_HOSTS : HOSTS_PER_POOL }, (_, number) => ({
    name: `${pool}-${number}`,
    pool,
    state: HostState.Up,
    zone: number % 2 === 0 ? "zl-a" : "zl-b",
    capacity: { cpu: 8_000, memory: 64_000, accelerators: 0 },
    executorId: "",
  }))
);

function createJob(step: Partial<StepSpecification>): JobSpecification {
  const whole = createStepSpecification({
    count: 6,
    demand: { cpu: 1_500, memory: 1_000, accelerators: 0 },
    estimatedMilliseconds: 600,
    ...step,
  });
  return { text: "", steps: [whole], repeats: 0, firstAt: 0, intervalMilliseconds: 0 };
}

const QUERY = createJob({});
const LONG_RUNNING = createJob({ count: 4, isLasting: true, mostAway: 1, mostPerExecutor: 2 });

const WAVE_HOSTS = HOSTS.filter((_, index) => index % 3 !== 0);
/** How long an existing host is unlisted, in milliseconds: at least two lists during a wave. */
const UNLISTED_MILLISECONDS = 700;

interface Scenario {
  seed: number;
  faults: SimulationFaults;
  falsifiedInput?: FalsifiedInput;
  listing?: ListingOptions | undefined;
  /** The events, one each second. */
  events: readonly string[];
}

/**
 * Simulates 16 s of load that alternates between the queues, with a wave over most hosts, and then
 * 18 s without new jobs.
 */
function simulate(scenario: Scenario): FleetSimulation {
  const { seed, faults, events } = scenario;
  const world = FleetSimulation.create({
    seed,
    faults,
    configuration: CONFIGURATION,
    hosts: HOSTS,
    ...(scenario.falsifiedInput === undefined ? {} : { falsifiedInput: scenario.falsifiedInput }),
    listing: scenario.listing,
  });
  world.run(500);
  for (const service of SERVICES) world.submit(`lasting-${service}`, service, "", LONG_RUNNING);
  const hosts = WAVE_HOSTS.map(({ name }) => name);
  for (let turn = 0; turn < 64; turn += 1) {
    if (turn === 8) {
      world.requestWave({ number: 1, hosts, ceiling: 3, durationMilliseconds: 20_000 });
    }
    const service = SERVICES[Math.floor(turn / 16) % SERVICES.length]!;
    world.submit(`job${turn}`, service, "", QUERY);
    if (turn % 4 === 3) applyEvent(world, events[Math.floor(turn / 4)], turn);
    world.run(250);
  }
  world.clearFaults();
  world.run(18_000);
  world.checkJobsServed();
  world.checkExecutorsKnown();
  return world;
}

function applyEvent(world: FleetSimulation, event: string | undefined, turn: number): void {
  switch (event) {
    case "owner":
      return world.replaceOwner();
    case "crash":
      return world.crash(world.getExecutorIds()[turn % HOSTS_PER_POOL] ?? "");
    case "drain":
      return world.drain(world.getExecutorIds()[turn % HOSTS_PER_POOL] ?? "");
    case "unlisted":
      return world.unlistHost(WAVE_HOSTS[turn % WAVE_HOSTS.length]!.name, UNLISTED_MILLISECONDS);
    case "gone":
      return world.removeHost(WAVE_HOSTS[turn % WAVE_HOSTS.length]!.name);
  }
}

test("the invariants on hosts hold in random runs with waves, moves and new owners", (t) => {
  const event = fc.constantFrom("none", "none", "owner", "crash", "drain");
  const scenarios = fc.record({
    seed: fc.integer({ min: 1, max: 2 ** 30 }),
    faults: fc.record({
      lostFraction: fc.constantFrom(0, 0.05, 0.2, 0.4),
      lateFraction: fc.constantFrom(0, 0.5, 1),
      failingFraction: fc.constantFrom(0, 0.05),
    }),
    events: fc.array(event, { minLength: 16, maxLength: 16 }),
  });
  let moves = 0;
  fc.assert(
    fc.property(scenarios, (scenario) => {
      const world = simulate(scenario);
      moves += world.getMoveCount();
      if (world.violations.length > 0) throw new Error(world.violations.join("; "));
    }),
    { ...getRunOptions({ seed: 20261204, numRuns: 60 }), includeErrorInReport: true },
  );
  t.true(moves > 600, `only ${moves} moves`);
});

test("a wave is not completed before its existing hosts are maintained, even if lists omit them", (t) => {
  const event = fc.constantFrom(
    "none",
    "none",
    "owner",
    "crash",
    "unlisted",
    "unlisted",
    "gone",
  );
  const scenarios = fc.record({
    seed: fc.integer({ min: 1, max: 2 ** 30 }),
    faults: fc.record({
      lostFraction: fc.constantFrom(0, 0.05, 0.2),
      lateFraction: fc.constantFrom(0, 0.5),
      failingFraction: fc.constantFrom(0, 0.05),
    }),
    listing: fc.constantFrom<ListingOptions | undefined>(
      undefined,
      { pageHosts: 3, pageMilliseconds: 50 },
      { pageHosts: 20, pageMilliseconds: 900 },
    ),
    events: fc.array(event, { minLength: 16, maxLength: 16 }),
  });
  let completed = 0;
  fc.assert(
    fc.property(scenarios, (scenario) => {
      const world = simulate(scenario);
      completed += Number(world.isCompleted(1));
      const violations = world.violations.filter((line) => /^(MIXED|LIMIT)/.test(line));
      if (violations.length > 0) throw new Error(violations.join("; "));
    }),
    { ...getRunOptions({ seed: 20261204, numRuns: 40 }), includeErrorInReport: true },
  );
  t.true(completed > 30, `only ${completed} waves were completed`);
});

// Regression tests, up to the mark below: their seeds violated an invariant before the behaviour in
// the title was implemented.

test("a new owner counts the hosts that the previous owner has under maintenance", (t) => {
  const world = simulate({
    seed: 428_942_074,
    faults: { lostFraction: 0.05, lateFraction: 0, failingFraction: 0.05 },
    events: ["none", "none", "none", "owner"],
  });
  t.deepEqual(world.violations, []);
});

test("a wave's ceiling includes hosts whose maintenance was ordered two owners earlier", (t) => {
  const world = simulate({
    seed: 449_185_896,
    faults: NO_FAULTS,
    events: ["owner", "none", "owner", "owner"],
  });
  t.deepEqual(world.violations, []);
});

test("a reported run keeps running although the answer to its start order was lost", (t) => {
  const world = simulate({
    seed: 282_343_195,
    faults: { ...NO_FAULTS, lostFraction: 0.4 },
    events: ["none", "owner", "none", "none", "crash"],
  });
  t.deepEqual(world.violations, []);
});

test("a run whose start order was not answered is stopped only after its executor was polled", (t) => {
  const world = simulate({
    seed: 23_143_648,
    faults: { ...NO_FAULTS, lostFraction: 0.4 },
    events: ["owner", "none", "drain", "crash", "none", "none", "crash"],
  });
  t.deepEqual(world.violations, []);
});

test("a long-running task whose start may be carried out late is not stopped", (t) => {
  const events = Array<string>(16).fill("none");
  for (const turn of [2, 4, 10, 11]) events[turn] = "crash";
  events[9] = "drain";
  const world = simulate({
    seed: 1_073_741_818,
    faults: { lostFraction: 0.4, lateFraction: 1, failingFraction: 0.05 },
    events,
  });
  t.deepEqual(world.violations, []);
});

test("a host is not moved while its executor has not answered the new owner", (t) => {
  const world = simulate({
    seed: 1,
    faults: { ...NO_FAULTS, lostFraction: 0.4 },
    events: ["none", "owner", "none", "owner", "owner"],
  });
  t.deepEqual(world.violations, []);
});

test("a host's new executor is used after a repeated order for the host", (t) => {
  const world = simulate({
    seed: 1,
    faults: NO_FAULTS,
    events: ["none", "owner", "none", "none", "owner"],
  });
  t.deepEqual(world.violations, []);
});

test("a long-running task runs again after lost orders of earlier owners", (t) => {
  const { violations } = simulate({
    seed: 849355977,
    faults: { lostFraction: 0.2, lateFraction: 0, failingFraction: 0 },
    events: [
      "owner",
      "owner",
      "none",
      "none",
      "owner",
      "drain",
      "none",
      "none",
      "crash",
      "crash",
      "crash",
      "none",
      "owner",
      "none",
      "drain",
      "owner",
    ],
  });
  t.deepEqual(violations, []);
});

// End of the regression tests.

test("a wave and all jobs are completed in a run without faults", (t) => {
  const world = simulate({ seed: 1, faults: NO_FAULTS, events: [] });
  const states = Array.from({ length: 64 }, (_, turn) => world.getJobState(`job${turn}`));
  t.deepEqual([...new Set(states)], ["completed"]);
  t.true(world.isCompleted(1));
  t.deepEqual(world.violations, []);
});

interface WaveCase {
  wave?: MaintenanceWave;
  listing?: ListingOptions;
  waveDelayMilliseconds?: number;
  before?: (world: FleetSimulation) => void;
  after?: (world: FleetSimulation) => void;
}

const SOME_HOSTS = ["tugdesk-1", "tugdesk-2", "berthbook-1", "spare-1"];
const OTHER_HOSTS = ["tugdesk-3", "spare-2"];
const WAVE: MaintenanceWave = {
  number: 1,
  hosts: SOME_HOSTS,
  ceiling: 2,
  durationMilliseconds: 20_000,
};

/** Simulates a wave on a fleet without load for 30 s after it is requested. */
function simulateWave(options: WaveCase): unknown {
  const { wave = WAVE, listing, waveDelayMilliseconds = 0, before, after } = options;
  const world = FleetSimulation.create({
    seed: 11,
    faults: NO_FAULTS,
    configuration: CONFIGURATION,
    hosts: HOSTS,
    listing,
    waveDelayMilliseconds,
  });
  world.run(500);
  before?.(world);
  world.requestWave(wave);
  after?.(world);
  world.run(30_000);
  return {
    violations: world.violations,
    isCompleted: world.isCompleted(1),
    maintained: world.getMaintainedHosts(1),
  };
}

test("a host that one list omits is still maintained", (t) => {
  t.snapshot(simulateWave({ after: (world) => world.unlistHost("spare-1", 350) }));
});

test("a host added after the last list before its wave is maintained", (t) => {
  const before = (world: FleetSimulation) => {
    world.removeHost("spare-1");
    world.run(5_600);
    world.addHost(HOSTS.find(({ name }) => name === "spare-1")!);
  };
  const slow = { pageHosts: 20, pageMilliseconds: 900 };
  t.snapshot([
    ["lists are read in one step", simulateWave({ before })],
    ["lists overtake each other", simulateWave({ before, listing: slow })],
  ]);
});

test("a host is maintained if the provider learns of its wave later than the owner", (t) => {
  t.snapshot(simulateWave({ waveDelayMilliseconds: 1_500 }));
});

test("a host with a listed executor is maintained, however long the lists omit it", (t) => {
  t.snapshot(simulateWave({ after: (world) => world.unlistHost("tugdesk-1", 15_000) }));
});

test("a host under maintenance that a list omits still counts against the ceiling", (t) => {
  const hideFirst = (world: FleetSimulation) => {
    while (world.getMaintainedHosts(1).length === 0) world.run(25);
    world.unlistHost(world.getMaintainedHosts(1)[0]!, 700);
  };
  t.snapshot(simulateWave({ wave: { ...WAVE, ceiling: 1 }, after: hideFirst }));
});

test("hosts that a newer request adds to a wave are maintained, even after its completion", (t) => {
  const addHosts = (world: FleetSimulation) =>
    world.requestWave({ ...WAVE, hosts: [...SOME_HOSTS, ...OTHER_HOSTS] });
  const runs = [2_000, 20_000].map((milliseconds) =>
    simulateWave({ after: (world) => (world.run(milliseconds), addHosts(world)) })
  );
  t.snapshot(runs);
});

test("a wave is completed without hosts that a newer request removes", (t) => {
  t.snapshot(simulateWave({
    after: (world) => (world.run(100), world.requestWave({ ...WAVE, hosts: ["tugdesk-1"] })),
  }));
});

test("a removed host does not block its wave, and is maintained if it returns", (t) => {
  const leave = (world: FleetSimulation) => world.removeHost("spare-1");
  const back = HOSTS.find(({ name }) => name === "spare-1")!;
  const cases: Record<string, (world: FleetSimulation) => void> = {
    "it does not return": leave,
    "it returns before the wave is completed": (world) => {
      leave(world);
      world.run(2_000);
      world.addHost(back);
    },
    "it returns after the wave was completed": (world) => {
      leave(world);
      world.run(15_000);
      world.addHost(back);
    },
    "it returns under a new owner": (world) => {
      leave(world);
      world.run(15_000);
      world.replaceOwner();
      world.run(1_000);
      world.addHost(back);
    },
  };
  t.snapshot(Object.entries(cases).map(([name, after]) => [name, simulateWave({ after })]));
});

test("a new owner reopens a completed wave whose hosts have changed", (t) => {
  const complete = (world: FleetSimulation) => {
    world.removeHost("spare-1");
    world.run(15_000);
    t.true(world.isCompleted(1));
  };
  const cases: Record<string, (world: FleetSimulation) => void> = {
    "a newer request adds hosts": (world) =>
      world.requestWave({ ...WAVE, hosts: [...SOME_HOSTS, ...OTHER_HOSTS] }),
    "one list omits an added host": (world) => {
      world.requestWave({ ...WAVE, hosts: [...SOME_HOSTS, "spare-2"] });
      world.unlistHost("spare-2", 350);
    },
    "a removed host has returned": (world) =>
      world.addHost(HOSTS.find(({ name }) => name === "spare-1")!),
    "nothing has changed": () => {},
  };
  const results = Object.entries(cases).map(([name, change]) => {
    const after = (
      world: FleetSimulation,
    ) => (complete(world), change(world), world.replaceOwner());
    return [name, simulateWave({ after })];
  });
  t.snapshot(results);
});

test("a new owner adds hosts for a waiting queue within 500 ms", (t) => {
  const world = FleetSimulation.create({
    seed: 3,
    faults: NO_FAULTS,
    configuration: CONFIGURATION,
    hosts: HOSTS,
  });
  world.run(500);
  world.replaceOwner();
  for (let number = 0; number < 20; number += 1) {
    world.submit(`job${number}`, "tugdesk", "", QUERY);
  }
  world.run(500);
  t.is(world.getMoveCount(), SPARE_HOSTS);
});

test("a pool gets replacements for hosts on which no tasks can start", (t) => {
  const events: Record<string, (world: FleetSimulation) => void> = {
    "all of its executors are draining": (world) => {
      for (const id of world.getExecutorIds("tugdesk")) world.drain(id);
    },
    "a zone is evacuated": (world) => world.evacuate("zl-a"),
  };
  const states = Object.entries(events).map(([name, applyTo]) => {
    const world = FleetSimulation.create({
      seed: 5,
      faults: NO_FAULTS,
      configuration: CONFIGURATION,
      hosts: HOSTS,
    });
    world.run(6_000);
    applyTo(world);
    world.run(1_000);
    world.submit("job", "tugdesk", "", createJob({ count: 1 }));
    world.run(6_000);
    return [name, world.getJobState("job"), world.violations];
  });
  t.snapshot(states);
});

test("each check on hosts fails for an owner with falsified input", (t) => {
  const cases: [rule: string, lies: FalsifiedInput, events: string[]][] = [
    [
      "AVAIL",
      {
        job: (job) => ({ ...job, steps: job.steps.map((step) => ({ ...step, mostAway: 0 })) }),
      },
      [],
    ],
    ["ONE", { losesHostOrders: true }, ["none", "none", "owner", "none", "owner", "none", "owner"]],
    ["MIXED", { wave: (wave) => ({ ...wave, hosts: wave.hosts.slice(1) }) }, []],
    ["LIMIT", { wave: (wave) => ({ ...wave, ceiling: 9 }) }, []],
    ["LOST", { entry: (entry) => ({ ...entry, isDraining: true }) }, []],
    [
      "DRAIN",
      { entry: (entry) => ({ ...entry, isDraining: false }) },
      Array<string>(16).fill("drain"),
    ],
  ];
  const seen = cases.map(([rule, input, events]) => {
    const violations = [7, 8, 9].flatMap((seed) =>
      simulate({ seed, faults: NO_FAULTS, events, falsifiedInput: input }).violations
    );
    return [rule, violations.some((line) => line.startsWith(rule))];
  });
  t.deepEqual(seen, cases.map(([rule]) => [rule, true]));
});

// Guards against an acknowledgement for one life of an executor that discards ends of the next one.
test("no task runs again whose end an executor listed after restarts under its id", (t) => {
  const world = simulate({
    seed: 334244642,
    faults: { lostFraction: 0.2, lateFraction: 1, failingFraction: 0 },
    events: ["crash", "crash", "owner", "crash"],
  });
  t.deepEqual(world.violations, []);
});
