/** Division of a whole number in proportion to weights. */

/** Options of `apportion`. */
export interface ApportionOptions {
  /** The whole number to divide. */
  total: number;
  /** The weights; none is negative. */
  weights: readonly number[];
  /**
   * The offset at which ties between remainders begin, so that resources favour different members.
   */
  rotation: number;
}

/**
 * Divides a whole number by the method of largest remainders. The parts add up to it unless all
 * weights are zero.
 */
export function apportion(options: ApportionOptions): number[] {
  const { total, weights, rotation } = options;
  const sum = weights.reduce((before, weight) => before + weight, 0);
  if (sum <= 0 || total <= 0) return weights.map(() => 0);
  const quotas = weights.map((weight) => total * weight / sum);
  const parts = quotas.map(Math.floor);
  let remaining = total - parts.reduce((before, part) => before + part, 0);
  for (const index of rankRemainders(quotas, rotation)) {
    if (remaining <= 0) break;
    if (weights[index] === 0) continue;
    parts[index]! += 1;
    remaining -= 1;
  }
  return parts;
}

function rankRemainders(quotas: readonly number[], rotation: number): number[] {
  const count = quotas.length;
  const getTieOrder = (index: number) => (index + rotation) % count;
  const getRemainder = (index: number) => quotas[index]! - Math.floor(quotas[index]!);
  return quotas.map((_, index) => index).sort((left, right) =>
    getRemainder(right) - getRemainder(left) || getTieOrder(left) - getTieOrder(right)
  );
}
