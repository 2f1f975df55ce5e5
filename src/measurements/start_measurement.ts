/** Measures how soon a host serves that starts with many records behind it. */

import type { EntryHost } from "../entry/entry_host.ts";
import { createLoopbackHost } from "../entry/loopback_host.ts";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { encodeRecordText } from "../links/record_text.ts";
import { encodeSnapshot } from "../links/snapshot_text.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import type { LogRecord } from "../records/record.ts";
import { SNAPSHOT_CHUNK_KIND } from "../records/snapshot.ts";
import { PlatformStandIn } from "../stand_ins/platform_stand_in.ts";
import type { Measurement, MeasurementOptions, MeasurementTable } from "./measurement.ts";
import { createProjectedFleetRecord } from "./projected_fleet.ts";

/** The records behind the host. */
const RECORDS = 100_000;

/** The records between the newest snapshot and the log's end. */
const RECORDS_AFTER_SNAPSHOT = 4_000;

/** The longest start, from the target. */
const TARGET_MILLISECONDS = 2_000;

/** The measurement `start`. */
export const START_MEASUREMENT: Measurement = { name: "start", run: measureStart };

async function measureStart(options: MeasurementOptions): Promise<MeasurementTable[]> {
  const count = options.isQuick ? RECORDS / 4 : RECORDS;
  const log = createLog(count);
  const withSnapshot = await measureUntilReady(log.entries);
  const fromBeginning = await measureUntilReady(log.entriesWithoutSnapshot);
  const rows: [string, number, number, string][] = [
    ["from a snapshot", count, withSnapshot, judge(withSnapshot)],
    ["baseline: from the log's beginning", count, fromBeginning, judge(fromBeginning)],
  ];
  const columns = ["start", "records behind", "milliseconds until ready", "target"];
  const title = `Start of a host (under ${TARGET_MILLISECONDS} ms with 100,000 records behind it)`;
  const chunks = `snapshot of ${log.chunks} chunks, ${log.snapshotCharacters} characters`;
  return [{ title: `${title}; ${chunks}`, columns, rows, brokenInvariants: [] }];
}

function judge(milliseconds: number): string {
  return milliseconds <= TARGET_MILLISECONDS ? "met" : "MISSED";
}

function createLog(count: number) {
  const records: LogRecord[] = [];
  for (let offset = 0; offset < count; offset += 1) {
    records.push(createProjectedFleetRecord(offset));
  }
  const cut = count - RECORDS_AFTER_SNAPSHOT;
  const fleet = foldRecords(Fleet.createEmpty(), records.slice(0, cut), RECORD_RULES).fleet;
  const chunks = encodeSnapshot(fleet.toData(), "measured");
  const chunkRecords = chunks.map((chunk) => ({
    id: `chunk-${chunk.index}`,
    kind: SNAPSHOT_CHUNK_KIND,
    version: 1,
    author: "entry-1",
    body: chunk,
  }));
  return {
    entries: [...records.slice(0, cut), ...chunkRecords, ...records.slice(cut)].map(
      encodeRecordText,
    ),
    entriesWithoutSnapshot: records.map(encodeRecordText),
    chunks: chunks.length,
    snapshotCharacters: chunks.reduce((sum, chunk) => sum + chunk.text.length, 0),
  };
}

async function measureUntilReady(entries: readonly string[]): Promise<number> {
  const address = { host: "127.0.0.1", port: 0 };
  const platform = PlatformStandIn.create({ address, maximumEntries: 1_000_000 });
  platform.addEntries(entries);
  const host = createHost(await platform.listen());
  const start = performance.now();
  await host.start();
  while (!host.isReady()) await new Promise((resolve) => setTimeout(resolve, 5));
  const elapsed = Math.round(performance.now() - start);
  await host.stop();
  platform.close();
  return elapsed;
}

function createHost(platformAddress: string): EntryHost {
  const operatorKey = "operator-key-of-the-bench";
  return createLoopbackHost({
    flags: { name: "entry-1", zone: "zone-1", platformAddress, operatorKey },
  });
}
