import test from "ava";
import { Configuration } from "../fleet/configuration.ts";
import { HostState } from "../fleet/host.ts";
import { RunEnd } from "../fleet/run.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";
import { createOwnerHarness } from "../stand_ins/owner_harness.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { OrderOutcome } from "./owner_ports.ts";

const CONFIGURATION = Configuration.create({
  version: 1,
  queues: [createQueue()],
  services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
  customers: [],
  largestBodyBytes: 1,
});

const EXECUTORS = ["i-1", "i-2"].map((id) => createListedExecutor({ id }));
const NO_REPEATS = { text: "", repeats: 0, firstAt: 0, intervalMilliseconds: 0 };
const STEP_MILLISECONDS = 25;
/** The number of the owner's steps before a start is answered. */
const STEPS_BEFORE_ANSWER = 7;

interface Silence {
  /** How long polls of the first executor fail, in milliseconds. */
  milliseconds: number;
  /** Whether the executor stays in the list meanwhile. */
  isListed: boolean;
  isLasting: boolean;
}

/** Gets the executors on which a task starts while the first of them does not answer. */
function getStarts({ milliseconds, isListed, isLasting }: Silence): string[] {
  const { owner, starts, advance, reportNoRuns } = createOwnerHarness({
    configuration: CONFIGURATION,
    executors: EXECUTORS,
  });
  for (const executor of EXECUTORS) reportNoRuns(executor);
  const specification = {
    text: "",
    steps: [createStepSpecification({ isLasting })],
    repeats: 0,
    firstAt: 0,
    intervalMilliseconds: 0,
  };
  advance(() => owner.submit({ id: "j", queue: "tugs", customer: "", specification }, () => {}));
  for (let step = 0; step < 4; step += 1) advance();
  const { executor, task, run } = starts[0]!;
  const other = EXECUTORS.find(({ id }) => id !== executor.id)!;
  // The reports before gave the time of the owner as that of the executor's clock.
  const executorTime = STEPS_BEFORE_ANSWER * STEP_MILLISECONDS;
  owner.handleStartAnswer(executor.id, task, run, { outcome: OrderOutcome.Done, executorTime });
  if (!isListed) advance(() => owner.setExecutors([other]));
  const polledAt = () => Number.MAX_SAFE_INTEGER;
  for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
    advance(() =>
      owner.handlePollAnswer(executor.id, polledAt(), { outcome: OrderOutcome.Unanswered })
    );
  }
  const ended = [{ number: 1, task, run, end: RunEnd.Done, checkpoint: "" }];
  const report = {
    born: executor.born,
    executorTime: milliseconds,
    running: [],
    ended,
    hasAllEnds: true,
  };
  advance(() =>
    owner.handlePollAnswer(executor.id, polledAt(), {
      outcome: OrderOutcome.Done,
      acknowledged: 0,
      report,
    })
  );
  for (let step = 0; step < 4; step += 1) advance();
  return starts.map((start) => start.executor.id === executor.id ? "silent" : "other");
}

test("a task on an executor that is only slow to report its end is not run again", (t) => {
  t.deepEqual(getStarts({ milliseconds: 4_500, isListed: true, isLasting: false }), ["silent"]);
});

test("a task on a silent executor is run again after its lease if the executor is gone or stays silent", (t) => {
  t.snapshot({
    "it left the list": getStarts({ milliseconds: 4_500, isListed: false, isLasting: false }),
    "it is silent for long": getStarts({ milliseconds: 7_000, isListed: true, isLasting: false }),
    "long-running task": getStarts({ milliseconds: 4_500, isListed: true, isLasting: true }),
  });
});

// Guards against a wait for the lease of an incarnation that can't have started.
test("a start that was not answered is given up sooner if the executor's host no longer runs it", (t) => {
  const getDelay = (state: HostState) => {
    const executors = EXECUTORS.map((entry) => ({ ...entry, host: `m-${entry.id}` }));
    const harness = createOwnerHarness({ configuration: CONFIGURATION, executors });
    const { owner, starts, advance, reportNoRuns } = harness;
    for (const executor of executors) reportNoRuns(executor);
    const steps = [createStepSpecification({ isLasting: true })];
    const specification = { ...NO_REPEATS, steps };
    advance(() => owner.submit({ id: "j", queue: "tugs", customer: "", specification }, () => {}));
    for (let step = 0; step < 4; step += 1) advance();
    const { executor, task, run } = starts[0]!;
    const unanswered = { outcome: OrderOutcome.Unanswered } as const;
    const { zone, capacity } = executor;
    const host = { name: executor.host!, pool: "tugdesk", zone, capacity, state, executorId: "" };
    advance(() => {
      owner.handleStartAnswer(executor.id, task, run, unanswered);
      owner.handlePollAnswer(executor.id, Number.MAX_SAFE_INTEGER, unanswered);
    });
    advance(() => owner.setHosts([host], Number.MAX_SAFE_INTEGER));
    let elapsed = 0;
    for (; starts.length === 1 && elapsed < 20_000; elapsed += STEP_MILLISECONDS) advance();
    return elapsed;
  };
  const up = getDelay(HostState.Up);
  t.true(up >= 10_000 && up < 11_000, `${up} ms`);
  for (const state of [HostState.Down, HostState.Moving, HostState.Maintenance]) {
    const milliseconds = getDelay(state);
    t.true(milliseconds >= 2_500 && milliseconds < 3_500, `${state}: ${milliseconds} ms`);
  }
});

// Guards against a task that waits for the lease of a start that no executor has got.
test("a task whose start was not sent starts on another executor at once", (t) => {
  const harness = createOwnerHarness({ configuration: CONFIGURATION, executors: EXECUTORS });
  const { owner, starts, advance, reportNoRuns } = harness;
  for (const executor of EXECUTORS) reportNoRuns(executor);
  const specification = { ...NO_REPEATS, steps: [createStepSpecification()] };
  advance(() => owner.submit({ id: "j", queue: "tugs", customer: "", specification }, () => {}));
  for (let step = 0; step < 4; step += 1) advance();
  const { executor, task, run } = starts[0]!;
  advance(() => owner.handleStartAnswer(executor.id, task, run, { outcome: OrderOutcome.NotSent }));
  t.is(starts.length, 2);
  t.not(starts[1]!.executor.id, executor.id);
});
