import test from "ava";
import { Executor } from "../fleet/executor.ts";
import type { Claim } from "../ownership/ownership_ports.ts";
import { createHostOrderEntry, EarlierHostOrders } from "./host_order_records.ts";
import { createListedExecutor } from "../stand_ins/fleet_fixtures.ts";

const PREVIOUS: Claim = {
  epoch: 4,
  holder: "entry-1-a1",
  hostName: "entry-1",
  address: "10.0.0.1:7000",
  isReleased: false,
  renewal: 50,
};

const ORDERS: [host: string, epoch: number, renewal: number][] = [
  ["ordered just now", 4, 50],
  ["ordered a second ago", 4, 47],
  ["ordered three seconds ago", 4, 40],
  ["ordered six seconds ago", 4, 30],
  ["ordered by an owner before the previous one", 3, 900],
];

/** Creates an executor whose clock was read at time 0. */
function createExecutor(id: string, executorTime: number, host = ""): Executor {
  const executor = Executor.create(
    createListedExecutor({
      id,
      born: 1_000,
      address: "10.0.0.9:80",
      capacity: { cpu: 1_000, memory: 1_000, accelerators: 0 },
      host,
    }),
  );
  executor.hasAcceptedFence = true;
  executor.recordClockReading({ executorTime, receivedAt: 0 });
  return executor;
}

/** Gets how long each host is blocked, in milliseconds, in steps of 100. */
function getBlockedTimes(
  previousClaim: Claim | undefined,
  now: readonly Executor[] = [],
): Record<string, number> {
  const before = [createExecutor("i-1", 60_000), createExecutor("i-2", 8_000)];
  const stored = ORDERS.map(([host, epoch, renewal]): [string, Uint8Array] => {
    const entry = createHostOrderEntry({ host, epoch, renewal, executors: before, now: 50 });
    return [entry.key, entry.value!];
  });
  const earlier = EarlierHostOrders.create({
    stored: [...stored, ["job/a", new Uint8Array()]],
    previousClaim,
    leaseMilliseconds: 3_000,
    startedAt: 0,
  });
  const executors = new Map(now.map((executor) => [executor.id, executor]));
  return Object.fromEntries(ORDERS.map(([host]) => {
    let wait = 0;
    while (earlier.isBlocked(host, wait, executors)) wait += 100;
    return [host, wait];
  }));
}

test("a new owner blocks only hosts with recent orders", (t) => {
  t.snapshot({
    "the owner failed": getBlockedTimes(PREVIOUS),
    "the owner failed after three seconds": getBlockedTimes({ ...PREVIOUS, renewal: 10 }),
    "the owner failed after a second": getBlockedTimes({ ...PREVIOUS, renewal: 3 }),
    "the owner released its claim": getBlockedTimes({ ...PREVIOUS, isReleased: true }),
    "there was no owner": getBlockedTimes(undefined),
  });
});

test("an order's age includes a time in which all entry hosts were down", (t) => {
  const restarted = createExecutor("i-2", 900_000);
  restarted.entry = { ...restarted.entry, born: 2_000 };
  const unanswered = createExecutor("i-1", 900_000);
  unanswered.hasAcceptedFence = false;
  t.snapshot({
    "down for a second": getBlockedTimes(PREVIOUS, [createExecutor("i-1", 61_050)]),
    "down for five seconds": getBlockedTimes(PREVIOUS, [createExecutor("i-1", 65_050)]),
    "one executor restarted": getBlockedTimes(PREVIOUS, [restarted]),
    "one executor has not answered yet": getBlockedTimes(PREVIOUS, [unanswered]),
    "the other executor has answered": getBlockedTimes(PREVIOUS, [
      unanswered,
      createExecutor("i-2", 13_050),
    ]),
  });
});
