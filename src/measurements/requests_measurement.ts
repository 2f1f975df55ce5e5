/** Measures what an entry host adds to a call of an executor, in one run, each in its own process. */

import { getMilliseconds, type LoadResult, runLoad } from "./load_generator.ts";
import type { Measurement, MeasurementCell, MeasurementTable } from "./measurement.ts";
import { RequestRig } from "./request_rig.ts";

const CONNECTIONS = 64;

/** The arrivals a second of the run that compares times: well below what either way carries. */
const PACED_PER_SECOND = 600;

/** The measurement `requests`. */
export const REQUESTS_MEASUREMENT: Measurement = {
  name: "requests",
  run: async (options) => {
    const rig = await RequestRig.start({
      zones: ["zone-a"],
      executorsPerZone: 1,
      slots: 128,
      serviceMilliseconds: 0,
      queueLength: 1_000,
    });
    try {
      return await measureRequests(rig, options.isQuick ? 1_000 : 6_000);
    } finally {
      await rig.stop();
    }
  },
};

async function measureRequests(
  rig: RequestRig,
  durationMilliseconds: number,
): Promise<MeasurementTable[]> {
  const direct = {
    addresses: [rig.executors[0]!.daemon.getAddress("address")],
    path: rig.getExecutorPath(),
  };
  const through = { addresses: rig.getCallerAddresses(), path: rig.getPath() };
  const common = { connections: CONNECTIONS, durationMilliseconds };
  const warm = { connections: CONNECTIONS, durationMilliseconds: durationMilliseconds / 2 };
  await runLoad({ ...direct, ...warm });
  await runLoad({ ...through, ...warm });
  const paced = { ...common, ratePerSecond: PACED_PER_SECOND };
  const rows: MeasurementCell[][] = [
    createRow("direct, paced", await runLoad({ ...direct, ...paced })),
    createRow("through an entry host, paced", await runLoad({ ...through, ...paced })),
    createRow("direct, closed loop", await runLoad({ ...direct, ...common })),
    createRow("through an entry host, closed loop", await runLoad({ ...through, ...common })),
  ];
  const added = Number(rows[1]![2]) - Number(rows[0]![2]);
  const part = Number(rows[3]![1]) / Number(rows[2]![1]);
  rows.push(["median added, paced", "", round(added), "", "", added < 1 ? "kept" : "missed"]);
  rows.push([
    "part of the direct rate",
    round(part),
    "",
    "",
    "",
    part >= 1 / 3 ? "kept" : "missed",
  ]);
  return [{
    title:
      `Own cost at ${CONNECTIONS} connections (median added under 1 ms at ${PACED_PER_SECOND}` +
      " a second, at least a third of the direct rate)",
    columns: ["way", "answers a second", "median ms", "p99 ms", "not answered", "bound"],
    rows,
    brokenInvariants: [],
  }];
}

function createRow(way: string, load: LoadResult): MeasurementCell[] {
  return [
    way,
    load.responsesPerSecond,
    getMilliseconds(load.responseTimes, 50),
    getMilliseconds(load.responseTimes, 99),
    load.refused + load.failed,
    "",
  ];
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
