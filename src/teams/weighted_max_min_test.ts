import test from "ava";
import fc from "fast-check";
import { divideMaxMin } from "./weighted_max_min.ts";

const claim = fc.record({
  weight: fc.integer({ min: 1, max: 9 }),
  demand: fc.integer({ min: 0, max: 50 }),
});

test("nothing idles while a team wants more, and no team gets more than it wants", (t) => {
  fc.assert(
    fc.property(fc.nat({ max: 100 }), fc.array(claim, { maxLength: 8 }), (capacity, claims) => {
      const parts = divideMaxMin(capacity, claims);
      const given = parts.reduce((sum, part) => sum + part, 0);
      const wanted = claims.reduce((sum, { demand }) => sum + demand, 0);
      t.true(Math.abs(given - Math.min(capacity, wanted)) < 1e-6);
      t.true(parts.every((part, index) => part <= claims[index]!.demand + 1e-9));
    }),
    { seed: 6, numRuns: 1_000 },
  );
});

test("a team that wants more never has less for its weight than another", (t) => {
  fc.assert(
    fc.property(fc.nat({ max: 100 }), fc.array(claim, { maxLength: 8 }), (capacity, claims) => {
      const parts = divideMaxMin(capacity, claims);
      for (const [index, { weight, demand }] of claims.entries()) {
        if (parts[index]! >= demand - 1e-9) continue;
        const least = parts[index]! / weight;
        t.true(claims.every((other, at) => parts[at]! / other.weight <= least + 1e-6));
      }
    }),
    { seed: 7, numRuns: 1_000 },
  );
});

test("shares of a pool of 64 slots", (t) => {
  const claims = (pairs: [weight: number, demand: number][]) =>
    pairs.map(([weight, demand]) => ({ weight, demand }));
  t.snapshot({
    "all want more": divideMaxMin(64, claims([[1, 99], [2, 99], [5, 99]])),
    "one wants little": divideMaxMin(64, claims([[1, 99], [2, 4], [5, 99]])),
    "enough for all": divideMaxMin(64, claims([[1, 9], [2, 4], [5, 9]])),
    "one is idle": divideMaxMin(64, claims([[1, 99], [2, 0], [5, 99]])),
  });
});
