import test from "ava";
import type { ConfigurationData } from "../fleet/configuration.ts";
import { type Host, HostState } from "../fleet/host.ts";
import type { JobSpecification, StepSpecification } from "../fleet/job_specification.ts";
import { FleetSimulation } from "../platform/stand_in/fleet_simulation.ts";
import { createQueue } from "../stand_ins/fleet_fixtures.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";

/** The hosts of each pool. */
const POOL_SIZES: Readonly<Record<string, number>> = { tugdesk: 8, berthbook: 2, spare: 0 };
const SMALL_POOL_HOSTS = ["berthbook-0", "berthbook-1"];
/** How many small jobs arrive at the large pool every 100 ms: several times what it can run. */
const JOBS_PER_TURN = 3;
const TURN_MILLISECONDS = 100;
const TURNS = 240;

const CONFIGURATION: ConfigurationData = {
  version: 1,
  queues: ["tugdesk", "berthbook"].map((service) =>
    createQueue({ name: service, host: `${service}.example`, service })
  ),
  services: Object.keys(POOL_SIZES).map((name) => ({
    name,
    isGuarded: false,
    isSpare: name === "spare",
  })),
  customers: [],
  largestBodyBytes: 10_000,
};

const HOSTS: Host[] = Object.entries(POOL_SIZES).flatMap(([pool, size]) =>
  Array.from({ length: size }, (_, number) => ({
    name: `${pool}-${number}`,
    pool,
    state: HostState.Up,
    zone: number % 2 === 0 ? "zl-a" : "zl-b",
    capacity: { cpu: 8_000, memory: 64_000, accelerators: 0 },
    executorId: "",
  }))
);

function createJob(step: Partial<StepSpecification>): JobSpecification {
  const steps = [createStepSpecification(step)];
  return { text: "", steps, repeats: 0, firstAt: 0, intervalMilliseconds: 0 };
}

const LONG_RUNNING = createJob({ count: 4, isLasting: true, mostAway: 1 });
const QUERY = createJob({ count: 8 });

/** Starts long-running tasks in the small pool, and applies an event while the large pool is overloaded. */
function simulateOverload(applyTo: (world: FleetSimulation) => void): FleetSimulation {
  const world = FleetSimulation.create({
    seed: 5,
    faults: { lostFraction: 0, lateFraction: 0, failingFraction: 0 },
    configuration: CONFIGURATION,
    hosts: HOSTS,
  });
  world.run(500);
  world.submit("lasting", "berthbook", "", LONG_RUNNING);
  world.run(3_000);
  for (let turn = 0; turn < TURNS; turn += 1) {
    for (let number = 0; number < JOBS_PER_TURN; number += 1) {
      world.submit(`query-${turn}-${number}`, "tugdesk", "", QUERY);
    }
    if (turn === 10) applyTo(world);
    world.run(TURN_MILLISECONDS);
  }
  return world;
}

test("long-running tasks keep a host while a wave takes all hosts of their pool", (t) => {
  const world = simulateOverload((fleet) =>
    fleet.requestWave({
      number: 1,
      hosts: SMALL_POOL_HOSTS,
      ceiling: 4,
      durationMilliseconds: 20_000,
    })
  );
  t.deepEqual([world.violations, world.isCompleted(1)], [[], true]);
});

test("a pool whose executors drain gets hosts before a pool with a larger backlog", (t) => {
  const world = simulateOverload((fleet) => {
    for (const id of fleet.getExecutorIds("berthbook")) fleet.drain(id);
  });
  t.deepEqual(world.violations, []);
});
