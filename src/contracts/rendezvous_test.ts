import test from "ava";
import fc from "fast-check";
import { rankByRendezvous } from "./rendezvous.ts";

const SEED = 11;

test("ranking of sample keys", (t) => {
  const members = ["entry-1", "entry-2", "entry-3", "entry-4"];
  t.snapshot(
    ["team:a", "team:b", "pool:c"].map((key) => `${key}: ${rankByRendezvous(key, members)}`),
  );
});

test("removing a member keeps the order of the others", (t) => {
  fc.assert(
    fc.property(fc.string(), fc.uniqueArray(fc.string(), { minLength: 1 }), (key, members) => {
      const before = rankByRendezvous(key, members);
      const remaining = members.slice(1);
      t.deepEqual(rankByRendezvous(key, remaining), before.filter((id) => id !== members[0]));
    }),
    { seed: SEED },
  );
});
