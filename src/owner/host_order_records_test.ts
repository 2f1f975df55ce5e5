import test from "ava";
import { Executor } from "../fleet/executor.ts";
import type { Claim } from "../ownership/ownership_ports.ts";
import { createHostOrderEntry, EarlierHostOrders } from "./host_order_records.ts";
import { createListedExecutor } from "../stand_ins/fleet_samples.ts";

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
  ["ordered by the owner before", 3, 900],
];

/** Creates an executor whose clock is read at 0. */
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
  executor.isFenced = true;
  executor.readClock({ executorTime, receivedAt: 0 });
  return executor;
}

/** Gets after how many milliseconds each host may be ordered again, in steps of 100. */
function getWaits(
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
    while (earlier.isBinding(host, wait, executors)) wait += 100;
    return [host, wait];
  }));
}

test("a new owner leaves alone what was ordered of late, and the rest not at all", (t) => {
  t.snapshot({
    "the owner fell silent": getWaits(PREVIOUS),
    "the owner fell silent after three seconds": getWaits({ ...PREVIOUS, renewal: 10 }),
    "the owner fell silent after a second": getWaits({ ...PREVIOUS, renewal: 3 }),
    "the owner released its claim": getWaits({ ...PREVIOUS, isReleased: true }),
    "there was no owner": getWaits(undefined),
  });
});

test("the clocks of executors tell how long all entry hosts were away", (t) => {
  const reborn = createExecutor("i-2", 900_000);
  reborn.entry = { ...reborn.entry, born: 2_000 };
  const silent = createExecutor("i-1", 900_000);
  silent.isFenced = false;
  t.snapshot({
    "away for a second": getWaits(PREVIOUS, [createExecutor("i-1", 61_050)]),
    "away for five seconds": getWaits(PREVIOUS, [createExecutor("i-1", 65_050)]),
    "one clock started anew": getWaits(PREVIOUS, [reborn]),
    "one executor has not answered yet": getWaits(PREVIOUS, [silent]),
    "the other one has": getWaits(PREVIOUS, [silent, createExecutor("i-2", 13_050)]),
  });
});
