/** Measures the CPU time of a dispatch pass with many ready steps, with and without held room. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createDispatchFixture } from "../stand_ins/dispatch_fixture.ts";
import type { Measurement, MeasurementOptions, MeasurementTable } from "./measurement.ts";

/** The number of executors. */
const EXECUTORS = 400;
/** The number of ready steps at the start of each pass. */
const READY_STEPS = 2_000;
/** The number of passes that are measured; a quick run measures a tenth. */
const PASSES = 400;
/** The time between two passes, in milliseconds. */
const PASS_INTERVAL_MILLISECONDS = 25;
/** The number of runs that end between two passes. */
const ENDS_PER_PASS = 20;
/** The capacity of an executor. */
const CAPACITY = { cpu: 16_000, memory: 32_000, accelerators: 0 };
/** The CPU demand of a large task, in thousandths of a core. */
const LARGE_CPU = 10_000;
/** One in this many steps has large tasks. */
const STEPS_PER_LARGE_STEP = 8;

/** Measurement `dispatch`. */
export const DISPATCH_MEASUREMENT: Measurement = { name: "dispatch", run: measureDispatch };

function measureDispatch(options: MeasurementOptions): Promise<MeasurementTable[]> {
  const rows = [false, true].flatMap((reservesRoom) =>
    [0, 1].map((spread) => {
      const times = measurePasses(options, reservesRoom, spread === 1);
      const mean = times.reduce((sum, time) => sum + time, 0) / times.length;
      const sorted = times.toSorted((first, second) => first - second);
      return [
        reservesRoom ? "on" : "off",
        spread === 1 ? "1 to 4 cores" : "2 cores",
        round(mean),
        round(sorted[Math.floor(sorted.length / 2)]!),
        round(sorted[Math.floor(sorted.length * 0.95)]!),
        round(sorted.at(-1)!),
      ];
    })
  );
  const title = `CPU time of a dispatch pass with ${READY_STEPS} ready steps and ${EXECUTORS} ` +
    "executors (5 ms with held room)";
  const columns = [
    "room is held",
    "small tasks",
    "mean (ms)",
    "p50 (ms)",
    "p95 (ms)",
    "longest (ms)",
  ];
  return Promise.resolve([{ title, columns, rows, brokenInvariants: [] }]);
}

/** Measures the CPU time of passes on a full pool, in milliseconds. */
function measurePasses(
  { seed, isQuick }: MeasurementOptions,
  reservesRoom: boolean,
  hasMixedSizes: boolean,
): number[] {
  const random = xoroshiro128plus(seed);
  const executors = Array.from({ length: EXECUTORS }, (_, number) => ({
    id: `i-${number}`,
    labels: [`rack-${Math.floor(number / 20)}`],
    capacity: CAPACITY,
  }));
  const { state, starts, addStep, endRun, run } = createDispatchFixture({
    executors,
    reservesRoom,
  });
  let submitted = 0;
  const fill = () => {
    while (state.ready.size < READY_STEPS) {
      const isLarge = submitted % STEPS_PER_LARGE_STEP === 0;
      const smallCpu = hasMixedSizes ? uniformInt(random, 4, 16) * 250 : 2_000;
      const demand = { cpu: isLarge ? LARGE_CPU : smallCpu, memory: 1_000, accelerators: 0 };
      addStep(`j${submitted}`, { count: 8, demand, estimatedMilliseconds: 1_000 });
      submitted += 1;
    }
  };
  const times: number[] = [];
  const running: string[] = [];
  let taken = 0;
  const passes = isQuick ? PASSES / 10 : PASSES;
  for (let pass = 0, measured = 0; measured < passes; pass += 1) {
    fill();
    const startedBefore = starts.length;
    const before = process.cpuUsage();
    run(pass * PASS_INTERVAL_MILLISECONDS);
    const { user, system } = process.cpuUsage(before);
    for (const { order } of starts.slice(taken)) running.push(order.task);
    taken = starts.length;
    // The pool is full once a pass starts fewer tasks than the window of unanswered starts allows.
    if (starts.length - startedBefore >= state.startWindow.getLimit()) continue;
    times.push((user + system) / 1_000);
    measured += 1;
    for (let end = 0; end < ENDS_PER_PASS; end += 1) {
      const place = uniformInt(random, 0, running.length - 1);
      endRun(running.splice(place, 1)[0]!);
    }
  }
  return times;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
