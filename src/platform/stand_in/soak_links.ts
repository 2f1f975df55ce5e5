/** The links between the hosts and the executors of a soak, of which some are cut or slow. */

import { setTimeout as delay } from "node:timers/promises";

const MAXIMUM_CUT_MILLISECONDS = 8_000;
const MAXIMUM_LATE_PERIOD_MILLISECONDS = 8_000;
const MINIMUM_LATENESS_MILLISECONDS = 2_000;
const MAXIMUM_LATENESS_MILLISECONDS = 12_000;
const MAXIMUM_LATE_FRACTION = 0.6;
/** The probability that a fault affects all hosts, or all executors. */
const ALL_PROBABILITY = 0.5;
/** The probability that a fault that affects a part of them affects a certain one. */
const MEMBER_PROBABILITY = 0.5;

/** The directions in which a cut link loses what is sent. */
export const CutDirection = {
  Both: "both",
  Requests: "requests",
  Answers: "answers",
} as const;
export type CutDirection = typeof CutDirection[keyof typeof CutDirection];

/** The hosts and the executors between which a fault acts. */
export interface LinkEnds {
  /** The addresses from which the hosts connect. */
  hosts: ReadonlySet<string>;
  /** The ids of the executors. */
  executors: ReadonlySet<string>;
}

interface LinkCut extends LinkEnds {
  direction: CutDirection;
}

interface LatePeriod extends LinkEnds {
  getLateness: () => number;
}

/** Owns the cuts of links, and the periods in which orders are carried out late. */
export class SoakLinks {
  /** The numbers of orders and answers that were affected. */
  readonly counts = { "lost orders": 0, "lost answers": 0, "orders carried out late": 0 };
  readonly #cuts = new Set<LinkCut>();
  readonly #latePeriods = new Set<LatePeriod>();

  private constructor() {}

  /** Creates links that carry everything in time. */
  static create(): SoakLinks {
    return new SoakLinks();
  }

  /** Chooses all members or a part of them, as hosts or executors that a fault affects. */
  static choosePart(members: readonly string[], random: () => number): ReadonlySet<string> {
    if (random() < ALL_PROBABILITY) return new Set(members);
    const part = members.filter(() => random() < MEMBER_PROBABILITY);
    return new Set(part.length > 0 ? part : members);
  }

  /** Cuts links for a while, in one direction or both. */
  async cut(ends: LinkEnds, random: () => number): Promise<void> {
    const directions = Object.values(CutDirection);
    const direction = directions[Math.floor(random() * directions.length)]!;
    const cut = { ...ends, direction };
    this.#cuts.add(cut);
    await delay(random() * MAXIMUM_CUT_MILLISECONDS);
    this.#cuts.delete(cut);
  }

  /** Has a part of the orders left unanswered and carried out late, for a while. */
  async delayOrders(ends: LinkEnds, random: () => number): Promise<void> {
    const period = random() * MAXIMUM_LATE_PERIOD_MILLISECONDS;
    const fraction = random() * MAXIMUM_LATE_FRACTION;
    const range = MAXIMUM_LATENESS_MILLISECONDS - MINIMUM_LATENESS_MILLISECONDS;
    const getLateness = () =>
      random() < fraction ? MINIMUM_LATENESS_MILLISECONDS + random() * range : 0;
    const latePeriod = { ...ends, getLateness };
    this.#latePeriods.add(latePeriod);
    await delay(period);
    this.#latePeriods.delete(latePeriod);
  }

  /**
   * Gets how late an executor carries out an order that it then leaves unanswered, in milliseconds:
   * 0 for one that is carried out and answered in time, `Infinity` for one that is lost.
   */
  getLateness(host: string, executor: string): number {
    const isLost = [...this.#cuts].some((cut) =>
      cut.direction !== CutDirection.Answers && isBetween(cut, host, executor)
    );
    if (isLost) {
      this.counts["lost orders"] += 1;
      return Infinity;
    }
    for (const period of this.#latePeriods) {
      const lateness = isBetween(period, host, executor) ? period.getLateness() : 0;
      if (lateness === 0) continue;
      this.counts["orders carried out late"] += 1;
      return lateness;
    }
    return 0;
  }

  /** Gets whether an executor's answer that is sent now is lost. */
  isAnswerLost(host: string, executor: string): boolean {
    const isLost = [...this.#cuts].some((cut) =>
      cut.direction !== CutDirection.Requests && isBetween(cut, host, executor)
    );
    if (isLost) this.counts["lost answers"] += 1;
    return isLost;
  }
}

function isBetween({ hosts, executors }: LinkEnds, host: string, executor: string): boolean {
  return hosts.has(host) && executors.has(executor);
}
