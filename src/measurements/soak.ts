/** Types of the soaks: long random runs with invariants, each of which can be replayed by its seed. */

/** Options for one run of a soak. */
export interface SoakRunOptions {
  /** Seed of all random sources of the run. */
  seed: number;
}

/** Result of one run. */
export interface SoakRunResult {
  /** The violated invariant, if any. */
  violation: string | undefined;
  /** Counts that are summed over the runs, such as removals in force. */
  counts: Readonly<Record<string, number>>;
}

/** A soak that can be run by name. */
export interface Soak {
  /** Name, such as `roster`. */
  name: string;
  /** Runs the soak once. */
  run: (options: SoakRunOptions) => SoakRunResult | Promise<SoakRunResult>;
}
