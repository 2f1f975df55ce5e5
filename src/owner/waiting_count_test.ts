import test from "ava";
import type { ConfigurationData } from "../fleet/configuration.ts";
import type { JobSpecification } from "../fleet/job_specification.ts";
import { FleetSimulation } from "../platform/stand_in/fleet_simulation.ts";
import type { SimulationFaults } from "../platform/stand_in/simulation_options.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";

const CONFIGURATION: ConfigurationData = {
  version: 1,
  queues: [
    createQueue({ name: "quotes", host: "quotes.example", service: "pricing", attemptLimit: 2 }),
  ],
  services: [{ name: "pricing", isGuarded: false, isSpare: false }],
  customers: [],
  largestBodyBytes: 10_000,
};

const JOB: JobSpecification = {
  text: "quote",
  steps: [createStepSpecification({
    count: 1,
    demand: { cpu: 1_000, memory: 1_000, accelerators: 0 },
    estimatedMilliseconds: 20_000,
  })],
  repeats: 0,
  firstAt: 0,
  intervalMilliseconds: 0,
};

const NO_FAULTS: SimulationFaults = { lostFraction: 0, lateFraction: 0, failingFraction: 0 };

/** Creates a simulation whose faults start once the owner has polled its executors. */
function createWorld(faults: Partial<SimulationFaults>): FleetSimulation {
  const world = FleetSimulation.create({
    seed: 5,
    faults: NO_FAULTS,
    configuration: CONFIGURATION,
    executors: ["i-1", "i-2"].map((id) =>
      createListedExecutor({
        id,
        born: 1_000,
        service: "pricing",
        address: `${id}:80`,
        labels: ["a"],
      })
    ),
  });
  world.run(200);
  world.setFaults({ ...NO_FAULTS, ...faults });
  return world;
}

/** Submits four jobs, and returns the answers to callers after each of several delays. */
function observeJobs(world: FleetSimulation) {
  const jobs = ["q1", "q2", "q3", "q4"];
  for (const id of jobs) world.submit(id, "quotes", "", JOB);
  return [100, 1_000, 5_000].map((milliseconds) => {
    world.run(milliseconds);
    return {
      at: world.getNow(),
      starts: world.eventCounts["started"] ?? 0,
      waiting: world.getWaitingCount("quotes"),
      states: jobs.map((id) => world.getJobState(id)),
    };
  });
}

test("jobs whose starts were all refused still count as waiting", (t) => {
  t.snapshot(observeJobs(createWorld({ refusedFraction: 1 })));
});

test("jobs whose starts were neither answered nor executed still count as waiting", (t) => {
  t.snapshot(observeJobs(createWorld({ lostFraction: 1, lateFraction: 1 })));
});

test("jobs that an executor has started no longer count as waiting", (t) => {
  t.snapshot(observeJobs(createWorld({})));
});

test("the count and the state of a job agree before its cancellation is stored", (t) => {
  const world = createWorld({ refusedFraction: 1 });
  world.submit("q1", "quotes", "", JOB);
  world.run(1_000);
  world.cancel("q1");
  const observe = () => ({
    waiting: world.getWaitingCount("quotes"),
    state: world.getJobState("q1"),
  });
  const before = observe();
  world.run(1_000);
  t.snapshot([before, observe()]);
});
