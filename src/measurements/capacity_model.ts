/** Models demand and host moves: demand peaks rotate over the pools, and one zone fails and returns. */

import type { CapacitySettings } from "../pools/capacity_settings.ts";
import type { DecideMoves, PoolNeed, PoolRegret } from "../pools/move_decision.ts";
import { DemandHistory, getTargetHosts } from "../pools/pool_size.ts";
import { getReturnWeight } from "../zones/zone_return.ts";
import { type Deployment, SLOTS_PER_EXECUTOR } from "./deployments.ts";

/** How long the demand peak stays with one pool before it passes to the next. */
const PEAK_SECONDS = 10;

/** Peak demand, as a multiple of the mean. */
const PEAK_FACTOR = 5;

/** Demand outside the peak, as a multiple of the mean. */
const OFF_PEAK_FACTOR = 1 / 20;

/** Mean demand, as a fraction of the pool's slots; a peak exceeds the pool's capacity. */
const MEAN_DEMAND_FRACTION = 0.3;

/** Queue limit of a pool, as seconds of its capacity; work beyond it is refused. */
const QUEUE_LIMIT_SECONDS = 2;

/** How long a moving host serves no pool. */
const MOVE_SECONDS = 7;

/** Interval between move decisions. */
const DECISION_INTERVAL_SECONDS = 5;

/** Length of one window of the demand history. */
const HISTORY_WINDOW_SECONDS = 120;

/** Random variation of demand, as a fraction of its value. */
const DEMAND_NOISE_FRACTION = 0.2;

/** When the zone fails and returns, as fractions of the run. */
const ZONE_LOSS_FRACTION = 0.4;
const ZONE_RETURN_FRACTION = 0.6;

/** How long after the zone's return work is still counted towards the zone loss. */
const RECOVERY_SECONDS = 60;

/** Options for `runCapacityModel`. */
export interface CapacityModelOptions {
  /** The deployment to model. */
  deployment: Deployment;
  /** Decides which hosts move between pools. */
  decideMoves: DecideMoves;
  /** Simulated length of the run, in seconds. */
  seconds: number;
  /** Returns a random number from 0 to 1. */
  random: () => number;
}

/** Result of `runCapacityModel`. */
export interface CapacityModelResult {
  /** Mean number of idle hosts in the service pools. */
  meanIdleHosts: number;
  /** Number of moves. */
  moves: number;
  /** Slot-seconds served, as a fraction of those due by max-min fair shares of the whole fleet. */
  fairShareFraction: number;
  /** Fraction of the services' demand served while the zone was out and during recovery. */
  zoneLossServedFraction: number;
  /** Fraction of the services' demand served over the whole run. */
  servedFraction: number;
  /** Fraction of the spare pool's own demand served over the whole run. */
  spareServedFraction: number;
}

interface ModelHost {
  host: string;
  zone: string;
  pool: string;
  availableAt: number;
}

interface Totals {
  idle: number;
  moves: number;
  entitled: number;
  got: number;
  demand: number;
  served: number;
  zoneDemand: number;
  zoneServed: number;
  spareDemand: number;
  spareServed: number;
}

/** Runs the model in steps of one second. */
export function runCapacityModel(options: CapacityModelOptions): CapacityModelResult {
  const { deployment, seconds } = options;
  const model = createModel(deployment);
  const totals: Totals = {
    idle: 0,
    moves: 0,
    entitled: 0,
    got: 0,
    demand: 0,
    served: 0,
    zoneDemand: 0,
    zoneServed: 0,
    spareDemand: 0,
    spareServed: 0,
  };
  let regrets = new Map<string, PoolRegret>();
  for (let now = 0; now < seconds; now += 1) {
    const zone = getZoneWeight(now, seconds);
    serveSecond(model, options, now, zone, totals);
    if (now % HISTORY_WINDOW_SECONDS === HISTORY_WINDOW_SECONDS - 1) {
      for (const pool of model.pools) pool.history.rotate();
    }
    if (now % DECISION_INTERVAL_SECONDS !== 0 || now === 0) continue;
    const pools = model.pools.map((pool) => createPoolNeed(model, pool, now, zone));
    const decision = options.decideMoves({ seconds: DECISION_INTERVAL_SECONDS, pools, regrets });
    regrets = decision.regrets;
    totals.moves += decision.moves.length;
    for (const move of decision.moves) {
      const host = model.hosts.find((each) => each.host === move.host)!;
      Object.assign(host, { pool: move.to, availableAt: now + MOVE_SECONDS });
    }
  }
  return createResult(totals, seconds);
}

function createResult(totals: Totals, seconds: number): CapacityModelResult {
  return {
    meanIdleHosts: totals.idle / SLOTS_PER_EXECUTOR / seconds,
    moves: totals.moves,
    fairShareFraction: totals.got / totals.entitled,
    zoneLossServedFraction: totals.zoneServed / totals.zoneDemand,
    servedFraction: totals.served / totals.demand,
    spareServedFraction: totals.spareServed / totals.spareDemand,
  };
}

interface ModelPool {
  pool: string;
  settings: CapacitySettings;
  initialHosts: number;
  history: DemandHistory;
  waiting: number;
}

interface Model {
  hosts: ModelHost[];
  pools: ModelPool[];
  failingZone: string;
}

function createModel(deployment: Deployment): Model {
  const { zones, sparePool } = deployment;
  const hosts = Object.entries(deployment.pools).flatMap(([pool, count]) =>
    Array.from({ length: count }, (_, index) => ({
      host: `${pool}-${index + 1}`,
      zone: zones[index % zones.length]!,
      pool,
      availableAt: 0,
    }))
  );
  const pools = Object.entries(deployment.pools).map(([pool, initialHosts]) => ({
    pool,
    settings: (pool === sparePool ? deployment.spareProfile : deployment.profile).capacity,
    initialHosts,
    history: DemandHistory.create(),
    waiting: 0,
  }));
  return { hosts, pools, failingZone: zones[0]! };
}

/** Gets the load weight of the failing zone: 1 in service, 0 while it is out, rising after its return. */
function getZoneWeight(now: number, seconds: number): number {
  if (now < seconds * ZONE_LOSS_FRACTION) return 1;
  if (now < seconds * ZONE_RETURN_FRACTION) return 0;
  return getReturnWeight((now - seconds * ZONE_RETURN_FRACTION) * 1_000);
}

function getDemand(model: Model, index: number, now: number, random: () => number): number {
  const pool = model.pools[index]!;
  const mean = pool.initialHosts * SLOTS_PER_EXECUTOR * MEAN_DEMAND_FRACTION;
  const isPeak = Math.floor(now / PEAK_SECONDS) % model.pools.length === index;
  const noise = 1 + DEMAND_NOISE_FRACTION * (2 * random() - 1);
  return mean * (isPeak ? PEAK_FACTOR : OFF_PEAK_FACTOR) * noise;
}

function serveSecond(
  model: Model,
  options: CapacityModelOptions,
  now: number,
  zoneWeight: number,
  totals: Totals,
): void {
  const { seconds, random, deployment } = options;
  const isZoneLossPeriod = now >= seconds * ZONE_LOSS_FRACTION &&
    now < seconds * ZONE_RETURN_FRACTION + RECOVERY_SECONDS;
  const demands: number[] = [];
  const served: number[] = [];
  let fleetCapacity = 0;
  for (const [index, pool] of model.pools.entries()) {
    const demand = getDemand(model, index, now, random);
    const capacity = getCapacity(model, pool.pool, now, zoneWeight);
    const wanted = demand + pool.waiting;
    const done = Math.min(wanted, capacity);
    pool.waiting = Math.min(wanted - done, QUEUE_LIMIT_SECONDS * capacity);
    pool.history.add(demand);
    demands.push(wanted);
    served.push(done);
    fleetCapacity += capacity;
    if (pool.pool === deployment.sparePool) {
      totals.spareDemand += demand;
      totals.spareServed += done;
      continue;
    }
    totals.idle += capacity - done;
    totals.demand += demand;
    totals.served += done;
    if (!isZoneLossPeriod) continue;
    totals.zoneDemand += demand;
    totals.zoneServed += done;
  }
  addFairShares(model, demands, served, fleetCapacity, totals);
}

/** Adds each pool's max-min fair share of the fleet's slots, and what the pool got of that share. */
function addFairShares(
  model: Model,
  demands: readonly number[],
  served: readonly number[],
  capacity: number,
  totals: Totals,
): void {
  const weights = model.pools.map((pool) => pool.initialHosts * pool.settings.spareShare);
  const fairShares = divideCapacityMaxMin(demands, weights, capacity);
  for (const [index, entitled] of fairShares.entries()) {
    totals.entitled += entitled;
    totals.got += Math.min(entitled, served[index]!);
  }
}

/** Divides a capacity by weighted max-min fairness. */
export function divideCapacityMaxMin(
  demands: readonly number[],
  weights: readonly number[],
  capacity: number,
): number[] {
  const shares = demands.map(() => 0);
  let open = demands.map((_, index) => index);
  let left = capacity;
  while (open.length > 0 && left > 1e-9) {
    const weight = open.reduce((sum, index) => sum + weights[index]!, 0);
    const level = left / weight;
    const filled = open.filter((index) => demands[index]! <= level * weights[index]!);
    if (filled.length === 0) {
      for (const index of open) shares[index] = level * weights[index]!;
      return shares;
    }
    for (const index of filled) {
      shares[index] = demands[index]!;
      left -= demands[index]!;
    }
    open = open.filter((index) => !filled.includes(index));
  }
  return shares;
}

function getCapacity(model: Model, pool: string, now: number, zoneWeight: number): number {
  let slots = 0;
  for (const host of model.hosts) {
    if (host.pool !== pool || host.availableAt > now) continue;
    slots += SLOTS_PER_EXECUTOR * (host.zone === model.failingZone ? zoneWeight : 1);
  }
  return slots;
}

function createPoolNeed(model: Model, pool: ModelPool, now: number, zoneWeight: number): PoolNeed {
  const own = model.hosts.filter((host) => host.pool === pool.pool);
  const isZoneOut = zoneWeight === 0 && own.some((host) => host.zone === model.failingZone);
  const inLiveZones = own.filter((host) => zoneWeight > 0 || host.zone !== model.failingZone);
  const zones = new Set(inLiveZones.map((host) => host.zone)).size;
  const neededSlots = pool.history.getQuantile(pool.settings.demandQuantile);
  return {
    pool: pool.pool,
    settings: pool.settings,
    targetHosts: getTargetHosts({
      settings: pool.settings,
      neededSlots,
      slotsPerHost: SLOTS_PER_EXECUTOR,
      zones,
      isZoneOut,
    }),
    hosts: inLiveZones.filter((host) => host.availableAt <= now),
    arrivingHosts: inLiveZones.filter((host) => host.availableAt > now).length,
    isZoneOut,
  };
}
