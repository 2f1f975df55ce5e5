import test from "ava";
import FakeTimers from "@sinonjs/fake-timers";
import { stopGracefully } from "./graceful_stop.ts";

interface Scenario {
  /** The time at which the last request ends; never if undefined. */
  drainedAt: number | undefined;
  /** The time that the record log needs to accept the leave; never if undefined. */
  leftAt: number | undefined;
  /** The time at which the second signal arrives. */
  signalAt?: number;
}

/** Runs a stop on a fake clock and returns its steps with their times. */
async function runScenario(options: Scenario): Promise<string[]> {
  const clock = FakeTimers.createClock();
  const steps: string[] = [];
  const record = (text: string) => void steps.push(`${clock.now} ms ${text}`);
  const after = (milliseconds: number | undefined) =>
    new Promise<void>((resolve) => {
      if (milliseconds !== undefined) clock.setTimeout(() => resolve(), milliseconds);
    });
  const secondSignal = new AbortController();
  if (options.signalAt !== undefined) {
    clock.setTimeout(() => secondSignal.abort(), options.signalAt);
  }
  const drained = after(options.drainedAt);
  let hasEnded = false;
  const stopped = stopGracefully({
    steps: {
      markUnready: () => record("unready"),
      drainRequests: () => {
        record("no more connections");
        return drained;
      },
      logAbortedRequests: () => record("requests aborted"),
      publishLeave: () => {
        record("leave");
        return after(options.leftAt);
      },
      handOver: () => {
        record("hand over");
        return Promise.resolve();
      },
      close: () => record("closed"),
    },
    balancerDelayMilliseconds: 5_000,
    drainLimitMilliseconds: 60_000,
    signal: secondSignal.signal,
    log: (event, fields) => record([event, ...Object.values(fields ?? {})].join(" ")),
    wait: after,
  }).then(() => hasEnded = true);
  for (let step = 0; step < 1_000 && !hasEnded; step += 1) await clock.tickAsync(100);
  await stopped;
  return steps;
}

test("the steps of a graceful stop", async (t) => {
  t.snapshot({
    "drained during the balancer's delay": await runScenario({ drainedAt: 1_000, leftAt: 100 }),
    "drained after the balancer's delay": await runScenario({ drainedAt: 9_000, leftAt: 100 }),
    "the drain limit passes": await runScenario({ drainedAt: undefined, leftAt: 100 }),
    "a second signal during the delay": await runScenario({
      drainedAt: undefined,
      leftAt: 100,
      signalAt: 2_000,
    }),
    "a second signal while requests run": await runScenario({
      drainedAt: undefined,
      leftAt: 100,
      signalAt: 20_000,
    }),
    "the record log is unavailable": await runScenario({ drainedAt: 6_000, leftAt: undefined }),
    "a second signal while the record log is unavailable": await runScenario({
      drainedAt: 6_000,
      leftAt: undefined,
      signalAt: 7_000,
    }),
  });
});
