import test from "ava";
import { StartBacklog } from "./start_backlog.ts";
import { StartWindow } from "./start_window.ts";

const TASKS_PER_JOB = 16;

interface Load {
  /** How many starts the owner's link carries per second. */
  linkPerSecond: number;
  /** How many tasks the fleet has room for per second. */
  roomPerSecond: number;
  jobsPerSecond: number;
}

/** What callers get in 20 s of a load, counted for the jobs that arrive after the first 5 s. */
interface Outcome {
  accepted: number;
  refused: number;
  /** The longest time from the acceptance of a job to the start of its last task, in milliseconds. */
  longestDelay: number;
}

/** Submits jobs to an owner that starts their tasks in order, as its window and the fleet's room allow. */
function simulate({ linkPerSecond, roomPerSecond, jobsPerSecond }: Load): Outcome {
  const window = StartWindow.create();
  const backlog = StartBacklog.create();
  const waiting: number[] = [];
  const link: { order: number; sentAt: number; acceptedAt: number }[] = [];
  const outcome: Outcome = { accepted: 0, refused: 0, longestDelay: 0 };
  let room = 0;
  for (let now = 0; now < 30_000; now += 10) {
    if (now < 20_000 && now % (1_000 / jobsPerSecond) < 10) {
      const retryAfter = backlog.getRetryAfterSeconds(waiting.length, 0, now);
      if (retryAfter === undefined) {
        waiting.push(...Array<number>(TASKS_PER_JOB).fill(now));
      }
      if (now >= 5_000) outcome[retryAfter === undefined ? "accepted" : "refused"] += 1;
    }
    room = Math.min(roomPerSecond / 20, room + roomPerSecond / 100);
    while (waiting.length > 0 && room >= 1 && window.hasRoom(now)) {
      const acceptedAt = waiting.shift()!;
      link.push({ order: window.recordSent(now), sentAt: now, acceptedAt });
      room -= 1;
    }
    backlog.recordDispatch(waiting.length > 0 && room >= 1, now);
    for (const { order, sentAt, acceptedAt } of link.splice(0, linkPerSecond / 100)) {
      window.recordAnswer(order, now - sentAt, now);
      backlog.recordAnswer(now);
      const isCounted = acceptedAt >= 5_000;
      if (isCounted) outcome.longestDelay = Math.max(outcome.longestDelay, now - acceptedAt);
    }
  }
  return outcome;
}

test("an owner that can't send all starts refuses what would start too late, and no more", (t) => {
  const overload = { linkPerSecond: 100, roomPerSecond: 1_000, jobsPerSecond: 20 };
  const outcomes = {
    "three times what the link carries": simulate(overload),
    "less than the link carries": simulate({ ...overload, jobsPerSecond: 5 }),
    "three times the fleet's room over a fast link": simulate({
      linkPerSecond: 2_000,
      roomPerSecond: 100,
      jobsPerSecond: 20,
    }),
  };
  t.snapshot(outcomes);
  // 15 s over a link that carries 6.25 jobs a second.
  t.true(outcomes["three times what the link carries"].accepted >= 0.9 * 15 * 6.25);
  t.true(outcomes["three times what the link carries"].longestDelay <= 6_000);
  t.is(outcomes["less than the link carries"].refused, 0);
  t.is(outcomes["three times the fleet's room over a fast link"].refused, 0);
});

test("refused callers are told to return when the backlog is done, spread over some seconds", (t) => {
  const backlog = StartBacklog.create();
  for (let now = 0; now <= 5_000; now += 25) {
    backlog.recordDispatch(true, now);
    if (now % 50 === 0) backlog.recordAnswer(now);
  }
  const getSeconds = (waiting: number, spread: number) =>
    backlog.getRetryAfterSeconds(waiting, spread, 5_000);
  t.deepEqual(
    [getSeconds(80, 0), getSeconds(160, 0), getSeconds(160, 0.99), getSeconds(9_000, 0)],
    [undefined, 4, 6, 20],
  );
});
