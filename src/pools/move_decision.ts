/** Which hosts move between pools: a move must have been worth its cost before it is made. */

import type { CapacitySettings } from "./capacity_settings.ts";

/** A host that may move. */
export interface MovableHost {
  /** The name. */
  host: string;
  /** The availability zone. */
  zone: string;
}

/** What a pool has and needs. */
export interface PoolNeed {
  /** The name of the pool. */
  pool: string;
  /** The settings of its profile. */
  settings: CapacitySettings;
  /** The hosts that it needs, in zones that are in. */
  targetHosts: number;
  /** The hosts that serve in zones that are in. */
  hosts: readonly MovableHost[];
  /** The hosts that are on their way to it. */
  arrivingHosts: number;
  /** Whether a zone of the pool is out. */
  isZoneLost: boolean;
}

/** What a pool has missed and had too much of since its size last fitted, in host-seconds. */
export interface PoolRegret {
  /** The host-seconds that were missing, weighed by their urgency. */
  missing: number;
  /** The host-seconds that were idle, weighed by their urgency. */
  idle: number;
}

/** What moves are decided from. */
export interface MoveOptions {
  /** The seconds since the last decision. */
  seconds: number;
  /** All pools. */
  pools: readonly PoolNeed[];
  /** The regrets by pool that the last decision left. */
  regrets: ReadonlyMap<string, PoolRegret>;
}

/** A move of a host between pools. */
export interface HostMove {
  /** The host. */
  host: string;
  /** The pool that it leaves. */
  from: string;
  /** The pool that it joins. */
  to: string;
}

/** Moves, and the regrets from which the next decision starts. */
export interface MoveDecision {
  /** The moves. */
  moves: HostMove[];
  /** The regrets by pool. */
  regrets: Map<string, PoolRegret>;
}

/** Decides which hosts move. */
export type DecideMoves = (options: MoveOptions) => MoveDecision;

/**
 * Moves hosts of spare pools to pools that miss them, and idle hosts back, once the regret has reached
 * the cost of a move. Like renting until the rent has reached the price, this is never worse than twice
 * the best in hindsight, and a spike or lull of seconds moves nothing.
 */
export function decideMoves(options: MoveOptions): MoveDecision {
  const regrets = new Map(
    options.pools.map((need) => [need.pool, addRegret(need, options)] as const),
  );
  const moves = [...shareSpares(options.pools, regrets), ...giveBack(options.pools, regrets)];
  return { moves, regrets };
}

/** Gets how many hosts a pool misses; a negative number says how many it has beyond its need. */
export function getHostShortage(need: PoolNeed): number {
  return need.targetHosts - need.hosts.length - need.arrivingHosts;
}

function addRegret(need: PoolNeed, options: MoveOptions): PoolRegret {
  const before = options.regrets.get(need.pool) ?? { missing: 0, idle: 0 };
  const missing = getHostShortage(need);
  const { zoneLossUrgency, idleUrgency } = need.settings;
  if (missing > 0) {
    const urgency = need.isZoneLost ? zoneLossUrgency : 1;
    return { missing: before.missing + missing * urgency * options.seconds, idle: 0 };
  }
  if (missing === 0) return { missing: 0, idle: 0 };
  return { missing: 0, idle: before.idle - missing * idleUrgency * options.seconds };
}

/** Gives spares one by one to the pool that misses the largest part of its need, weighed by its share. */
function shareSpares(
  pools: readonly PoolNeed[],
  regrets: Map<string, PoolRegret>,
): HostMove[] {
  const spares = pools.filter((need) => need.settings.isSparePool).flatMap((need) =>
    need.hosts.slice(0, Math.max(0, -getHostShortage(need)))
      .map((host) => ({ ...host, pool: need.pool }))
  );
  const due = pools.filter((need) => !need.settings.isSparePool && isMoveDue(need, regrets));
  const claims = due.map((need) => ({ need, missing: getHostShortage(need), given: 0 }));
  const moves: HostMove[] = [];
  while (spares.length > 0) {
    const [claim] = claims.filter((each) => each.missing > each.given)
      .sort((a, b) => getClaim(b) - getClaim(a) || (a.need.pool < b.need.pool ? -1 : 1));
    if (claim === undefined) break;
    const [spare] = spares.splice(findSpare(spares, claim.need), 1);
    moves.push({ host: spare!.host, from: spare!.pool, to: claim.need.pool });
    claim.given += 1;
    regrets.set(claim.need.pool, { missing: 0, idle: 0 });
  }
  return moves;
}

function isMoveDue(need: PoolNeed, regrets: ReadonlyMap<string, PoolRegret>): boolean {
  const regret = regrets.get(need.pool)?.missing ?? 0;
  return regret > 0 && regret >= need.settings.moveCostHostSeconds;
}

function getClaim(claim: { need: PoolNeed; missing: number; given: number }): number {
  const part = (claim.missing - claim.given) / claim.need.targetHosts;
  return part * claim.need.settings.spareShare;
}

/** Gets the index of the spare in the zone in which the pool has the fewest hosts. */
function findSpare(
  spares: readonly (MovableHost & { pool: string })[],
  need: PoolNeed,
): number {
  const counts = countByZone(need.hosts);
  let best = 0;
  for (const [index, spare] of spares.entries()) {
    const fewest = counts.get(spares[best]!.zone) ?? 0;
    if ((counts.get(spare.zone) ?? 0) < fewest) best = index;
  }
  return best;
}

/** Gives one idle host of each pool back, from the zone in which the pool has the most. */
function giveBack(pools: readonly PoolNeed[], regrets: Map<string, PoolRegret>): HostMove[] {
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

/** Moves nothing: the spare pool helps nobody. A baseline. */
export const decideNoMoves: DecideMoves = () => ({ moves: [], regrets: new Map() });

/** Moves at once, whatever it costs: a baseline. */
export const decideWithoutHysteresis: DecideMoves = (options) =>
  decideMoves({
    ...options,
    pools: options.pools.map((need) => ({
      ...need,
      settings: { ...need.settings, moveCostHostSeconds: 0 },
    })),
  });

/** Creates the decision that holds each pool at the size it began with: a baseline. */
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
