import test from "ava";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import { DrainWatch } from "./drain_watch.ts";
import { findDrainedHosts } from "./maintenance_step.ts";

type Body = [kind: string, body: unknown];

const HOST = {
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

const join = (memberId: string): Body => ["member-joined", {
  memberId,
  entryHost: memberId,
  zone: "gh-south-a",
  peerAddress: "127.0.0.1:1",
  operatorAddress: "127.0.0.1:2",
  callerAddress: "127.0.0.1:3",
}];

const START: Body[] = [["host-enrolled", HOST], join("a"), join("b")];
const DRAIN: Body = ["host-drained", { host: "hotels-1", pool: "hotels" }];
const DRAINED_AT = START.length;

function fold(bodies: readonly Body[]): Fleet {
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

function createWatch(): DrainWatch {
  return DrainWatch.create(() => 1_000);
}

const IDLE_HOSTS = [{ host: "hotels-1", drainedAt: DRAINED_AT }];

test("a drained host is idle once every member of the roster has reported it as idle", (t) => {
  const watch = createWatch();
  watch.reconcile(fold(START), 0);
  watch.reconcile(fold([...START, DRAIN]), 10);
  const results = [watch.isIdle("hotels-1", 10)];
  watch.markIdle("a", IDLE_HOSTS);
  watch.markIdle("b", [{ host: "hotels-1", drainedAt: DRAINED_AT - 1 }]);
  results.push(watch.isIdle("hotels-1", 20));
  watch.markIdle("b", IDLE_HOSTS);
  results.push(watch.isIdle("hotels-1", 30));
  t.deepEqual(results, [false, false, true]);
});

test("a member that left may have work there until the maximum run time has passed", (t) => {
  const watch = createWatch();
  watch.reconcile(fold(START), 0);
  watch.reconcile(fold([...START, DRAIN, ["member-left", { memberId: "b" }]]), 10);
  watch.markIdle("a", IDLE_HOSTS);
  t.deepEqual([4_000, 4_089, 4_090].map((now) => watch.isIdle("hotels-1", now)), [
    false,
    false,
    true,
  ]);
});

test("a member that started after the drain waits for the maximum run time", (t) => {
  const watch = createWatch();
  watch.reconcile(fold([...START, DRAIN]), 10);
  watch.markIdle("a", IDLE_HOSTS);
  watch.markIdle("b", IDLE_HOSTS);
  t.false(watch.isIdle("hotels-1", 4_000));
  t.true(watch.isIdle("hotels-1", 4_090));
});

test("reports about an earlier drain do not count after the host returned and was drained again", (t) => {
  const watch = createWatch();
  const again: Body[] = [...START, DRAIN, ["host-returned", DRAIN[1]], DRAIN];
  watch.reconcile(fold(START), 0);
  watch.reconcile(fold([...START, DRAIN]), 10);
  for (const member of ["a", "b"]) watch.markIdle(member, IDLE_HOSTS);
  watch.reconcile(fold(again), 20);
  t.false(watch.isIdle("hotels-1", 20));
  t.deepEqual(watch.getLocallyIdleHosts(DRAINED_AT + 1, new Set()), []);
  t.deepEqual(watch.getLocallyIdleHosts(DRAINED_AT + 2, new Set(["hotels-1"])), []);
  t.deepEqual(watch.getLocallyIdleHosts(DRAINED_AT + 2, new Set()), [
    { host: "hotels-1", drainedAt: DRAINED_AT + 2 },
  ]);
});

test("a drain that was relayed before it was read from the log does not count yet", (t) => {
  const maintenance = { maintenance: "december", scope: { kind: "all", name: "" } };
  const body = { ...DRAIN[1] as object, maintenance: "december", boots: 1 };
  const current = fold([...START, ["maintenance-started", maintenance], ["host-drained", body]]);
  const ahead = Fleet.create({ offset: current.offset - 1, tables: current.tables });
  const count = (fleet: Fleet) => {
    const watch = createWatch();
    watch.reconcile(fleet, 0);
    const drained = watch.getLocallyIdleHosts(current.offset, new Set());
    const away = findDrainedHosts(fleet, fleet.tables.maintenances.get("december")!);
    return [drained.length, away.length];
  };
  t.deepEqual([count(ahead), count(current)], [[0, 0], [1, 1]]);
});
