import test from "ava";
import fc from "fast-check";
import type { ConfigurationData } from "../fleet/configuration.ts";
import { type Host, HostState } from "../fleet/host.ts";
import type { JobSpecification, StepSpecification } from "../fleet/job_specification.ts";
import { createStepSpecification } from "../stand_ins/step_samples.ts";
import { getRunOptions } from "../tests/run_options.ts";
import { FleetWorld } from "../platform/stand_in/fleet_world.ts";
import type { WorldFaults, WorldLies } from "../platform/stand_in/world_options.ts";
import { createQueue } from "../stand_ins/fleet_samples.ts";

const NO_FAULTS: WorldFaults = { lostPart: 0, latePart: 0, failingPart: 0 };
const SERVICES = ["tugdesk", "berthbook"];
const HOSTS_EACH = 4;
/** How long jobs come before each stretch, while things go wrong, in turns. */
const TROUBLED_TURNS = 8;
/** How long a stretch is in which nothing goes wrong, in turns. */
const CALM_TURNS = 44;
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
  Array.from({ length: HOSTS_EACH }, (_, number) => ({
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
const LASTING = createJob([{ count: 4, isLasting: true, mostAway: 1, mostPerExecutor: 2 }]);
const BOUNDLESS = createJob([{ isLasting: true }]);

/** What goes wrong before one calm stretch. */
interface Trouble {
  faults: WorldFaults;
  /** Things that happen, every half second. */
  happenings: readonly string[];
}

interface Scenario {
  seed: number;
  troubles: readonly Trouble[];
  lies?: WorldLies;
}

/** Plays troubles that are each followed by a calm stretch, with few jobs all the while. */
function play({ seed, troubles, lies }: Scenario): FleetWorld {
  const world = FleetWorld.create({
    seed,
    faults: NO_FAULTS,
    configuration: CONFIGURATION,
    hosts: HOSTS,
    lingerMilliseconds: 3_000,
    ...(lies === undefined ? {} : { lies }),
  });
  world.run(500);
  for (const service of SERVICES) {
    world.submit(`lasting-${service}`, service, "", LASTING);
    world.submit(`boundless-${service}`, service, "quay", BOUNDLESS);
  }
  troubles.forEach(({ faults, happenings }, number) => {
    world.setFaults(faults);
    for (let turn = 0; turn < TROUBLED_TURNS + CALM_TURNS; turn += 1) {
      if (turn === TROUBLED_TURNS) world.endFaults();
      if (turn % 2 === 0) apply(world, happenings[turn / 2], number * 8 + turn);
      const isBusy = turn < TROUBLED_TURNS || turn % 4 === 0;
      const job = JOBS[turn % JOBS.length]!;
      const service = SERVICES[turn % 8 < 6 ? 0 : 1]!;
      const customer = turn % 3 === 0 ? "quay" : "";
      if (isBusy) world.submit(`job${number}-${turn}`, service, customer, job);
      world.run(TURN_MILLISECONDS);
    }
  });
  world.checkKnown();
  return world;
}

function apply(world: FleetWorld, happening: string | undefined, turn: number): void {
  const ids = world.getExecutorIds();
  const id = ids[turn % ids.length] ?? "";
  switch (happening) {
    case "owner":
      return world.replaceOwner();
    case "crash":
      return world.crash(id);
    case "drain":
      return world.drain(id);
    case "hide":
      return world.hide(ids.filter((_, index) => index % 2 === turn % 4 / 2), 25 * (1 + turn % 8));
    case "wave": {
      const hosts = HOSTS.filter((_, index) => index % 3 !== 0).map(({ name }) => name);
      return world.askWave({ number: 1, hosts, ceiling: 3, durationMilliseconds: 20_000 });
    }
  }
}

test("no task that could run stays unstarted in a calm stretch, in random runs", (t) => {
  const happening = fc.constantFrom("none", "none", "owner", "crash", "drain", "hide", "wave");
  const trouble = fc.record({
    faults: fc.record({
      lostPart: fc.constantFrom(0, 0.05, 0.2, 0.4),
      latePart: fc.constantFrom(0, 0, 0.1),
      failingPart: fc.constantFrom(0, 0.05, 0.2),
      delayMilliseconds: fc.constantFrom(0, 300, 900),
    }),
    happenings: fc.array(happening, { minLength: 4, maxLength: 4 }),
  });
  const scenarios = fc.record({
    seed: fc.integer({ min: 1, max: 2 ** 30 }),
    troubles: fc.array(trouble, { minLength: 3, maxLength: 3 }),
  });
  let started = 0;
  fc.assert(
    fc.property(scenarios, (scenario) => {
      const world = play(scenario);
      started += world.counts["started"] ?? 0;
      if (world.violations.length > 0) throw new Error(world.violations.join("; "));
    }),
    { ...getRunOptions({ seed: 20261204, numRuns: 60 }), includeErrorInReport: true },
  );
  t.true(started > 3_000, `only ${started} starts`);
});

test("the check of unstarted tasks fails on an owner that is told falsely", (t) => {
  const cases: Record<string, WorldLies> = {
    "all executors leave": { entry: (entry) => ({ ...entry, isDraining: true }) },
    "a customer may have next to nothing running": {
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
  const seen = Object.entries(cases).map(([name, lies]) => {
    const world = play({ seed: 7, troubles: [{ faults: NO_FAULTS, happenings: [] }], lies });
    const lines = world.violations.filter((line) => line.includes("could run and does not"));
    return [name, [...new Set(lines.map((line) => line.replace(/\d.*$/, "")))]];
  });
  t.snapshot(Object.fromEntries(seen));
});
