/** Demand in coarse levels, so that holders don't send a statement for every request. */

/** The ratio of a level to the one below it. */
const LEVEL_GROWTH = 1.3;

const MAXIMUM_LEVEL = 100_000;

const LEVELS = createLevels();

/** Rounds a demand up to the next level. */
export function getDemandLevel(demand: number): number {
  let low = 0;
  let high = LEVELS.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (LEVELS[middle]! >= demand) high = middle;
    else low = middle + 1;
  }
  return LEVELS[low]!;
}

function createLevels(): number[] {
  const levels = [0];
  let level = 0;
  while (level < MAXIMUM_LEVEL) {
    level = Math.max(level + 1, Math.floor(level * LEVEL_GROWTH));
    levels.push(level);
  }
  return levels;
}
