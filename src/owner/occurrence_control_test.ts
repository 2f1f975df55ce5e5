import test from "ava";
import { Configuration } from "../fleet/configuration.ts";
import type { JobSpecification, StepSpecification } from "../fleet/job_specification.ts";
import { ExecutorFixture } from "../stand_ins/executor_fixture.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";
import {
  createOwnerHarness,
  type OwnerHarness,
  type OwnerHarnessOptions,
} from "../stand_ins/owner_harness.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { readStoredJobs } from "./job_records.ts";

const EXECUTOR = createListedExecutor();
const CONFIGURATION = Configuration.create({
  version: 1,
  queues: [createQueue()],
  services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
  customers: [],
  largestBodyBytes: 1,
});
const BYTES_PER_MEGABYTE = 1_048_576;
/** A task takes more than this on the heap, in bytes. */
const LEAST_TASK_BYTES = 400;
/** How long the starts of an earlier owner are in doubt, in milliseconds. */
const IN_DOUBT_MILLISECONDS = 6_695;

/** Creates a job whose occurrences are all due. */
function createRepeating(repeats: number, step: Partial<StepSpecification> = {}): JobSpecification {
  return {
    text: "",
    steps: [createStepSpecification(step)],
    repeats,
    firstAt: -1_000_000,
    intervalMilliseconds: 1,
  };
}

function createOwner(
  maximumJobBytes: number,
  earlier?: OwnerHarness,
  options: Partial<OwnerHarnessOptions> = {},
): OwnerHarness {
  const stored = [...earlier?.journal ?? []];
  return createOwnerHarness({
    configuration: CONFIGURATION,
    executors: [EXECUTOR],
    maximumJobBytes,
    stored,
    jobs: readStoredJobs(stored).jobs,
    inDoubtMilliseconds: earlier === undefined ? 0 : IN_DOUBT_MILLISECONDS,
    ...options,
  });
}

function submit(
  { owner }: OwnerHarness,
  id: string,
  specification: JobSpecification,
  customer = "",
): void {
  owner.submit({ id, queue: "tugs", customer, specification }, () => {});
}

function getJobId(number: number): string {
  return String(number).padStart(16, "0");
}

// Guards against the memory that the due occurrences of several jobs take together.
test("the due occurrences of many repeating jobs stay within the memory for jobs", (t) => {
  const maximumBytes = 4 * BYTES_PER_MEGABYTE;
  const harness = createOwner(maximumBytes);
  for (let number = 0; number < 12; number += 1) {
    harness.advance(() => submit(harness, getJobId(number), createRepeating(28_000)));
  }
  for (let step = 0; step < 3; step += 1) harness.advance();
  const { readySteps } = harness.owner.getSummary();
  t.true(readySteps! * LEAST_TASK_BYTES <= maximumBytes, `${readySteps} tasks wait`);
  t.true(harness.owner.getJobMemory().getBytes() <= maximumBytes);
});

// Guards against a later owner that adds all due occurrences of the stored jobs.
test("a take-over keeps the due occurrences of the stored jobs within the memory for jobs", (t) => {
  const maximumBytes = 4 * BYTES_PER_MEGABYTE;
  const first = createOwner(Infinity);
  for (let number = 0; number < 12; number += 1) {
    submit(first, getJobId(number), createRepeating(28_000));
  }
  const next = createOwner(maximumBytes, first);
  const { readySteps } = next.owner.getSummary();
  t.true(readySteps! * LEAST_TASK_BYTES <= maximumBytes, `${readySteps} tasks wait`);
});

// Guards against jobs that were accepted with more memory than the present owner has.
test("an owner with less memory holds the jobs of an earlier one in turn, and executes all", (t) => {
  const maximumBytes = BYTES_PER_MEGABYTE;
  const first = createOwner(Infinity);
  const jobs = 40;
  for (let number = 0; number < jobs; number += 1) {
    const specification = {
      ...createRepeating(0, { count: 300, demand: { cpu: 1, memory: 1, accelerators: 0 } }),
    };
    submit(first, getJobId(number), specification, `customer-${number % 2}`);
  }
  const next = createOwner(maximumBytes, first);
  const held = next.owner.getSummary()["heldOccurrenceBytes"]!;
  t.true(held <= maximumBytes + 300 * 1_000, `${held} bytes`);
  const executor = ExecutorFixture.create(EXECUTOR);
  executor.finish(next);
  t.is(executor.started.length, jobs * 300);
  t.is(new Set(executor.started).size, jobs * 300);
});

// Guards against occurrences that are dropped, or added twice, since they waited for memory.
test("each occurrence that waits for memory is executed once, also across a take-over", (t) => {
  const repeats = 300;
  const maximumBytes = 200_000;
  const first = createOwner(maximumBytes);
  const executor = ExecutorFixture.create(EXECUTOR);
  executor.advance(first);
  const demand = { cpu: 400, memory: 1, accelerators: 0 };
  for (let number = 0; number < 3; number += 1) {
    submit(first, getJobId(number), createRepeating(repeats, { demand }));
  }
  for (let step = 0; step < 12; step += 1) executor.advance(first);
  const startedBefore = executor.started.length;
  const next = createOwner(maximumBytes, first);
  executor.takeOver();
  executor.finish(next);
  t.true(startedBefore > 20 && startedBefore < 500, `${startedBefore} tasks before`);
  t.is(new Set(executor.started).size, 3 * repeats);
  t.is(executor.started.length, 3 * repeats);
  const states = [0, 1, 2].map((number) => next.owner.getJobState(getJobId(number)));
  t.deepEqual(states, ["completed", "completed", "completed"]);
});

// Guards against ordinary jobs that wait for a backlog of due occurrences.
test("a job that is submitted beside a backlog of due occurrences begins before it", (t) => {
  const harness = createOwner(4 * BYTES_PER_MEGABYTE);
  const executor = ExecutorFixture.create(EXECUTOR);
  executor.advance(harness);
  for (let number = 0; number < 12; number += 1) {
    submit(harness, getJobId(number), createRepeating(28_000));
  }
  for (let step = 0; step < 4; step += 1) executor.advance(harness);
  t.true(harness.owner.getSummary()["delayedJobs"]! > 0);
  t.true(harness.owner.getJobMemory().hasRoomForJob({ queue: "tugs", customer: "" }));
  const before = executor.started.length;
  submit(harness, getJobId(99), { ...createRepeating(0) });
  for (let step = 0; step < 4; step += 1) executor.advance(harness);
  const position = executor.started.slice(before).findIndex((task) =>
    task.startsWith(getJobId(99))
  );
  t.true(position >= 0 && position < 40, `start ${position}`);
});

// Guards against jobs that are too late for their objective and wait for all of a longer backlog.
for (const ordersBacklog of [false, true]) {
  const ranking = ordersBacklog ? "with an ordered backlog" : "by urgency";
  test(`a late job begins before further occurrences of others, ${ranking}`, (t) => {
    const harness = createOwner(4 * BYTES_PER_MEGABYTE, undefined, {
      configuration: Configuration.create({
        version: 1,
        queues: [createQueue({ stretch: 1, objectiveMilliseconds: 0 })],
        services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
        customers: [],
        largestBodyBytes: 1,
      }),
      features: { ordersBacklog, reservesRoom: false, anticipatesDemand: false },
    });
    const executor = ExecutorFixture.create(EXECUTOR);
    executor.advance(harness);
    for (let number = 0; number < 12; number += 1) {
      submit(harness, getJobId(number), createRepeating(28_000));
    }
    submit(harness, getJobId(99), createRepeating(0));
    // The tasks that run take longer than the objective of the job.
    for (let step = 0; step < 100; step += 1) harness.advance();
    for (let step = 0; step < 20; step += 1) executor.advance(harness);
    const position = executor.started.findIndex((task) => task.startsWith(getJobId(99)));
    t.true(position >= 0 && position < 40, `start ${position} of ${executor.started.length}`);
  });
}

// Guards against jobs beyond a customer's fair share that wait for the whole backlog of one within it.
test("a late job beyond the fair share begins before further occurrences of one within it", (t) => {
  const customer = "mine-office";
  const harness = createOwner(4 * BYTES_PER_MEGABYTE, undefined, {
    configuration: Configuration.create({
      version: 1,
      queues: [createQueue()],
      services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
      customers: [{
        name: customer,
        keys: [],
        weight: 1,
        ceiling: { cpu: 0, memory: 0, accelerators: 0 },
      }],
      largestBodyBytes: 1,
    }),
  });
  const executor = ExecutorFixture.create(EXECUTOR);
  executor.advance(harness);
  // The first job uses up what the customer may submit within its share for a second.
  submit(harness, getJobId(1), createRepeating(28_000), customer);
  submit(harness, getJobId(99), createRepeating(0), customer);
  // The tasks that run take longer than the objective of the job.
  for (let step = 0; step < 100; step += 1) harness.advance();
  for (let step = 0; step < 20; step += 1) executor.advance(harness);
  const position = executor.started.findIndex((task) => task.startsWith(getJobId(99)));
  t.true(position >= 0 && position < 40, `start ${position} of ${executor.started.length}`);
});

// Guards against a customer that takes all memory for due occurrences.
test("jobs of two customers share the memory for due occurrences", (t) => {
  const harness = createOwner(4 * BYTES_PER_MEGABYTE);
  submit(harness, getJobId(1), createRepeating(28_000), "first");
  submit(harness, getJobId(2), createRepeating(28_000), "first");
  harness.advance();
  const one = harness.owner.getSummary()["readySteps"]!;
  submit(harness, getJobId(3), createRepeating(28_000), "second");
  harness.advance();
  const both = harness.owner.getSummary()["readySteps"]!;
  t.true(both - one > one / 4, `${one} of the first customer, ${both - one} of the second`);
});

// Guards against a job whose backlog lets only one occurrence at a time of later jobs run.
test("jobs of one customer share the memory for due occurrences", (t) => {
  const harness = createOwner(4 * BYTES_PER_MEGABYTE);
  const executor = ExecutorFixture.create(EXECUTOR);
  executor.advance(harness);
  for (let number = 0; number < 3; number += 1) {
    submit(harness, getJobId(number), createRepeating(2_000));
    harness.advance();
  }
  for (let step = 0; step < 100; step += 1) executor.advance(harness);
  const counts = [0, 1, 2].map((number) =>
    executor.started.filter((task) => task.startsWith(getJobId(number))).length
  );
  t.true(Math.min(...counts) > Math.max(...counts) / 2, `${counts.join(", ")} starts`);
});

// Guards against jobs that hold little until a time at which all of them are due.
test("room for one occurrence of each job is reserved until the job has ended", (t) => {
  const maximumBytes = BYTES_PER_MEGABYTE;
  const harness = createOwner(maximumBytes);
  const holder = { queue: "tugs", customer: "" };
  let accepted = 0;
  while (accepted < 10_000 && harness.owner.getJobMemory().hasRoomForJob(holder)) {
    submit(harness, getJobId(accepted), { ...createRepeating(2, { count: 100 }), firstAt: 20_000 });
    accepted += 1;
    if (accepted % 10 === 0) { for (let step = 0; step < 210; step += 1) harness.advance(); }
  }
  t.is(harness.owner.getSummary()["readySteps"], 0);
  t.true(accepted * 100 * LEAST_TASK_BYTES <= maximumBytes * 1.1, `${accepted} jobs`);
});
