/** Faults of a roster simulation, and generators of random fault schedules. */

import fc from "fast-check";

/** Kinds of faults. */
export const FaultKind = {
  /** A process is paused for a time; its messages are handled afterwards. */
  Pause: "pause",
  /** As a pause, but the monotonic clock stops as well. */
  Suspend: "suspend",
  /** A process crashes, and a new one starts at the same address after a time. */
  Restart: "restart",
  /** A process crashes and is not replaced. */
  Crash: "crash",
  /** A process gives up its standing and leaves the roster in an orderly way. */
  Leave: "leave",
  /** A new process starts and joins. */
  Join: "join",
  /** The wall clock of a process is set forward by the duration. */
  WallClockSetForward: "wall-clock-set-forward",
  /** Messages from the targets to the others are lost. */
  CutOutward: "cut-outward",
  /** Messages from the others to the targets are lost. */
  CutInward: "cut-inward",
  /** Messages between the targets and the others are lost in both directions. */
  Partition: "partition",
  /** The targets cannot reach the log. */
  LogCut: "log-cut",
  /** The targets are partitioned from the others and from the log. */
  IsolatedGroup: "isolated-group",
  /** No process can reach the log. */
  LogDown: "log-down",
  /** Each way of an exchange with the log takes up to a second longer. */
  LogSlow: "log-slow",
  /** Appends take effect, but their acknowledgements are lost. */
  LoseAppendAnswers: "lose-append-answers",
  /** Half of the messages between peers are lost; others are duplicated or late. */
  BadNetwork: "bad-network",
} as const;

/** One of the kinds of faults. */
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** A scheduled fault. */
export interface Fault {
  /** When it begins, in simulated milliseconds. */
  at: number;
  /** The kind. */
  kind: FaultKind;
  /** Numbers of the affected processes; numbers without a process are ignored. */
  targets: readonly number[];
  /** Duration in simulated milliseconds. */
  durationMilliseconds: number;
}

/** Latest start of a fault in a random schedule. */
export const LAST_FAULT_MILLISECONDS = 40_000;

const MAXIMUM_FAULT_MILLISECONDS = 20_000;

/** Maximum number of processes that start at time zero. */
export const MAXIMUM_INITIAL_PROCESSES = 8;

/** Faults target the processes with numbers below this one. */
const TARGET_PROCESSES = 12;

/** Generates one fault. */
const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
  at: fc.integer({ min: 4_000, max: LAST_FAULT_MILLISECONDS }),
  kind: fc.constantFrom(...Object.values(FaultKind)),
  targets: fc.uniqueArray(fc.nat(TARGET_PROCESSES - 1), { minLength: 1, maxLength: 6 }),
  durationMilliseconds: fc.integer({ min: 100, max: MAXIMUM_FAULT_MILLISECONDS }),
});

/** Generates a group that is isolated while others join: a majority of the newest roster may leave it out. */
const growthArbitrary: fc.Arbitrary<Fault[]> = fc.record({
  at: fc.integer({ min: 4_000, max: LAST_FAULT_MILLISECONDS / 2 }),
  targets: fc.uniqueArray(fc.nat(MAXIMUM_INITIAL_PROCESSES - 1), {
    minLength: 1,
    maxLength: MAXIMUM_INITIAL_PROCESSES,
  }),
  joins: fc.integer({ min: 0, max: 4 }),
}).map(({ at, targets, joins }) => [
  { at, kind: FaultKind.IsolatedGroup, targets, durationMilliseconds: MAXIMUM_FAULT_MILLISECONDS },
  ...Array.from({ length: joins }, (_, index) => {
    return { at: at + 300 * index, kind: FaultKind.Join, targets: [], durationMilliseconds: 0 };
  }),
]);

/** Generates a schedule of faults. */
export const scheduleArbitrary: fc.Arbitrary<readonly Fault[]> = fc.tuple(
  fc.array(faultArbitrary, { minLength: 1, maxLength: 14, size: "max" }),
  fc.oneof(fc.constant([]), growthArbitrary),
).map(([faults, growth]) => [...faults, ...growth]);

/** Generates the schedule of a seed. */
export function drawSchedule(seed: number): readonly Fault[] {
  const [faults] = fc.sample(fc.noBias(scheduleArbitrary), { seed, numRuns: 1 });
  return faults ?? [];
}
