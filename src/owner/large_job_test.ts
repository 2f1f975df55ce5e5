import test from "ava";
import { decode, encode } from "cbor-x";
import { Configuration } from "../fleet/configuration.ts";
import { Job, TaskState } from "../fleet/job.ts";
import type { JobSpecification, StepSpecification } from "../fleet/job_specification.ts";
import { createQueue, JOB_LIMITS, STORE_LIMITS } from "../stand_ins/fleet_fixtures.ts";
import { createOwnerHarness } from "../stand_ins/owner_harness.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { createProgressEntry, readStoredJobs } from "./job_records.ts";

function createSpecification(
  steps: readonly Partial<StepSpecification>[],
  overrides: Partial<JobSpecification> = {},
): JobSpecification {
  return {
    text: "",
    steps: steps.map((step) => createStepSpecification(step)),
    repeats: 0,
    firstAt: 0,
    intervalMilliseconds: 0,
    ...overrides,
  };
}

function createJob(specification: JobSpecification): Job {
  return Job.create({
    id: "00000000000000a1",
    queue: "tugs",
    customer: "",
    specification,
    acceptedAt: 0,
  });
}

// Guards against the progress of a large job that is over the store's limit for a record.
test("the progress of 10,000 tasks fits in a record, whichever of them are done", (t) => {
  const specification = createSpecification([{ count: 10_000 }]);
  const job = createJob(specification);
  job.addOccurrence(0, TaskState.Waiting);
  const tasks = [...job.getTasks()];
  for (const task of tasks.filter(({ index }) => index % 10 !== 0)) {
    task.state = TaskState.Done;
    task.step.completedTaskCount += 1;
  }
  tasks[0]!.failedRuns.add(7);
  tasks[10]!.checkpoint = "c10";
  const entry = createProgressEntry(job, JOB_LIMITS.maximumValueBytes);
  t.true(entry.value!.length < STORE_LIMITS.recordBytes, `${entry.value!.length} bytes`);
  const accepted = { queue: "tugs", customer: "", specification, acceptedAt: 0 };
  const { jobs } = readStoredJobs([
    ["job/00000000000000a1", encode(accepted)],
    [entry.key, entry.value!],
  ]);
  const describe = (from: Job) =>
    [...from.getTasks()].map((task) =>
      `${task.state === TaskState.Done} ${[...task.failedRuns]} ${task.checkpoint}`
    );
  t.deepEqual(describe(jobs[0]!), describe(job));
  t.is(jobs[0]!.occurrences.get(0)![0]!.completedTaskCount, 9_000);
});

test("checkpoints that would make a record too large are left out", (t) => {
  const job = createJob(createSpecification([{ count: 3 }]));
  job.addOccurrence(0, TaskState.Waiting);
  for (const task of job.getTasks()) task.checkpoint = "c".repeat(50);
  const getCheckpoints = (maximumBytes: number) => {
    const { tasks } = decode(createProgressEntry(job, maximumBytes).value!) as { tasks: unknown[] };
    return tasks.length;
  };
  t.deepEqual([getCheckpoints(1_000), getCheckpoints(100)], [3, 0]);
});

// Guards against jobs whose number of tasks ends each owner's process in turn.
test("a job that can't be stored with all of its progress is refused", (t) => {
  const jobs: Record<string, JobSpecification> = {
    "10,000 tasks": createSpecification([{ count: 10_000 }]),
    "500,000 tasks": createSpecification([{ count: 500_000 }]),
    "500,000 tasks in two steps": createSpecification([{ count: 250_000 }, { count: 250_000 }]),
    "1,500 steps": createSpecification(Array.from({ length: 1_500 }, () => ({ count: 1 }))),
    "8,000 steps": createSpecification(Array.from({ length: 8_000 }, () => ({ count: 1 }))),
  };
  t.snapshot(
    Object.fromEntries(
      Object.entries(jobs).map(([name, job]) => [name, JOB_LIMITS.getRefusal(job) ?? "accepted"]),
    ),
  );
});

// Guards against the memory that all occurrences take whose times were missed.
test("occurrences that are due at once are added up to the limit of tasks", (t) => {
  const { owner, advance } = createOwnerHarness({
    configuration: Configuration.create({
      version: 1,
      queues: [createQueue()],
      services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
      customers: [],
      largestBodyBytes: 1,
    }),
    executors: [],
  });
  const specification = createSpecification([{ count: 1_000 }], {
    repeats: 100_000,
    firstAt: -1_000_000,
    intervalMilliseconds: 1,
  });
  advance(() => owner.submit({ id: "j", queue: "tugs", customer: "", specification }, () => {}));
  advance();
  t.is(owner.getSummary()["readySteps"], Math.floor(JOB_LIMITS.maximumTasks / 1_000));
});
