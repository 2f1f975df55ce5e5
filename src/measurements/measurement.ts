/** Types of the measurements that `npm run bench` runs. */

/** A cell of a table. */
export type MeasurementCell = string | number;

/** One table of results. */
export interface MeasurementTable {
  /** What was measured, with its bound, if any. */
  title: string;
  /** Names of the columns, with units. */
  columns: readonly string[];
  /** Rows with one cell for each column; baselines are rows of the same table. */
  rows: readonly (readonly MeasurementCell[])[];
  /** Invariants that were violated; the benchmark fails only on these. */
  brokenInvariants: readonly string[];
}

/** Options for a measurement. */
export interface MeasurementOptions {
  /** Whether to run for a few seconds only. */
  isQuick: boolean;
  /** Seed of all random sources. */
  seed: number;
}

/** A measurement that the benchmark can run by name. */
export interface Measurement {
  /** Name, such as `admission`. */
  name: string;
  /** Runs the measurement and gets its tables. */
  run: (options: MeasurementOptions) => Promise<readonly MeasurementTable[]>;
}
