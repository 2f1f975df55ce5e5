/** The faults of a modelled run, and how random schedules of them are drawn. */

import fc from "fast-check";

/** The kinds of faults. */
export const FaultKind = {
  /** A process handles nothing for a time; its messages wait. */
  Pause: "pause",
  /** As a pause, but the monotonic clock stands still as well. */
  Suspend: "suspend",
  /** A process ends, and a new one starts at the same address after a time. */
  Restart: "restart",
  /** A process ends for good. */
  Crash: "crash",
  /** A process gives up its standing and leaves the roster. */
  Leave: "leave",
  /** A new process starts and joins. */
  Join: "join",
  /** The wall clock of a process is set forward by the duration. */
  WallClockSetForward: "wall-clock-set-forward",
  /** No message passes from the targets to the others. */
  CutOutward: "cut-outward",
  /** No message passes from the others to the targets. */
  CutInward: "cut-inward",
  /** No message passes between the targets and the others. */
  Partition: "partition",
  /** The targets cannot reach the log. */
  LogCut: "log-cut",
  /** The targets are partitioned from the others and from the log. */
  IsolatedGroup: "isolated-group",
  /** Nobody can reach the log. */
  LogDown: "log-down",
  /** Every exchange with the log takes up to a second more. */
  LogSlow: "log-slow",
  /** Appends take effect, but their answers are lost. */
  LoseAppendAnswers: "lose-append-answers",
  /** Half of the messages between peers are lost, and some come twice or late. */
  BadNetwork: "bad-network",
} as const;

/** One of the kinds of faults. */
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** One fault of a schedule. */
export interface Fault {
  /** When it begins, in milliseconds of the model. */
  at: number;
  /** The kind. */
  kind: FaultKind;
  /** The processes, by number; numbers beyond those that exist are passed over. */
  targets: readonly number[];
  /** How long it lasts, in milliseconds. */
  durationMilliseconds: number;
}

/** When the last fault of a random schedule may begin. */
export const LAST_FAULT_MILLISECONDS = 40_000;

const LONGEST_FAULT_MILLISECONDS = 20_000;

/** The most processes that start at time zero. */
export const MAXIMUM_INITIAL_PROCESSES = 8;

/** How many processes faults may aim at. */
const MOST_TARGETS = 12;

/** Draws one fault. */
const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
  at: fc.integer({ min: 4_000, max: LAST_FAULT_MILLISECONDS }),
  kind: fc.constantFrom(...Object.values(FaultKind)),
  targets: fc.uniqueArray(fc.nat(MOST_TARGETS - 1), { minLength: 1, maxLength: 6 }),
  durationMilliseconds: fc.integer({ min: 100, max: LONGEST_FAULT_MILLISECONDS }),
});

/** Draws a group that is cut off while others join: what one majority of the newest roster misses. */
const growthArbitrary: fc.Arbitrary<Fault[]> = fc.record({
  at: fc.integer({ min: 4_000, max: LAST_FAULT_MILLISECONDS / 2 }),
  targets: fc.uniqueArray(fc.nat(MAXIMUM_INITIAL_PROCESSES - 1), {
    minLength: 1,
    maxLength: MAXIMUM_INITIAL_PROCESSES,
  }),
  joins: fc.integer({ min: 0, max: 4 }),
}).map(({ at, targets, joins }) => [
  { at, kind: FaultKind.IsolatedGroup, targets, durationMilliseconds: LONGEST_FAULT_MILLISECONDS },
  ...Array.from({ length: joins }, (_, index) => {
    return { at: at + 300 * index, kind: FaultKind.Join, targets: [], durationMilliseconds: 0 };
  }),
]);

/** Draws a schedule of faults. */
export const scheduleArbitrary: fc.Arbitrary<readonly Fault[]> = fc.tuple(
  fc.array(faultArbitrary, { minLength: 1, maxLength: 14, size: "max" }),
  fc.oneof(fc.constant([]), growthArbitrary),
).map(([faults, growth]) => [...faults, ...growth]);

/** Draws one schedule by its seed. */
export function drawSchedule(seed: number): readonly Fault[] {
  const [faults] = fc.sample(fc.noBias(scheduleArbitrary), { seed, numRuns: 1 });
  return faults ?? [];
}
