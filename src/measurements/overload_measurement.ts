/** Measures goodput and refusals when more requests arrive than the executors can run. */

import { getMilliseconds, runLoad } from "./load_generator.ts";
import type { Measurement, MeasurementCell } from "./measurement.ts";
import { RequestRig } from "./request_rig.ts";

const SERVICE_MILLISECONDS = 40;
const EXECUTORS = 4;
const SLOTS = 8;

/** What the executors can run: slots by service time. */
const CAPACITY_PER_SECOND = EXECUTORS * SLOTS * 1_000 / SERVICE_MILLISECONDS;

const LOADS = [0.5, 0.9, 1, 1.2, 2];

/** The measurement `overload`. */
export const OVERLOAD_MEASUREMENT: Measurement = {
  name: "overload",
  run: async (options) => {
    const rig = await RequestRig.start({
      zones: ["zone-a", "zone-b"],
      executorsPerZone: EXECUTORS / 2,
      slots: SLOTS,
      serviceMilliseconds: SERVICE_MILLISECONDS,
      queueLength: 32,
    });
    try {
      return [await measureOverload(rig, options.isQuick ? 1_500 : 6_000)];
    } finally {
      await rig.stop();
    }
  },
};

async function measureOverload(rig: RequestRig, durationMilliseconds: number) {
  const load = {
    addresses: rig.getCallerAddresses(),
    path: rig.getPath(),
    connections: 512,
    durationMilliseconds,
  };
  await runLoad({ ...load, ratePerSecond: CAPACITY_PER_SECOND / 2 });
  const rows: MeasurementCell[][] = [];
  for (const part of LOADS) {
    const result = await runLoad({ ...load, ratePerSecond: CAPACITY_PER_SECOND * part });
    rows.push([
      part,
      result.responsesPerSecond,
      getMilliseconds(result.responseTimes, 50),
      getMilliseconds(result.responseTimes, 99),
      result.refused,
      result.refused > 0 ? getMilliseconds(result.refusalTimes, 50) : "",
      result.failed,
    ]);
  }
  const peak = Math.max(...rows.map((row) => Number(row[1])));
  const last = rows.at(-1)!;
  const part = Math.round(Number(last[1]) / peak * 1_000) / 10;
  const title =
    `Overload: ${CAPACITY_PER_SECOND} a second at most; at twice that goodput is ${part}%` +
    ` of its peak (95%: ${part >= 95 ? "kept" : "missed"}), refusals take ${last[5]} ms at the` +
    ` median (10 ms: ${Number(last[5]) <= 10 ? "kept" : "missed"})`;
  const columns = [
    "offered of capacity",
    "answers a second",
    "median ms",
    "p99 ms",
    "refused",
    "refusal median ms",
    "failed",
  ];
  return { title, columns, rows, brokenInvariants: [] };
}
