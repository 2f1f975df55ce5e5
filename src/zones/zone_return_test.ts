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

test("work comes back little by little", (t) => {
  t.deepEqual([-5, 0, 15_000, 30_000, 60_000, 90_000].map((time) => getReturnWeight(time)), [
    0.1,
    0.1,
    0.325,
    0.55,
    1,
    1,
  ]);
});

test("a zone that goes out again while it comes back starts anew", (t) => {
  const returns = ZoneReturns.create();
  const kinds: string[] = [];
  const seen: [number, number][] = [];
  const look = (now: number) => seen.push([now, returns.getWeight("gh-south-a", now)]);
  const follow = (now: number, kind?: string) => {
    if (kind !== undefined) kinds.push(kind);
    returns.update(fold(kinds), now);
    look(now);
  };
  follow(0);
  follow(1_000, "zone-taken-out");
  follow(2_000, "zone-returned");
  look(32_000);
  follow(33_000, "zone-taken-out");
  follow(34_000, "zone-returned");
  look(64_000);
  look(100_000);
  t.snapshot(seen);
});
