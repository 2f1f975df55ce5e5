/** Compares how many jobs are served in time, by size, with and without room held for large ones. */

import { NO_SCHEDULING_FEATURES } from "../owner/scheduling_features.ts";
import {
  type LoadSimulationOptions,
  type LoadSimulationResult,
  type SimulatedQueue,
  simulateLoad,
} from "../platform/stand_in/load_simulation.ts";
import type { Measurement, MeasurementOptions, MeasurementTable } from "./measurement.ts";

/** The number of seeds of each load; a quick run has one. */
const SEEDS = 8;
/** A duration of a peak that is longer than any load. */
const WITHOUT_END_MILLISECONDS = 1_000_000;

/** Measurement `room`. */
export const ROOM_MEASUREMENT: Measurement = { name: "room", run: measureRoom };

type Load = Omit<LoadSimulationOptions, "seed">;

const LARGE_JOBS = { fraction: 0.12, taskCpu: 10_000 };
const QUEUE = { steps: 2, tasks: 8, taskMilliseconds: 1_000, taskCpu: 2_600 };

function createQueue(name: string, hosts: number, overrides: Partial<SimulatedQueue>) {
  return { ...QUEUE, name, hosts, jobsPerSecond: 0, largeJobs: LARGE_JOBS, ...overrides };
}

/** Creates a load of one pool of 40 hosts of 16 cores. */
function createSteadyLoad(queues: readonly SimulatedQueue[]): Load {
  return {
    queues,
    spareHosts: 0,
    hostCpu: 16_000,
    peakMilliseconds: WITHOUT_END_MILLISECONDS,
    peakFactor: 1,
    arrivalMilliseconds: 18_000,
  };
}

function createSteadyQueue(jobsPerSecond: number, overrides: Partial<SimulatedQueue> = {}): Load {
  return createSteadyLoad([createQueue("tugdesk", 40, { jobsPerSecond, ...overrides })]);
}

/** Creates a load of four pools of 24 hosts, with 24 spare ones, whose peaks alternate. */
function createPeaks(
  queue: Partial<SimulatedQueue>,
  takeOversAt: readonly number[] = [],
  hostCpu = 16_000,
): Load {
  const names = ["tugdesk", "berthbook", "sidingwatch", "anchorline"];
  return {
    queues: names.map((name) => createQueue(name, 24, queue)),
    spareHosts: 24,
    hostCpu,
    peakMilliseconds: 4_500,
    peakFactor: 4,
    arrivalMilliseconds: 18_000,
    takeOversAt,
  };
}

/** Creates a load of short jobs and jobs with large tasks in two queues on one pool. */
function createSharedPool(jobsPerSecond: number, priority: number): Load {
  // Only the first queue has its peak; the second one gets a twentieth of its rate.
  const largeRate = jobsPerSecond / 6 * 20;
  const taskCpu = LARGE_JOBS.taskCpu;
  const { largeJobs: _, ...short } = createQueue("tugdesk", 40, { jobsPerSecond });
  const { largeJobs: __, ...large } = createQueue("haulage", 0, {
    pool: "tugdesk",
    priority,
    jobsPerSecond: largeRate,
    taskMilliseconds: 1_300,
    taskCpu,
  });
  return createSteadyLoad([short, large]);
}

const SHORT_JOBS = { fraction: 0, taskCpu: 0 };
const LOADS: Readonly<Record<string, Load>> = {
  "one pool, 60 % of capacity": createSteadyQueue(6.9),
  "one pool, 85 %": createSteadyQueue(9.7),
  "one pool, 95 %": createSteadyQueue(10.8),
  "one pool, 110 %": createSteadyQueue(12.5),
  "one pool, 150 %": createSteadyQueue(17.2),
  "one pool, small tasks only, 85 %": createSteadyQueue(13, { largeJobs: SHORT_JOBS }),
  "one pool, small tasks only, 110 %": createSteadyQueue(16.9, { largeJobs: SHORT_JOBS }),
  "large ones are gangs": createSteadyQueue(18, {
    steps: 1,
    largeJobs: { ...LARGE_JOBS, isGang: true },
  }),
  "two queues on a pool, 80 %": createSharedPool(4.4, 0),
  "two queues on a pool, large ones later": createSharedPool(4.4, 1),
  "peaks, 2 jobs/s": createPeaks({ jobsPerSecond: 2 }),
  "peaks, 3 jobs/s": createPeaks({ jobsPerSecond: 3 }),
  "peaks, 4 jobs/s": createPeaks({ jobsPerSecond: 4 }),
  "peaks, 6 jobs/s": createPeaks({ jobsPerSecond: 6 }),
  "peaks, 3 jobs/s, small only": createPeaks({ jobsPerSecond: 3, largeJobs: SHORT_JOBS }),
  "peaks, 3 jobs/s, two take-overs": createPeaks({ jobsPerSecond: 3 }, [5_000, 11_000]),
  "peaks, 64-core hosts": createPeaks(
    {
      jobsPerSecond: 8,
      taskMilliseconds: 700,
      taskCpu: 6_200,
      largeJobs: { fraction: 0.15, taskCpu: 40_000 },
    },
    [],
    64_000,
  ),
};

function measureRoom({ seed, isQuick }: MeasurementOptions): Promise<MeasurementTable[]> {
  const brokenInvariants: string[] = [];
  const rows = Object.entries(LOADS).map(([name, load]) => {
    const pairs = Array.from({ length: isQuick ? 1 : SEEDS }, (_, number) => {
      const results = [false, true].map((reservesRoom) =>
        simulateLoad({
          ...load,
          seed: seed + number,
          features: { ...NO_SCHEDULING_FEATURES, reservesRoom },
        })
      );
      brokenInvariants.push(...results.flatMap(({ violations }) => violations));
      return { off: results[0]!, on: results[1]! };
    });
    const changes = pairs.map(({ off, on }) => getInTime(on) - getInTime(off));
    return [
      name,
      ...formatMeans(pairs, getInTime),
      changes.filter((change) => change > 0).length,
      changes.filter((change) => change < 0).length,
      ...formatMeans(pairs, getLargeInTime),
      ...formatMeans(pairs, ({ hostSeconds }) => hostSeconds),
    ];
  });
  const title = `Jobs in time without and with held room, mean of ${isQuick ? 1 : SEEDS} seeds`;
  const columns = [
    "load",
    "all, off",
    "all, on",
    "seeds better",
    "seeds worse",
    "large, off",
    "large, on",
    "host-seconds, off",
    "host-seconds, on",
  ];
  return Promise.resolve([{ title, columns, rows, brokenInvariants }]);
}

function formatMeans(
  pairs: readonly { off: LoadSimulationResult; on: LoadSimulationResult }[],
  getValue: (result: LoadSimulationResult) => number,
): number[] {
  return [pairs.map(({ off }) => off), pairs.map(({ on }) => on)].map((results) =>
    Math.round(getMean(results.map(getValue)) * 1_000) / 1_000
  );
}

function getInTime({ inTime }: LoadSimulationResult): number {
  return getMean(Object.values(inTime));
}

function getLargeInTime({ inTime, largeInTime }: LoadSimulationResult): number {
  return getMean(Object.values(largeInTime ?? { haulage: inTime["haulage"] ?? 0 }));
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
