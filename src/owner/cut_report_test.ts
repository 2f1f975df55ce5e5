import test from "ava";
import { Configuration } from "../fleet/configuration.ts";
import { Job } from "../fleet/job.ts";
import type { JobSpecification } from "../fleet/job_specification.ts";
import { RunEnd } from "../fleet/run.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";
import { createOwnerHarness, type OwnerHarness } from "../stand_ins/owner_harness.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { createExecutorEntry } from "./executor_records.ts";
import { OrderOutcome, type ReportedEnd } from "./owner_ports.ts";

const CONFIGURATION = Configuration.create({
  version: 1,
  queues: [createQueue()],
  services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
  customers: [],
  largestBodyBytes: 1,
});
const SPECIFICATION: JobSpecification = {
  text: "",
  steps: [createStepSpecification({ count: 1 })],
  repeats: 0,
  firstAt: 0,
  intervalMilliseconds: 0,
};
const [EXECUTOR, OTHER] = ["i-1", "i-2"].map((id) => createListedExecutor({ id })) as [
  ReturnType<typeof createListedExecutor>,
  ReturnType<typeof createListedExecutor>,
];

/** Reports no running run, and the given ends, of which there may be more. */
function report(
  { owner, advance }: OwnerHarness,
  ended: readonly ReportedEnd[],
  hasAllEnds: boolean,
): void {
  const { id, born } = EXECUTOR;
  const whole = { born, executorTime: 50, running: [], ended, hasAllEnds };
  advance(() =>
    owner.handlePollAnswer(id, Number.MAX_SAFE_INTEGER, {
      outcome: OrderOutcome.Done,
      acknowledged: 0,
      report: whole,
    })
  );
  for (let step = 0; step < 4; step += 1) advance();
}

const OTHER_END = { number: 1, task: "k.0.0.0", run: 1, end: RunEnd.Done, checkpoint: "" };

// Guards against a second run of a task whose end an executor could not list yet.
test("a run that a cut report lacks is not started again before the report is complete", (t) => {
  const getStarts = (next: "done" | "lost") => {
    const harness = createOwnerHarness({
      configuration: CONFIGURATION,
      executors: [EXECUTOR, OTHER],
    });
    const { owner, starts, advance, reportNoRuns } = harness;
    reportNoRuns(EXECUTOR);
    const submission = { id: "j", queue: "tugs", customer: "", specification: SPECIFICATION };
    advance(() => owner.submit(submission, () => {}));
    for (let step = 0; step < 2; step += 1) advance();
    reportNoRuns(OTHER);
    const { executor, task, run } = starts[0]!;
    advance(() => owner.handleStartAnswer(executor.id, task, run, { outcome: OrderOutcome.Done }));
    report(harness, [OTHER_END], false);
    const afterCutReport = starts.length;
    const end = { number: 2, task, run, end: RunEnd.Done, checkpoint: "" };
    report(harness, next === "done" ? [end] : [], true);
    return { afterCutReport, afterWholeReport: starts.length, state: owner.getJobState("j") };
  };
  t.snapshot({ "its end is listed next": getStarts("done"), "it is lost": getStarts("lost") });
});

// Guards against the same after a take-over, when the new owner does not know which runs there were.
test("a new owner starts no task again that a cut report may lack", (t) => {
  const getStarts = (next: "done" | "lost") => {
    const job = Job.create({
      id: "j",
      queue: "tugs",
      customer: "",
      specification: SPECIFICATION,
      acceptedAt: 0,
    });
    const harness = createOwnerHarness({
      configuration: CONFIGURATION,
      executors: [EXECUTOR, OTHER],
      stored: [EXECUTOR, OTHER].map(createExecutorEntry).map(({ key, value }) => [key, value!]),
      jobs: [job],
      inDoubtMilliseconds: 100,
    });
    const { owner, starts, advance, reportNoRuns } = harness;
    reportNoRuns(OTHER);
    report(harness, [OTHER_END], false);
    for (let step = 0; step < 20; step += 1) advance();
    const afterCutReport = starts.length;
    const end = { number: 2, task: "j.0.0.0", run: 1, end: RunEnd.Done, checkpoint: "" };
    report(harness, next === "done" ? [end] : [], true);
    return { afterCutReport, afterWholeReport: starts.length, state: owner.getJobState("j") };
  };
  t.snapshot({ "its end is listed next": getStarts("done"), "it is lost": getStarts("lost") });
});
