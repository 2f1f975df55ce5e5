import test from "ava";
import { Configuration } from "../fleet/configuration.ts";
import { ExecutorFixture } from "../stand_ins/executor_fixture.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";
import { createOwnerHarness } from "../stand_ins/owner_harness.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";

const CAPACITY = { cpu: 100_000, memory: 100_000, accelerators: 0 };
const STEPS = 100;
/** The number of tasks up to which the done tasks of a step are stored by name. */
const TASKS_PER_STEP = 256;
const OUTAGE_STEPS = 150;
const MAXIMUM_PENDING_BYTES = 8 * 1_048_576;

// Guards against the memory of all the progress that is written while the store does not answer.
test("the progress that waits for the store is bounded, and stored once the store is back", (t) => {
  const executor = createListedExecutor({ capacity: CAPACITY });
  let isStoreUp = true;
  const harness = createOwnerHarness({
    configuration: Configuration.create({
      version: 1,
      queues: [createQueue()],
      services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
      customers: [],
      largestBodyBytes: 1,
    }),
    executors: [executor],
    isStoreUp: () => isStoreUp,
  });
  const fixture = ExecutorFixture.create(executor);
  fixture.advance(harness);
  const step = createStepSpecification({
    count: TASKS_PER_STEP,
    demand: { cpu: 1_000, memory: 1, accelerators: 0 },
  });
  harness.owner.submit({
    id: "00000000000000a1",
    queue: "tugs",
    customer: "",
    specification: {
      text: "",
      steps: Array.from({ length: STEPS }, () => step),
      repeats: 0,
      firstAt: 0,
      intervalMilliseconds: 0,
    },
  }, () => {});
  fixture.advance(harness);
  isStoreUp = false;
  let mostBytes = 0;
  for (let count = 0; count < OUTAGE_STEPS; count += 1) {
    fixture.advance(harness);
    mostBytes = Math.max(mostBytes, harness.getPendingBytes());
  }
  t.true(fixture.started.length > STEPS * TASKS_PER_STEP / 4, `${fixture.started.length} starts`);
  t.true(mostBytes <= MAXIMUM_PENDING_BYTES, `${mostBytes} bytes`);
  isStoreUp = true;
  fixture.finish(harness);
  t.is(fixture.started.length, STEPS * TASKS_PER_STEP);
  t.is(harness.owner.getJobState("00000000000000a1"), "completed");
});
