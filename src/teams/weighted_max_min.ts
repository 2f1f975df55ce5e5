/** Weighted max-min fairness: no team gets more than its demand, and others may use the rest. */

/** The demand of one team and its weight. */
export interface WeightedDemand {
  weight: number;
  /** The maximum amount that the team can use. */
  demand: number;
}

/** Divides a capacity over demands; the parts may be fractional and never exceed a demand. */
export function divideMaxMin(capacity: number, demands: readonly WeightedDemand[]): number[] {
  const parts = demands.map(() => 0);
  let remaining = capacity;
  let unmet = demands.map((_, index) => index).filter((index) => demands[index]!.demand > 0);
  while (unmet.length > 0 && remaining > 0) {
    const weightSum = unmet.reduce((sum, index) => sum + demands[index]!.weight, 0);
    const perWeight = remaining / weightSum;
    const satisfied = unmet.filter((index) =>
      demands[index]!.demand <= perWeight * demands[index]!.weight
    );
    if (satisfied.length === 0) {
      for (const index of unmet) parts[index] = perWeight * demands[index]!.weight;
      return parts;
    }
    for (const index of satisfied) {
      parts[index] = demands[index]!.demand;
      remaining -= demands[index]!.demand;
    }
    unmet = unmet.filter((index) => !satisfied.includes(index));
  }
  return parts;
}

/** Limits each team to its own share, even if others do not use theirs. */
export function divideWithoutBorrowing(
  capacity: number,
  demands: readonly WeightedDemand[],
): number[] {
  const weightSum = demands.reduce((sum, { weight }) => sum + weight, 0);
  return demands.map(({ weight, demand }) => Math.min(demand, capacity * weight / weightSum));
}
