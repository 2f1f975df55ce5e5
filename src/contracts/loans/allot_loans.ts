/** How a keeper divides the permits of a resource over the members. */

import { apportion } from "./apportion.ts";

/** The deviation from the goal, as a fraction, up to which no permits are moved. */
const TOLERANCE_FRACTION = 0.2;

/** The demand and the permits of one member. */
export interface LoanDemand {
  /** The permits that it could use. */
  demand: number;
  /** The permits that are currently allotted to it. */
  total: number;
}

/** Options of an `AllotLoans`. */
export interface AllotLoansOptions {
  /** The permits to divide. */
  capacity: number;
  /** The members, in the order of their member ids. */
  demands: readonly LoanDemand[];
  /**
   * The number of the turn, by which members alternate when there are fewer permits than members.
   */
  turn: number;
  /** An offset that differs between resources, so that ties don't all go to the same member. */
  rotation: number;
}

/** Divides the capacity: gets a total for each member, which add up to at most the capacity. */
export type AllotLoans = (options: AllotLoansOptions) => number[];

/**
 * Divides by demand. Permits without demand are spread over the members, so that the first
 * request at a member needs no round trip to the keeper.
 */
export function allotByDemand(options: AllotLoansOptions): number[] {
  const demand = sum(options.demands.map((member) => member.demand));
  if (demand <= options.capacity) return meetAllDemands(options);
  const demandingCount = options.demands.filter((member) => member.demand > 0).length;
  if (demandingCount > options.capacity) return takeTurns(options);
  return divideProportionally(options, demandingCount);
}

/** Divides evenly, independent of demand: the baseline of a fixed split. */
export function allotEvenly(options: AllotLoansOptions): number[] {
  const { capacity, demands, rotation } = options;
  return apportion({ total: capacity, weights: demands.map(() => 1), rotation });
}

/** Gives each member its demand and nothing in advance: the baseline of asking for each request. */
export function allotOnRequest(options: AllotLoansOptions): number[] {
  let remaining = options.capacity;
  return options.demands.map(({ demand }) => {
    const total = Math.min(demand, remaining);
    remaining -= total;
    return total;
  });
}

/** Moves the fewest permits that meet every demand, and spreads those that are not lent. */
function meetAllDemands(options: AllotLoansOptions): number[] {
  const { capacity, demands, rotation } = options;
  const needs = demands.map(({ demand, total }) => Math.max(0, demand - total));
  const surpluses = demands.map(({ demand, total }) => Math.max(0, total - demand));
  const need = sum(needs);
  const unlent = capacity - sum(demands.map((member) => member.total));
  const taken = apportion({
    total: Math.max(0, need - unlent),
    weights: surpluses,
    rotation,
  });
  const spread = apportion({
    total: Math.max(0, unlent - need),
    weights: demands.map(() => 1),
    rotation,
  });
  return demands.map(({ total }, index) => total + needs[index]! - taken[index]! + spread[index]!);
}

/**
 * Gives one permit each to as many members as there are permits, starting one further each turn.
 */
function takeTurns(options: AllotLoansOptions): number[] {
  const { capacity, demands, turn, rotation } = options;
  const totals = demands.map(() => 0);
  const demanding = demands.flatMap((member, index) => member.demand > 0 ? [index] : []);
  for (let count = 0; count < capacity; count += 1) {
    totals[demanding[(turn + rotation + count) % demanding.length]!] = 1;
  }
  return totals;
}

/**
 * Gives one permit to each member with demand, and the rest in proportion to the demand above that.
 */
function divideProportionally(options: AllotLoansOptions, demandingCount: number): number[] {
  const { capacity, demands, rotation } = options;
  const weights = demands.map(({ demand }) => Math.max(0, demand - 1));
  const rest = apportion({ total: capacity - demandingCount, weights, rotation });
  const goals = demands.map(({ demand }, index) => rest[index]! + (demand > 0 ? 1 : 0));
  return isWithinTolerance(options, goals) ? demands.map((member) => member.total) : goals;
}

function isWithinTolerance(options: AllotLoansOptions, goals: readonly number[]): boolean {
  const { capacity, demands } = options;
  if (sum(demands.map((member) => member.total)) !== capacity) return false;
  return demands.every(({ total, demand }, index) => {
    const goal = goals[index]!;
    if ((demand > 0) !== (total > 0)) return false;
    return Math.abs(total - goal) <= Math.max(1, goal * TOLERANCE_FRACTION);
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((before, value) => before + value, 0);
}
