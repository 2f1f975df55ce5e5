import test from "ava";
import { RunEnd } from "../../fleet/run.ts";
import { ExecutorModel } from "./executor_model.ts";
import { RunHistory } from "./run_history.ts";

const CAPACITY = { cpu: 1_000, memory: 1_000, accelerators: 0 };
const TASK = "job.0.0.0";
/** The duration of a run, in milliseconds. */
const RUN_MILLISECONDS = 100;

interface World {
  /** Starts the task on an executor. */
  start: (executor: string, run: number, lease?: number) => void;
  /** Lets a time go by, in milliseconds. */
  wait: (milliseconds: number) => void;
  /** Acknowledges the first end of an executor. */
  acknowledge: (executor: string) => void;
  /** Ends an executor. */
  lose: (executor: string) => void;
}

/** Plays events at three executors, and gets the violations that a history finds. */
function findViolations(play: (world: World) => void): string[] {
  let now = 0;
  const history = RunHistory.create(() => now);
  const createModel = (executor: string) =>
    ExecutorModel.create({
      capacity: CAPACITY,
      born: 1,
      startedAt: 0,
      stopMilliseconds: 1,
      startupMilliseconds: 1,
      planRun: () => ({ durationMilliseconds: RUN_MILLISECONDS, end: RunEnd.Done }),
      onStart: (run) => history.addStart(executor, run),
      onEnd: (run, end) => history.addEnd(executor, run, end),
      onAcknowledged: (end) => history.addAcknowledgement(executor, end),
    });
  const models = new Map(["i-1", "i-2", "i-3"].map((id) => [id, createModel(id)]));
  play({
    start: (executor, run, lease = 5_000) =>
      void models.get(executor)!.start(
        { task: TASK, run, deadline: now + lease, fence: 1 },
        now,
      ),
    wait: (milliseconds) => {
      now += milliseconds;
      for (const model of models.values()) model.advance(now);
    },
    acknowledge: (executor) =>
      void models.get(executor)!.poll({ fence: 1, acknowledged: 1, deadline: 0 }, now),
    lose: (executor) => {
      models.delete(executor);
      history.addLoss(executor);
    },
  });
  return history.violations;
}

test("a task is repeated by a second run at the same time or after an acknowledged end", (t) => {
  const cases: Record<string, (world: World) => void> = {
    "two runs at the same time": ({ start, wait }) => {
      start("i-1", 1);
      wait(RUN_MILLISECONDS / 2);
      start("i-2", 2);
    },
    "a start after the acknowledgement": ({ start, wait, acknowledge }) => {
      start("i-1", 1);
      wait(RUN_MILLISECONDS);
      acknowledge("i-1");
      start("i-2", 2);
    },
    "a start before the acknowledgement": ({ start, wait, acknowledge }) => {
      start("i-1", 1);
      wait(RUN_MILLISECONDS);
      start("i-2", 2);
      acknowledge("i-1");
    },
    "an end that is lost, and later one that is acknowledged": (world) => {
      const { start, wait, acknowledge, lose } = world;
      start("i-1", 1);
      wait(RUN_MILLISECONDS);
      lose("i-1");
      start("i-2", 2);
      wait(RUN_MILLISECONDS);
      acknowledge("i-2");
      start("i-3", 3);
    },
  };
  t.snapshot(Object.entries(cases).map(([name, play]) => [name, findViolations(play)]));
});

test("a task is not repeated by a start after an end that was lost or never acknowledged", (t) => {
  const cases: Record<string, (world: World) => void> = {
    "the executor ends": ({ start, wait, lose }) => {
      start("i-1", 1);
      wait(RUN_MILLISECONDS / 2);
      lose("i-1");
      start("i-2", 2);
    },
    "the end is not acknowledged": ({ start, wait }) => {
      start("i-1", 1);
      wait(RUN_MILLISECONDS);
      start("i-2", 2);
    },
    "the lease expires before the acknowledgement": ({ start, wait, acknowledge }) => {
      start("i-1", 1, 2 * RUN_MILLISECONDS);
      wait(RUN_MILLISECONDS);
      wait(2 * RUN_MILLISECONDS);
      start("i-2", 2);
      acknowledge("i-1");
    },
  };
  const found = Object.entries(cases).map(([name, play]) => [name, findViolations(play)]);
  t.deepEqual(found, Object.keys(cases).map((name) => [name, []]));
});
