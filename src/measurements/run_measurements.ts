/** Runs the measurements, prints their tables and writes them as JSON. */

import { mkdir, writeFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import { formatTable } from "../commands/table.ts";
import { MEASUREMENTS } from "./all_measurements.ts";
import type { MeasurementTable } from "./measurement.ts";

/** Folder of the result files. */
const RESULTS_FOLDER = "measurements";

const { values } = parseArgs({
  options: {
    quick: { type: "boolean", default: false },
    seed: { type: "string", default: "1" },
    only: { type: "string" },
  },
});

let violationCount = 0;
for (const measurement of MEASUREMENTS) {
  if (values.only !== undefined && values.only !== measurement.name) continue;
  const tables = await measurement.run({ isQuick: values.quick, seed: Number(values.seed) });
  for (const table of tables) violationCount += printTable(table);
  await mkdir(RESULTS_FOLDER, { recursive: true });
  const text = JSON.stringify(tables, null, 2) + "\n";
  await writeFile(`${RESULTS_FOLDER}/${measurement.name}.json`, text);
}
process.exitCode = violationCount > 0 ? 1 : 0;

function printTable(table: MeasurementTable): number {
  const rows = table.rows.map((cells) =>
    Object.fromEntries(table.columns.map((column, index) => [column, cells[index]]))
  );
  console.log(`\n${table.title}\n${formatTable(table.columns, rows)}`);
  for (const invariant of table.brokenInvariants) console.log(`BROKEN: ${invariant}`);
  return table.brokenInvariants.length;
}
