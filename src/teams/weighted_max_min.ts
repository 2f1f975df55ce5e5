/** Weighted max-min shares: nobody gets more than it wants, and what it leaves the others borrow. */

/** What one team wants. */
export interface WeightedDemand {
  /** The weight. */
  weight: number;
  /** The most that it could use. */
  demand: number;
}

/** Divides a capacity over claims; the parts are fractions and never pass a demand. */
export function divideMaxMin(capacity: number, claims: readonly WeightedDemand[]): number[] {
  const parts = claims.map(() => 0);
  let left = capacity;
  let open = claims.map((_, index) => index).filter((index) => claims[index]!.demand > 0);
  while (open.length > 0 && left > 0) {
    const weights = open.reduce((sum, index) => sum + claims[index]!.weight, 0);
    const perWeight = left / weights;
    const met = open.filter((index) => claims[index]!.demand <= perWeight * claims[index]!.weight);
    if (met.length === 0) {
      for (const index of open) parts[index] = perWeight * claims[index]!.weight;
      return parts;
    }
    for (const index of met) {
      parts[index] = claims[index]!.demand;
      left -= claims[index]!.demand;
    }
    open = open.filter((index) => !met.includes(index));
  }
  return parts;
}

/** Gives each team its share and no more, whatever the others leave: no borrowing. */
export function divideWithoutBorrowing(
  capacity: number,
  claims: readonly WeightedDemand[],
): number[] {
  const weights = claims.reduce((sum, { weight }) => sum + weight, 0);
  return claims.map(({ weight, demand }) => Math.min(demand, capacity * weight / weights));
}
