import test from "ava";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { Fleet } from "./fleet.ts";
import { foldRecords } from "./fold.ts";
import type { LogRecord } from "./record.ts";

const HOST = {
  kind: "executor",
  rack: "a-1",
  address: "127.0.0.1:1",
  slots: 8,
  connections: 64,
  cores: 4,
  memoryGigabytes: 16,
  accelerators: 0,
};

function createRecords(bodies: [id: string, kind: string, body: unknown][]): LogRecord[] {
  return bodies.map(([id, kind, body], offset) => ({
    offset,
    id,
    kind,
    version: 1,
    author: "operator",
    body,
  }));
}

const CONCURRENT_RECORDS = createRecords([
  ["r0", "host-enrolled", { ...HOST, host: "tugdesk-1", zone: "zululand-a", pool: "tugdesk" }],
  ["r1", "host-enrolled", { ...HOST, host: "tugdesk-1", zone: "zululand-a", pool: "berthbook" }],
  ["r2", "zone-taken-out", { zone: "zululand-a" }],
  ["r3", "zone-taken-out", { zone: "zululand-a" }],
  ["r2", "zone-taken-out", { zone: "zululand-a" }],
  ["r4", "zone-returned", { zone: "zululand-b" }],
  ["r5", "profile-published", { profile: "tides", teams: [] }],
  ["r6", "profile-published", {
    profile: "tides",
    teams: [{ team: "mine-desk", share: 2, upperLimit: 8 }],
  }],
  ["r7", "profile-picked", { service: "tugdesk", profile: "tides" }],
  ["r8", "profile-picked", { service: "tugdesk", profile: "moon" }],
  ["r9", "key-granted", { keyId: "k1", team: "mine-desk", secretHash: "0".repeat(64) }],
  ["r10", "key-withdrawn", { keyId: "k1" }],
  ["r11", "key-granted", { keyId: "k1", team: "mine-desk", secretHash: "1".repeat(64) }],
  ["r12", "tide-published", {}],
]);

test("of conflicting records the first is accepted, and the others get the reason of their refusal", (t) => {
  const { judged } = foldRecords(Fleet.createEmpty(), CONCURRENT_RECORDS, RECORD_RULES);
  t.snapshot(
    judged.map(({ record, verdict }) =>
      `${record.offset} ${record.id} ${record.kind}: ${verdict.outcome} ${verdict.reason}`.trim()
    ),
  );
});

test("the fleet after conflicting records", (t) => {
  const { fleet } = foldRecords(Fleet.createEmpty(), CONCURRENT_RECORDS, RECORD_RULES);
  const { offset, tables } = fleet.toData();
  const filled = Object.entries(tables).filter(([, rows]) => rows.length > 0);
  t.snapshot({ offset, tables: Object.fromEntries(filled) });
});

test("folding in two parts, with repeated records and through a snapshot, gives the same fleet", (t) => {
  const complete = foldRecords(Fleet.createEmpty(), CONCURRENT_RECORDS, RECORD_RULES).fleet;
  for (let length = 0; length <= CONCURRENT_RECORDS.length; length += 1) {
    const first =
      foldRecords(Fleet.createEmpty(), CONCURRENT_RECORDS.slice(0, length), RECORD_RULES).fleet;
    const restored = Fleet.createFromData(first.toData());
    const second = foldRecords(restored, CONCURRENT_RECORDS, RECORD_RULES).fleet;
    t.deepEqual(second.toData(), complete.toData());
  }
});
