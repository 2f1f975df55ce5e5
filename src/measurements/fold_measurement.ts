/** Measures how fast records are folded at the size to come. */

import { RECORD_RULES } from "../entry/record_rules.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import type { LogRecord } from "../records/record.ts";
import type { Measurement, MeasurementTable } from "./measurement.ts";
import { CHANGES_PER_DAY, createProjectedFleetRecord, HOSTS } from "./projected_fleet.ts";

/** The measurement `fold`. */
export const FOLD_MEASUREMENT: Measurement = { name: "fold", run: measureFold };

function measureFold(): Promise<MeasurementTable[]> {
  const steps: [string, number][] = [["hosts enrolled", HOSTS], ["a day", CHANGES_PER_DAY]];
  const rows: [string, number, number][] = [];
  let fleet = Fleet.createEmpty();
  for (const [name, count] of [...steps, ["one record on top", 1] as const]) {
    const records = createRecords(fleet.offset + 1, count);
    const start = performance.now();
    fleet = foldRecords(fleet, records, RECORD_RULES).fleet;
    rows.push([name, count, Math.round((performance.now() - start) * 100) / 100]);
  }
  const title = "Fold of records (a day of 18,000 under 1 s)";
  const columns = ["records of", "records", "milliseconds"];
  return Promise.resolve([{ title, columns, rows, brokenInvariants: [] }]);
}

function createRecords(first: number, count: number): LogRecord[] {
  return Array.from({ length: count }, (_, index) => createProjectedFleetRecord(first + index));
}
