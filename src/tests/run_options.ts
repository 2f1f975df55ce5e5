/** How many random runs a test makes, and from which seed. */

/** The seed and the number of random runs of a property. */
export interface RunOptions {
  /** The seed. */
  seed: number;
  /** The number of runs. */
  numRuns: number;
}

/** Gets the usual options of a test, or what the environment asks for in a long run by hand. */
export function getRunOptions(usual: RunOptions): RunOptions {
  const { TANAGERPIN_TEST_SEED: seed, TANAGERPIN_TEST_RUNS: numRuns } = process.env;
  return { seed: Number(seed ?? usual.seed), numRuns: Number(numRuns ?? usual.numRuns) };
}
