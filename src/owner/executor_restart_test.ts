import test from "ava";
import { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { RunEnd } from "../fleet/run.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";
import { createOwnerHarness, type OwnerHarness } from "../stand_ins/owner_harness.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { type ExecutorReport, OrderOutcome, type StartOrder } from "./owner_ports.ts";

const CONFIGURATION = Configuration.create({
  version: 1,
  queues: [createQueue()],
  services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
  customers: [],
  largestBodyBytes: 1,
});
const OTHER = createListedExecutor({ id: "i-2" });
const FIRST = createListedExecutor({ id: "i-1", born: 1_000 });
const NEXT: ExecutorEntry = { ...FIRST, born: 9_000 };
/** A time after any poll that an owner has sent. */
const NOW = Number.MAX_SAFE_INTEGER;

interface Restart extends OwnerHarness {
  /** The start that the restarted executor may have accepted. */
  order: StartOrder;
  /** Reports as one incarnation of the executor: the run is running there, or not. */
  report: (born: number, isRunning: boolean, parts?: Partial<ExecutorReport>) => void;
  /** Gets which executors the task was started on. */
  getStarts: () => string[];
}

/** Starts a task on an executor of which the owner knows the incarnation that is about to end. */
function startTask(): Restart {
  const harness = createOwnerHarness({ configuration: CONFIGURATION, executors: [FIRST] });
  const { owner, starts, advance, reportNoRuns } = harness;
  reportNoRuns(FIRST);
  const specification = {
    text: "",
    steps: [createStepSpecification()],
    repeats: 0,
    firstAt: 0,
    intervalMilliseconds: 0,
  };
  advance(() => owner.submit({ id: "j", queue: "tugs", customer: "", specification }, () => {}));
  for (let step = 0; step < 2; step += 1) advance();
  advance(() => owner.setExecutors([FIRST, OTHER]));
  reportNoRuns(OTHER);
  const order = starts[0]!;
  const { task, run } = order;
  const report: Restart["report"] = (born, isRunning, parts = {}) => {
    const running = isRunning ? [{ task, run, checkpoint: "", percent: 5, usage: 0 }] : [];
    const whole = { born, executorTime: 50, running, ended: [], hasAllEnds: true, ...parts };
    advance(() =>
      owner.handlePollAnswer(FIRST.id, NOW, {
        outcome: OrderOutcome.Done,
        acknowledged: 0,
        report: whole,
      })
    );
    for (let step = 0; step < 4; step += 1) advance();
  };
  const getStarts = () => starts.map(({ executor }) => `${executor.id}/${executor.born}`);
  return { ...harness, order, report, getStarts };
}

/** Answers the start order. */
function accept({ owner, order, advance }: Restart): void {
  advance(() =>
    owner.handleStartAnswer(order.executor.id, order.task, order.run, {
      outcome: OrderOutcome.Done,
    })
  );
}

function describe({ getStarts, stops, owner }: Restart) {
  return { starts: getStarts(), stops: stops.length, state: owner.getJobState("j") };
}

// Guards against two runs of a task that the next life of an executor has accepted under its id.
test("a run that a restarted executor accepted before its new life was known goes on there", (t) => {
  const byList = startTask();
  accept(byList);
  byList.advance(() => byList.owner.setExecutors([NEXT, OTHER]));
  byList.report(NEXT.born, true);
  const byReport = startTask();
  accept(byReport);
  byReport.report(NEXT.born, true);
  byReport.advance(() => byReport.owner.setExecutors([FIRST, OTHER]));
  byReport.report(NEXT.born, true);
  t.snapshot({
    "the list shows the restart": describe(byList),
    "a report shows the restart": describe(byReport),
  });
});

// Guards against a task that waits for good for a run that has ended with its executor.
test("a run that the ended life of an executor has reported starts again at once", (t) => {
  const world = startTask();
  accept(world);
  world.report(FIRST.born, true);
  world.advance(() => world.owner.setExecutors([NEXT, OTHER]));
  world.advance();
  t.snapshot(describe(world));
});

test("a run that neither life of an executor reports starts again", (t) => {
  const world = startTask();
  accept(world);
  world.advance(() => world.owner.setExecutors([NEXT, OTHER]));
  world.report(NEXT.born, false);
  t.snapshot(describe(world));
});

// Guards against a late start in the new life, whose clock its deadline does not bound.
test("an unanswered start is stopped in the next life before its task starts again", (t) => {
  const world = startTask();
  const { owner, order, stops, advance } = world;
  const { executor, task, run } = order;
  const unanswered = { outcome: OrderOutcome.Unanswered };
  advance(() => owner.handleStartAnswer(executor.id, task, run, unanswered));
  const done = { outcome: OrderOutcome.Done };
  advance(() => owner.handleStopAnswer({ executor: FIRST, task, run, fence: 1 }, done));
  advance(() => owner.setExecutors([NEXT, OTHER]));
  world.report(NEXT.born, false, { executorTime: 60_000 });
  const beforeStop = describe(world);
  advance(() => owner.handleStopAnswer(stops.at(-1)!, done));
  world.report(NEXT.born, false, { executorTime: 60_100 });
  t.snapshot({ beforeStop, afterStop: describe(world) });
});

// Guards against an answer of an earlier life that arrives late and ends the present one.
test("a report of an earlier life ends no run of the present one", (t) => {
  const world = startTask();
  world.advance(() => world.owner.setExecutors([NEXT, OTHER]));
  accept(world);
  world.report(NEXT.born, true);
  world.report(FIRST.born, false, {
    ended: [{ number: 1, task: world.order.task, run: 1, end: RunEnd.Failed, checkpoint: "" }],
  });
  t.snapshot(describe(world));
});

// Guards against a start elsewhere while a lease lasts that an order for the earlier life has given.
test("a restarted executor that falls silent is waited for as long as any lease lasts", (t) => {
  const world = startTask();
  accept(world);
  world.advance(() => world.owner.setExecutors([NEXT, OTHER]));
  world.report(NEXT.born, true);
  let silent = 0;
  const unanswered = { outcome: OrderOutcome.Unanswered } as const;
  for (; world.starts.length === 1 && silent < 20_000; silent += 25) {
    world.advance(() => world.owner.handlePollAnswer(FIRST.id, NOW, unanswered));
  }
  t.true(silent >= 10_000 && silent < 11_000, `after ${silent} ms`);
});
