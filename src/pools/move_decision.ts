/** Decides which hosts move between pools, with hysteresis: a move must be worth its cost. */

import type { CapacitySettings } from "./capacity_settings.ts";

/** A host that can be moved. */
export interface MovableHost {
  /** The name. */
  host: string;
  /** The availability zone. */
  zone: string;
}

/** The hosts that a pool has and needs. */
export interface PoolNeed {
  /** The name of the pool. */
  pool: string;
  /** The settings of its profile. */
  settings: CapacitySettings;
  /** The number of hosts that it needs in zones that are in service. */
  targetHosts: number;
  /** The serving hosts in zones that are in service. */
  hosts: readonly MovableHost[];
  /** The number of hosts that are being moved to it. */
  arrivingHosts: number;
  /** Whether a zone of the pool is out of service. */
  isZoneOut: boolean;
}

/**
 * The regret of a pool, in host-seconds: the shortage and the idleness accumulated since the pool last
 * had its target size or a move.
 */
export interface PoolRegret {
  /** The host-seconds of shortage, weighted by urgency. */
  missing: number;
  /** The host-seconds of idleness, weighted by urgency. */
  idle: number;
}

/** The options of a decision on moves. */
export interface MoveOptions {
  /** The seconds since the last decision. */
  seconds: number;
  /** All pools. */
  pools: readonly PoolNeed[];
  /** The regrets by pool after the last decision. */
  regrets: ReadonlyMap<string, PoolRegret>;
}

/** A move of a host between pools. */
export interface HostMove {
  /** The host. */
  host: string;
  /** The source pool. */
  from: string;
  /** The destination pool. */
  to: string;
}

/** The moves, and the regrets to pass to the next decision. */
export interface MoveDecision {
  /** The moves. */
  moves: HostMove[];
  /** The regrets by pool. */
  regrets: Map<string, PoolRegret>;
}

/** Decides which hosts to move. */
export type DecideMoves = (options: MoveOptions) => MoveDecision;

/**
 * Moves hosts from spare pools to pools with a shortage, and idle hosts back, once the regret has reached
 * the cost of a move. This is the break-even strategy of the ski rental problem: its cost is at most
 * twice that of the optimal decision in hindsight. Spikes and lulls of a few seconds move nothing.
 */
export function decideMoves(options: MoveOptions): MoveDecision {
  const regrets = new Map(
    options.pools.map((need) => [need.pool, addRegret(need, options)] as const),
  );
  const moves = [
    ...assignSpares(options.pools, regrets),
    ...returnIdleHosts(options.pools, regrets),
  ];
  return { moves, regrets };
}

/** Gets how many hosts a pool lacks; a negative number means that it has too many. */
export function getHostShortage(need: PoolNeed): number {
  return need.targetHosts - need.hosts.length - need.arrivingHosts;
}

function addRegret(need: PoolNeed, options: MoveOptions): PoolRegret {
  const before = options.regrets.get(need.pool) ?? { missing: 0, idle: 0 };
  const missing = getHostShortage(need);
  const { zoneLossUrgency, idleUrgency } = need.settings;
  if (missing > 0) {
    const urgency = need.isZoneOut ? zoneLossUrgency : 1;
    return { missing: before.missing + missing * urgency * options.seconds, idle: 0 };
  }
  if (missing === 0) return { missing: 0, idle: 0 };
  return { missing: 0, idle: before.idle - missing * idleUrgency * options.seconds };
}

/**
 * Assigns spare hosts one by one to the pool with the largest relative shortage, weighted by its spare
 * share.
 */
function assignSpares(
  pools: readonly PoolNeed[],
  regrets: Map<string, PoolRegret>,
): HostMove[] {
  const spares = pools.filter((need) => need.settings.isSparePool).flatMap((need) =>
    need.hosts.slice(0, Math.max(0, -getHostShortage(need)))
      .map((host) => ({ ...host, pool: need.pool }))
  );
  const eligible = pools.filter((need) =>
    !need.settings.isSparePool && isMoveWorthwhile(need, regrets)
  );
  const shortages = eligible.map((need) => ({ need, missing: getHostShortage(need), assigned: 0 }));
  const moves: HostMove[] = [];
  while (spares.length > 0) {
    const [largest] = shortages.filter((each) => each.missing > each.assigned)
      .sort((a, b) => getPriority(b) - getPriority(a) || (a.need.pool < b.need.pool ? -1 : 1));
    if (largest === undefined) break;
    const [spare] = spares.splice(findSpare(spares, largest.need), 1);
    moves.push({ host: spare!.host, from: spare!.pool, to: largest.need.pool });
    largest.assigned += 1;
    regrets.set(largest.need.pool, { missing: 0, idle: 0 });
  }
  return moves;
}

function isMoveWorthwhile(need: PoolNeed, regrets: ReadonlyMap<string, PoolRegret>): boolean {
  const regret = regrets.get(need.pool)?.missing ?? 0;
  return regret > 0 && regret >= need.settings.moveCostHostSeconds;
}

function getPriority(shortage: { need: PoolNeed; missing: number; assigned: number }): number {
  const fraction = (shortage.missing - shortage.assigned) / shortage.need.targetHosts;
  return fraction * shortage.need.settings.spareShare;
}

/** Gets the index of the spare in the zone in which the pool has the fewest hosts. */
function findSpare(
  spares: readonly (MovableHost & { pool: string })[],
  need: PoolNeed,
): number {
  const counts = countByZone(need.hosts);
  let best = 0;
  for (const [index, spare] of spares.entries()) {
    const minimum = counts.get(spares[best]!.zone) ?? 0;
    if ((counts.get(spare.zone) ?? 0) < minimum) best = index;
  }
  return best;
}

/** Returns one idle host of each pool, from the zone in which the pool has the most hosts. */
function returnIdleHosts(pools: readonly PoolNeed[], regrets: Map<string, PoolRegret>): HostMove[] {
  const spare = pools.find((need) => need.settings.isSparePool);
  if (spare === undefined) return [];
  const moves: HostMove[] = [];
  for (const need of pools) {
    const idle = regrets.get(need.pool)?.idle ?? 0;
    if (need.settings.isSparePool || idle === 0) continue;
    if (idle < need.settings.moveCostHostSeconds || need.hosts.length <= 1) continue;
    const counts = countByZone(need.hosts);
    const [host] = [...need.hosts].sort((a, b) =>
      (counts.get(b.zone) ?? 0) - (counts.get(a.zone) ?? 0) || (a.host < b.host ? 1 : -1)
    );
    moves.push({ host: host!.host, from: need.pool, to: spare.pool });
    regrets.set(need.pool, { missing: 0, idle: 0 });
  }
  return moves;
}

function countByZone(hosts: readonly MovableHost[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { zone } of hosts) counts.set(zone, (counts.get(zone) ?? 0) + 1);
  return counts;
}

/** Moves nothing. A baseline for comparison. */
export const decideNoMoves: DecideMoves = () => ({ moves: [], regrets: new Map() });

/** Moves hosts at once, regardless of the cost of a move. A baseline for comparison. */
export const decideWithoutHysteresis: DecideMoves = (options) =>
  decideMoves({
    ...options,
    pools: options.pools.map((need) => ({
      ...need,
      settings: { ...need.settings, moveCostHostSeconds: 0 },
    })),
  });

/** Creates a decision that keeps each pool at a fixed size. A baseline for comparison. */
export function createFixedSizeDecision(sizes: ReadonlyMap<string, number>): DecideMoves {
  return (options) =>
    decideMoves({
      ...options,
      pools: options.pools.map((need) => ({
        ...need,
        targetHosts: sizes.get(need.pool) ?? need.targetHosts,
      })),
    });
}
