import test from "ava";
import fc from "fast-check";
import { divideMaxMin } from "./weighted_max_min.ts";

const weightedDemand = fc.record({
  weight: fc.integer({ min: 1, max: 9 }),
  demand: fc.integer({ min: 0, max: 50 }),
});

test("capacity stays unused only if all demands are met, and no part exceeds its demand", (t) => {
  fc.assert(
    fc.property(
      fc.nat({ max: 100 }),
      fc.array(weightedDemand, { maxLength: 8 }),
      (capacity, weightedDemands) => {
        const parts = divideMaxMin(capacity, weightedDemands);
        const allocated = parts.reduce((sum, part) => sum + part, 0);
        const demanded = weightedDemands.reduce((sum, { demand }) => sum + demand, 0);
        t.true(Math.abs(allocated - Math.min(capacity, demanded)) < 1e-6);
        t.true(parts.every((part, index) => part <= weightedDemands[index]!.demand + 1e-9));
      },
    ),
    { seed: 6, numRuns: 1_000 },
  );
});

test("a team with unmet demand never gets less per weight than another", (t) => {
  fc.assert(
    fc.property(
      fc.nat({ max: 100 }),
      fc.array(weightedDemand, { maxLength: 8 }),
      (capacity, weightedDemands) => {
        const parts = divideMaxMin(capacity, weightedDemands);
        for (const [index, { weight, demand }] of weightedDemands.entries()) {
          if (parts[index]! >= demand - 1e-9) continue;
          const perWeight = parts[index]! / weight;
          t.true(
            weightedDemands.every((other, position) =>
              parts[position]! / other.weight <= perWeight + 1e-6
            ),
          );
        }
      },
    ),
    { seed: 7, numRuns: 1_000 },
  );
});

test("shares of a pool of 64 slots", (t) => {
  const weightedDemands = (pairs: [weight: number, demand: number][]) =>
    pairs.map(([weight, demand]) => ({ weight, demand }));
  t.snapshot({
    "all want more": divideMaxMin(64, weightedDemands([[1, 99], [2, 99], [5, 99]])),
    "one wants little": divideMaxMin(64, weightedDemands([[1, 99], [2, 4], [5, 99]])),
    "enough for all": divideMaxMin(64, weightedDemands([[1, 9], [2, 4], [5, 9]])),
    "one is idle": divideMaxMin(64, weightedDemands([[1, 99], [2, 0], [5, 99]])),
  });
});
