import test from "ava";
import fc from "fast-check";
import { allotByDemand, type AllotLoansOptions, allotOnRequest } from "./allot_loans.ts";
import { getDemandLevel } from "./demand_level.ts";
import { findRendezvousMember } from "./rendezvous.ts";

const MEMBERS = ["m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"];

function createDemands(pairs: [demand: number, total: number][]) {
  return pairs.map(([demand, total]) => ({ demand, total }));
}

const options: fc.Arbitrary<AllotLoansOptions> = fc.record({
  capacity: fc.nat({ max: 300 }),
  demands: fc.array(fc.record({ demand: fc.nat({ max: 100 }), total: fc.nat({ max: 40 }) }), {
    minLength: 1,
    maxLength: 11,
  }),
  turn: fc.nat({ max: 100 }),
  rotation: fc.nat({ max: 10 }),
});

test("the whole capacity is allotted, and no more", (t) => {
  fc.assert(
    fc.property(options, (given) => {
      const totals = allotByDemand(given);
      t.is(totals.length, given.demands.length);
      t.is(totals.reduce((sum, total) => sum + total, 0), given.capacity);
      t.true(totals.every((total) => total >= 0));
    }),
    { seed: 4, numRuns: 2_000 },
  );
});

test("no member with demand goes without a permit while another has two", (t) => {
  fc.assert(
    fc.property(options, (given) => {
      const totals = allotByDemand(given);
      const isWaiting = given.demands.some(({ demand }, at) => demand > 0 && totals[at] === 0);
      if (isWaiting) t.true(totals.every((total) => total <= 1));
    }),
    { seed: 5, numRuns: 2_000 },
  );
});

test("allotments of sample demands", (t) => {
  const cases: [name: string, capacity: number, pairs: [number, number][], turn: number][] = [
    ["no demand", 8, [[0, 0], [0, 0], [0, 0]], 0],
    ["one demand above the total", 9, [[7, 3], [0, 3], [1, 3]], 0],
    ["all demands met", 9, [[2, 3], [3, 3], [1, 3]], 0],
    ["demand above capacity", 9, [[20, 3], [10, 3], [1, 3]], 0],
    ["within tolerance", 9, [[20, 5], [10, 3], [1, 1]], 0],
    ["one permit, first turn", 1, [[5, 1], [5, 0], [5, 0]], 0],
    ["one permit, second turn", 1, [[5, 1], [5, 0], [5, 0]], 1],
  ];
  t.snapshot(cases.map(([name, capacity, pairs, turn]) => {
    const given = { capacity, demands: createDemands(pairs), turn, rotation: 0 };
    return `${name}: ${allotByDemand(given).join(" ")}; on request ${
      allotOnRequest(given).join(" ")
    }`;
  }));
});

test("demand is rounded up to levels", (t) => {
  t.snapshot([0, 1, 2, 3, 4, 5, 7, 9, 20, 64, 300, 5_000].map(getDemandLevel));
});

test("removing one of eight members moves only its keys", (t) => {
  const keys = Array.from({ length: 400 }, (_, index) => `t:team-${index}`);
  const remaining = MEMBERS.slice(1);
  const moved = keys.filter((key) =>
    findRendezvousMember(MEMBERS, key) !== findRendezvousMember(remaining, key)
  );
  t.true(moved.every((key) => findRendezvousMember(MEMBERS, key) === "m1"));
  t.snapshot(
    MEMBERS.map((member) =>
      keys.filter((key) => findRendezvousMember(MEMBERS, key) === member).length
    ),
  );
});
