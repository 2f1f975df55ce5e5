/** Measures placement on the projected number of workers: time per task, and best fit against first fit. */

import { build } from "hdr-histogram-js";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { chooseBestFit, chooseFirstFit, type ChooseWorker } from "../jobs/placement.ts";
import { getDominantShare, isWithin, type TaskSize, toReservation } from "../jobs/task_size.ts";
import { WorkerIndex } from "../jobs/worker_index.ts";
import type { Measurement, MeasurementOptions, MeasurementTable } from "./measurement.ts";

/** Projected number of workers. */
const WORKERS = 21_000;

/** Projected number of accelerators. */
const ACCELERATORS = 23_000;

/** Accelerators of each worker that has any. */
const ACCELERATORS_PER_WORKER = 8;

/** Workers per rack. */
const WORKERS_PER_RACK = 4;

/** Submitted tasks per worker, more than fit. */
const ARRIVALS_PER_WORKER = 8;

/** Nanoseconds per microsecond. */
const NANOSECONDS_PER_MICROSECOND = 1_000n;

/** Largest task size; free capacity is measured in tasks of this size. */
const LARGEST_TASK: TaskSize = { cores: 16, memoryGigabytes: 64, accelerators: 0 };

/** Measurement `placement`. */
export const PLACEMENT_MEASUREMENT: Measurement = { name: "placement", run: measurePlacement };

interface FillResult {
  placed: number;
  placedAccelerators: number;
  coresLeft: number;
  largestTaskFits: number;
  p50: number;
  p99: number;
  highest: number;
  overcommitted: number;
}

function measurePlacement(options: MeasurementOptions): Promise<MeasurementTable[]> {
  const algorithms: [string, ChooseWorker][] = [
    ["best fit", chooseBestFit],
    ["first fit", chooseFirstFit],
  ];
  const tables = algorithms.map(([name, choose]) => ({
    name,
    result: fill(choose, options.seed, options.isQuick),
  }));
  const columns = [
    "placement",
    "tasks running",
    "accelerators in use",
    "cores left free (%)",
    "rooms for a 16-core task",
    "p50 (µs)",
    "p99 (µs)",
    "longest (µs)",
  ];
  const rows = tables.map(({ name, result }) => [
    name,
    result.placed,
    result.placedAccelerators,
    result.coresLeft,
    result.largestTaskFits,
    result.p50,
    result.p99,
    result.highest,
  ]);
  const brokenInvariants = tables.filter(({ result }) => result.overcommitted > 0)
    .map(({ name }) => `${name}: a worker holds more than it has`);
  const title = "Placement of 168,000 tasks on 21,000 workers (p99 of a task under 1 ms)";
  return Promise.resolve([{ title, columns, rows, brokenInvariants }]);
}

/** Places random tasks; one in four placements ends a random task, so that free capacity is uneven. */
function fill(choose: ChooseWorker, seed: number, isQuick: boolean): FillResult {
  const random = xoroshiro128plus(seed);
  const index = createFleet(isQuick ? WORKERS / 10 : WORKERS);
  const times = build({ lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000 });
  const running: { worker: string; size: TaskSize }[] = [];
  const arrivals = index.getSize() * ARRIVALS_PER_WORKER;
  for (let arrival = 0; arrival < arrivals; arrival += 1) {
    const size = drawTask(random);
    const start = process.hrtime.bigint();
    const capacity = choose(index, size, () => true);
    const elapsed = process.hrtime.bigint() - start;
    times.recordValue(Math.max(1, Number(elapsed / NANOSECONDS_PER_MICROSECOND)));
    const isEnding = uniformInt(random, 0, 3) === 0;
    const ending = uniformInt(random, 0, 1 << 30);
    if (capacity === undefined) continue;
    index.reserve(capacity.worker, size);
    running.push({ worker: capacity.worker, size });
    if (isEnding) endRandomTask(index, running, ending);
  }
  return { ...summarise(index, running), ...summariseTimes(times) };
}

function endRandomTask(
  index: WorkerIndex,
  running: { worker: string; size: TaskSize }[],
  randomNumber: number,
): void {
  const place = randomNumber % running.length;
  const ended = running[place]!;
  running[place] = running.at(-1)!;
  running.pop();
  index.release(ended.worker, ended.size);
}

function summariseTimes(times: ReturnType<typeof build>) {
  return {
    p50: times.getValueAtPercentile(50),
    p99: times.getValueAtPercentile(99),
    highest: times.maxValue,
  };
}

function summarise(index: WorkerIndex, running: { size: TaskSize }[]) {
  let free = 0;
  let all = 0;
  let largestTaskFits = 0;
  let overcommitted = 0;
  for (const capacity of index.getWorkers()) {
    free += capacity.free.cores;
    all += 32;
    if (isWithin(LARGEST_TASK, capacity.free)) largestTaskFits += 1;
    if (
      capacity.free.cores < 0 || capacity.free.memoryGigabytes < 0 || capacity.free.accelerators < 0
    ) {
      overcommitted += 1;
    }
  }
  return {
    placed: running.length,
    placedAccelerators: running.reduce((sum, { size }) => sum + size.accelerators, 0),
    coresLeft: Math.round((free / all) * 10_000) / 100,
    largestTaskFits,
    overcommitted,
  };
}

function createFleet(workers: number): WorkerIndex {
  const withAccelerators = Math.round(
    (ACCELERATORS / ACCELERATORS_PER_WORKER) * (workers / WORKERS),
  );
  const spacing = Math.floor(workers / withAccelerators);
  return WorkerIndex.create(Array.from({ length: workers }, (_, number) => ({
    worker: `worker-${number}`,
    rack: `rack-${Math.floor(number / WORKERS_PER_RACK)}`,
    free: {
      cores: 32,
      memoryGigabytes: 128,
      accelerators: number % spacing === 0 ? ACCELERATORS_PER_WORKER : 0,
    },
  })));
}

/** Draws a task size: most are small, some take half a worker, one in eight takes accelerators. */
function drawTask(random: ReturnType<typeof xoroshiro128plus>): TaskSize {
  const kind = uniformInt(random, 0, 15);
  const isLarge = kind >= 13;
  const cores = isLarge ? uniformInt(random, 8, 16) : uniformInt(random, 1, 28) / 4;
  const memoryGigabytes = isLarge ? uniformInt(random, 16, 64) : uniformInt(random, 1, 40);
  const accelerators = kind < 2 ? uniformInt(random, 1, 8) : 0;
  const size = toReservation({ cores, memoryGigabytes, accelerators });
  return getDominantShare(size, LARGEST_TASK) > 1 ? { ...LARGEST_TASK, accelerators } : size;
}
