/** Measures how soon goodput is back when the executors of one zone die at full load. */

import { runLoad } from "./load_generator.ts";
import type { Measurement, MeasurementCell } from "./measurement.ts";
import { RequestRig } from "./request_rig.ts";

const SERVICE_MILLISECONDS = 40;
const ZONES = ["zone-a", "zone-b", "zone-c"];
const EXECUTORS_PER_ZONE = 2;
const SLOTS = 8;
const BUCKET_MILLISECONDS = 250;

/** What the executors of one zone can run. */
const ZONE_CAPACITY_PER_SECOND = EXECUTORS_PER_ZONE * SLOTS * 1_000 / SERVICE_MILLISECONDS;

/** The measurement `zone-loss`. */
export const ZONE_LOSS_MEASUREMENT: Measurement = {
  name: "zone-loss",
  run: async (options) => {
    const rig = await RequestRig.start({
      zones: ZONES,
      executorsPerZone: EXECUTORS_PER_ZONE,
      slots: SLOTS,
      serviceMilliseconds: SERVICE_MILLISECONDS,
      queueLength: 32,
    });
    try {
      return [await measureZoneLoss(rig, options.isQuick ? 2_000 : 4_000)];
    } finally {
      await rig.stop();
    }
  },
};

async function measureZoneLoss(rig: RequestRig, lostAt: number) {
  const durationMilliseconds = lostAt + 6_000;
  const buckets = Array.from(
    { length: Math.ceil(durationMilliseconds / BUCKET_MILLISECONDS) },
    () => ({ answered: 0, other: 0 }),
  );
  const load = runLoad({
    addresses: rig.getCallerAddresses(),
    path: rig.getPath(),
    connections: 512,
    ratePerSecond: ZONE_CAPACITY_PER_SECOND * ZONES.length,
    durationMilliseconds,
    onEnd: (isAnswered, at) => {
      const bucket = buckets[Math.floor(at / BUCKET_MILLISECONDS)];
      if (bucket === undefined) return;
      if (isAnswered) bucket.answered += 1;
      else bucket.other += 1;
    },
  });
  await new Promise((resolve) => setTimeout(resolve, lostAt));
  await rig.killZone(ZONES[0]!);
  await load;
  const rows = buckets.map((bucket, index): MeasurementCell[] => [
    index * BUCKET_MILLISECONDS - lostAt,
    Math.round(bucket.answered * 1_000 / BUCKET_MILLISECONDS),
    Math.round(bucket.other * 1_000 / BUCKET_MILLISECONDS),
  ]);
  const before = rows.filter((row) => Number(row[0]) >= -1_000 && Number(row[0]) < 0);
  const measured = before.reduce((sum, row) => sum + Number(row[1]), 0) / before.length;
  const left = (ZONES.length - 1) / ZONES.length;
  const nominal = ZONE_CAPACITY_PER_SECOND * (ZONES.length - 1);
  const title = "Zone lost at full load, goodput back to 95%: " +
    `${describeReturn(rows, measured * left)} of what the remaining zones did before; ` +
    `${describeReturn(rows, nominal)} of what their slots allow`;
  const columns = ["ms after the loss", "answers a second", "others a second"];
  return { title, columns, rows, brokenInvariants: [] };
}

function describeReturn(rows: readonly MeasurementCell[][], perSecond: number): string {
  const back = findReturn(rows, perSecond * 0.95);
  const verdict = back !== undefined && back <= 3_000 ? "kept" : "missed";
  return `after ${back ?? "no"} ms (3000 ms: ${verdict}) for ${Math.round(perSecond)} a second`;
}

/** Gets the end of the first bucket from which a second's mean is at the bound. */
function findReturn(rows: readonly MeasurementCell[][], bound: number): number | undefined {
  const width = 1_000 / BUCKET_MILLISECONDS;
  for (const [index, row] of rows.entries()) {
    if (Number(row[0]) < 0 || index + width > rows.length) continue;
    const second = rows.slice(index, index + width);
    const mean = second.reduce((sum, cells) => sum + Number(cells[1]), 0) / width;
    if (mean >= bound) return Number(row[0]);
  }
  return undefined;
}
