import test from "ava";
import { StartWindow } from "./start_window.ts";

/** How long a start waits at most in an owner that sends all that it can, in milliseconds. */
interface Outcome {
  longestLatency: number;
  answered: number;
  limit: number;
}

/**
 * Sends as many starts as the window allows for 20 s over a link that carries `perSecond` of them in
 * the order of sending, and counts what is answered.
 */
function simulateLink(perSecond: number, mayExceedWindow = false): Outcome {
  const window = StartWindow.create();
  const queue: { order: number; sentAt: number }[] = [];
  let longestLatency = 0;
  let answered = 0;
  for (let now = 0; now < 20_000; now += 10) {
    for (let count = 0; count < 40; count += 1) {
      if (!mayExceedWindow && !window.hasRoom(now)) break;
      queue.push({ order: window.recordSent(now), sentAt: now });
    }
    for (const { order, sentAt } of queue.splice(0, perSecond / 100)) {
      window.recordAnswer(order, now - sentAt, now);
      answered += 1;
      if (now >= 5_000) longestLatency = Math.max(longestLatency, now - sentAt);
    }
  }
  return { longestLatency, answered, limit: window.getLimit() };
}

test("starts over a slow link are answered soon, and use all that it carries", (t) => {
  const outcomes = [100, 400, 2_000].map((perSecond) => [perSecond, simulateLink(perSecond)]);
  t.snapshot({ outcomes, withoutWindow: simulateLink(100, true).longestLatency });
  for (const [, outcome] of outcomes as [number, Outcome][]) t.true(outcome.longestLatency <= 300);
});

test("orders that are never answered hold up others only for a while", (t) => {
  const window = StartWindow.create();
  for (let order = 0; order < 64; order += 1) window.recordSent(0);
  t.deepEqual([0, 599, 600].map((now) => window.hasRoom(now)), [false, false, true]);
});

test("a burst of late answers reduces the limit once", (t) => {
  const window = StartWindow.create();
  const orders = Array.from({ length: 20 }, () => window.recordSent(0));
  for (const order of orders) window.recordAnswer(order, 1_000, 1_000);
  t.is(window.getLimit(), 44);
});
