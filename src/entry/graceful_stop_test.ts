import test from "ava";
import FakeTimers from "@sinonjs/fake-timers";
import { stopGracefully } from "./graceful_stop.ts";

interface Play {
  /** When the last request ends; never if undefined. */
  drainedAt: number | undefined;
  /** When the log has the leave; never if undefined. */
  leftAt: number | undefined;
  /** When the second signal comes. */
  signalAt?: number;
}

/** Plays a stop on a paused clock, and gets what was done when. */
async function play(options: Play): Promise<string[]> {
  const clock = FakeTimers.createClock();
  const session: string[] = [];
  const note = (text: string) => void session.push(`${clock.now} ms ${text}`);
  const after = (milliseconds: number | undefined) =>
    new Promise<void>((resolve) => {
      if (milliseconds !== undefined) clock.setTimeout(() => resolve(), milliseconds);
    });
  const second = new AbortController();
  if (options.signalAt !== undefined) clock.setTimeout(() => second.abort(), options.signalAt);
  const drained = after(options.drainedAt);
  let hasEnded = false;
  const stopped = stopGracefully({
    steps: {
      markUnready: () => note("unready"),
      drainRequests: () => {
        note("no more connections");
        return drained;
      },
      logAbortedRequests: () => note("requests cut"),
      publishLeave: () => {
        note("leave");
        return after(options.leftAt);
      },
      handOver: () => {
        note("hand over");
        return Promise.resolve();
      },
      close: () => note("closed"),
    },
    balancerDelayMilliseconds: 5_000,
    drainLimitMilliseconds: 60_000,
    signal: second.signal,
    log: (event, fields) => note([event, ...Object.values(fields ?? {})].join(" ")),
    wait: after,
  }).then(() => hasEnded = true);
  for (let step = 0; step < 1_000 && !hasEnded; step += 1) await clock.tickAsync(100);
  await stopped;
  return session;
}

test("the steps of a stop", async (t) => {
  t.snapshot({
    "drained during the balancer's delay": await play({ drainedAt: 1_000, leftAt: 100 }),
    "drained after a while": await play({ drainedAt: 9_000, leftAt: 100 }),
    "the drain limit passes": await play({ drainedAt: undefined, leftAt: 100 }),
    "a second signal during the delay": await play({
      drainedAt: undefined,
      leftAt: 100,
      signalAt: 2_000,
    }),
    "a second signal while requests run": await play({
      drainedAt: undefined,
      leftAt: 100,
      signalAt: 20_000,
    }),
    "the log is down": await play({ drainedAt: 6_000, leftAt: undefined }),
    "a second signal while the log is down": await play({
      drainedAt: 6_000,
      leftAt: undefined,
      signalAt: 7_000,
    }),
  });
});
