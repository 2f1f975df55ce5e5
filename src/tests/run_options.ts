/** The number of random runs of a property test, and their seed. */

/** The seed and the number of random runs, as fast-check takes them. */
export interface RunOptions {
  seed: number;
  numRuns: number;
}

/** Gets the default options of a test, or those set in the environment for a long manual run. */
export function getRunOptions(defaults: RunOptions): RunOptions {
  const { TANAGERPIN_TEST_SEED: seed, TANAGERPIN_TEST_RUNS: numRuns } = process.env;
  return { seed: Number(seed ?? defaults.seed), numRuns: Number(numRuns ?? defaults.numRuns) };
}
