import test from "ava";
import { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { createOwnerHarness } from "../stand_ins/owner_harness.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { OrderOutcome } from "./owner_ports.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";

const EXECUTOR: ExecutorEntry = createListedExecutor();

const CONFIGURATION = Configuration.create({
  version: 1,
  queues: [
    createQueue({
      advice: { decideMilliseconds: 1, eachMilliseconds: 1, validMilliseconds: 9_000 },
    }),
  ],
  services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
  customers: [],
  largestBodyBytes: 1,
});

test("a rejected ticket is not reused, and new advice is requested", (t) => {
  const { owner, starts, adviceRequests, advance, reportNoRuns } = createOwnerHarness({
    configuration: CONFIGURATION,
    executors: [EXECUTOR],
  });
  reportNoRuns(EXECUTOR);
  const specification = {
    text: "",
    steps: [createStepSpecification()],
    repeats: 0,
    firstAt: 0,
    intervalMilliseconds: 0,
  };
  advance(() => owner.submit({ id: "job", queue: "tugs", customer: "", specification }, () => {}));
  const answerAdvice = (ticket: string) =>
    advance(() =>
      owner.handleAdvice("job.0.0", ["i-1"], { good: [["i-1", ticket]], validMilliseconds: 9_000 })
    );
  advance();
  answerAdvice("first");
  const [start] = starts;
  advance(() =>
    owner.handleStartAnswer("i-1", start!.task, start!.run, { outcome: OrderOutcome.NoTicket })
  );
  advance();
  answerAdvice("second");
  t.deepEqual(starts.map(({ ticket }) => ticket), ["first", "second"]);
  t.deepEqual(adviceRequests, ["job.0.0", "job.0.0"]);
});

// Guards against a start that the next life of an executor rejects.
test("a ticket is not used for the next incarnation of its executor", (t) => {
  const first = createListedExecutor({ born: 1_000 });
  const next = { ...first, born: 9_000 };
  const { owner, starts, adviceRequests, advance, reportNoRuns } = createOwnerHarness({
    configuration: CONFIGURATION,
    executors: [first],
  });
  reportNoRuns(first);
  const specification = {
    text: "",
    steps: [createStepSpecification()],
    repeats: 0,
    firstAt: 0,
    intervalMilliseconds: 0,
  };
  advance(() => owner.submit({ id: "job", queue: "tugs", customer: "", specification }, () => {}));
  advance();
  const good = [["i-1", "of the first incarnation"]] as const;
  advance(() => owner.handleAdvice("job.0.0", ["i-1"], { good, validMilliseconds: 9_000 }));
  const { task, run } = starts[0]!;
  advance(() => owner.handleStartAnswer("i-1", task, run, { outcome: OrderOutcome.Done }));
  advance(() => owner.setExecutors([next]));
  reportNoRuns(next);
  for (let step = 0; step < 4; step += 1) advance();
  t.deepEqual({ starts: starts.length, adviceRequests }, {
    starts: 1,
    adviceRequests: ["job.0.0", "job.0.0"],
  });
});
