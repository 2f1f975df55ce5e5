import test from "ava";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { decodeSnapshot, encodeSnapshot } from "../links/snapshot_text.ts";
import { Fleet } from "./fleet.ts";
import { foldRecords } from "./fold.ts";
import type { LogRecord } from "./record.ts";
import { SNAPSHOT_CHUNK_KIND, type SnapshotChunk } from "./snapshot.ts";
import { SnapshotSearch } from "./snapshot_search.ts";

const READ_LIMIT = 5_000;

interface Log {
  earliest: number;
  records: LogRecord[];
}

function createRecord(offset: number, kind: string, body: unknown): LogRecord {
  return { offset, id: `r${offset}`, kind, version: 1, author: "entry-1", body };
}

function createGrant(offset: number): LogRecord {
  const body = { keyId: `k${offset % 50}`, team: "t", secretHash: "0".repeat(64) };
  return createRecord(offset, "key-granted", body);
}

/** Creates a log of grants with snapshots after some offsets; `damage` changes their chunks. */
function createLog(
  length: number,
  earliest: number,
  snapshots: Record<number, (chunk: SnapshotChunk) => SnapshotChunk>,
): Log {
  const records: LogRecord[] = [];
  let fleet = Fleet.createEmpty();
  while (records.length < length) {
    const damage = snapshots[records.length];
    if (damage === undefined) {
      records.push(createGrant(records.length));
    } else {
      fleet = foldRecords(fleet, records, RECORD_RULES).fleet;
      const chunk = damage(encodeSnapshot(fleet.toData(), `s${records.length}`)[0]!);
      records.push(createRecord(records.length, SNAPSHOT_CHUNK_KIND, chunk));
    }
  }
  return { earliest, records };
}

function search(log: Log): string {
  const start = SnapshotSearch.create({ decodeSnapshot });
  for (let reads = 1; reads < 100; reads += 1) {
    const { from, limit } = start.getNextRead(READ_LIMIT);
    const first = Math.max(from, log.earliest);
    const records = log.records.slice(first, first + limit);
    const next = records.at(-1)?.offset === undefined ? from : records.at(-1)!.offset + 1;
    const head = log.records.length;
    const result = start.addRead({ startedAt: 0, head, earliest: log.earliest, records, next });
    if (result.outcome === "reading") continue;
    if (result.outcome === "missing") return `missing, ${reads} reads`;
    const offset = foldRecords(result.fleet, result.records, RECORD_RULES).fleet.offset;
    return `from offset ${result.fleet.offset} to ${offset}, ${reads} reads`;
  }
  return "no end";
}

const whole = (chunk: SnapshotChunk) => chunk;
const damaged = (chunk: SnapshotChunk) => ({ ...chunk, text: chunk.text.replace("a", "b") + "a" });
const endless = (chunk: SnapshotChunk) => ({ ...chunk, count: 2 });

test("a host starts from the newest whole snapshot, or from the log's beginning", (t) => {
  const logs: Record<string, Log> = {
    "empty": createLog(0, 0, {}),
    "short, no snapshot": createLog(100, 0, {}),
    "short, a snapshot": createLog(100, 0, { 50: whole }),
    "two snapshots": createLog(100, 0, { 50: whole, 90: whole }),
    "the newest damaged": createLog(100, 0, { 50: whole, 90: damaged }),
    "the newest not ended": createLog(100, 0, { 50: whole, 90: endless }),
    "long, a snapshot near the end": createLog(20_000, 0, { 15_000: whole }),
    "long, a snapshot far back": createLog(20_000, 0, { 3_000: whole }),
    "long, none": createLog(20_000, 0, {}),
    "retention passed, a snapshot": createLog(20_000, 9_000, { 15_000: whole }),
    "retention passed the snapshot's records": createLog(20_000, 15_000, { 15_000: whole }),
    "retention passed, none": createLog(20_000, 9_000, { 5_000: whole }),
  };
  t.snapshot(Object.entries(logs).map(([name, log]) => `${name}: ${search(log)}`));
});
