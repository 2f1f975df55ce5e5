import test from "ava";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import { getReturnWeight, ZoneReturns } from "./zone_return.ts";

const ENROLLED = {
  host: "hotels-1",
  pool: "hotels",
  kind: "executor",
  zone: "gh-south-a",
  rack: "1",
  address: "127.0.0.1:1",
  slots: 8,
  connections: 64,
  cores: 4,
  memoryGigabytes: 16,
  accelerators: 0,
};

function fold(kinds: readonly string[]): Fleet {
  const bodies: [string, unknown][] = [
    ["host-enrolled", ENROLLED],
    ...kinds.map((kind): [string, unknown] => [kind, { zone: "gh-south-a" }]),
  ];
  const records = bodies.map(([kind, body], offset) => ({
    offset,
    id: `r${offset}`,
    kind,
    version: 1,
    author: "operator",
    body,
  }));
  return foldRecords(Fleet.createEmpty(), records, RECORD_RULES).fleet;
}

test("the weight of a returned zone rises linearly", (t) => {
  t.deepEqual([-5, 0, 15_000, 30_000, 60_000, 90_000].map((time) => getReturnWeight(time)), [
    0.1,
    0.1,
    0.325,
    0.55,
    1,
    1,
  ]);
});

test("a zone taken out again during its slow start restarts it on return", (t) => {
  const returns = ZoneReturns.create();
  const kinds: string[] = [];
  const weights: [number, number][] = [];
  const addWeight = (now: number) => weights.push([now, returns.getWeight("gh-south-a", now)]);
  const apply = (now: number, kind?: string) => {
    if (kind !== undefined) kinds.push(kind);
    returns.update(fold(kinds), now);
    addWeight(now);
  };
  apply(0);
  apply(1_000, "zone-taken-out");
  apply(2_000, "zone-returned");
  addWeight(32_000);
  apply(33_000, "zone-taken-out");
  apply(34_000, "zone-returned");
  addWeight(64_000);
  addWeight(100_000);
  t.snapshot(weights);
});
