/** A small model of demand and moves: pools whose queues spike in turn, and a zone that leaves and returns. */

import type { CapacitySettings } from "../pools/capacity_settings.ts";
import type { DecideMoves, PoolNeed, PoolRegret } from "../pools/move_decision.ts";
import { DemandHistory, getTargetHosts } from "../pools/pool_size.ts";
import { getReturnWeight } from "../zones/zone_return.ts";
import { type Deployment, SLOTS_PER_EXECUTOR } from "./deployments.ts";

/** How long the queue of one pool spikes before the next one's does, in seconds. */
const SPIKE_SECONDS = 10;

/** How much a spike is over the mean. */
const SPIKE_FACTOR = 5;

/** How much a lull is of the mean. */
const LULL_FACTOR = 1 / 20;

/** The mean demand, as a part of what a pool holds: a spike is beyond it. */
const MEAN_PART = 0.3;

/** How long work waits before it is refused, in seconds of what the pool holds. */
const QUEUE_SECONDS = 2;

/** How long a host is of no use while it moves, in seconds. */
const MOVE_SECONDS = 7;

/** The time between two decisions on moves, in seconds. */
const DECISION_SECONDS = 5;

/** The window of the history of demand, in seconds. */
const WINDOW_SECONDS = 120;

/** How demand varies from its pattern, as a fraction. */
const NOISE = 0.2;

/** When the zone leaves and returns, as parts of the run. */
const ZONE_LEAVES = 0.4;
const ZONE_RETURNS = 0.6;

/** How long after the return work still counts as that of the zone's loss, in seconds. */
const AFTER_RETURN_SECONDS = 60;

/** Options of `runCapacityModel`. */
export interface CapacityModelOptions {
  /** The deployment. */
  deployment: Deployment;
  /** How moves are decided. */
  decideMoves: DecideMoves;
  /** The length of the run in seconds. */
  seconds: number;
  /** A random source, 0 to 1. */
  random: () => number;
}

/** The measures of a run. */
export interface CapacityModelResult {
  /** The hosts of the service pools that were idle on average. */
  meanIdleHosts: number;
  /** The moves. */
  moves: number;
  /** The slot-seconds that teams got of those that their shares of the whole fleet entitle them to, 0 to 1. */
  fairShareFraction: number;
  /** The part of the services' work done while the zone was out and just after. */
  zoneLossServedFraction: number;
  /** The part of the services' work done over the whole run. */
  servedFraction: number;
  /** The part of the spare pool's own work done over the whole run. */
  spareServedFraction: number;
}

interface ModelHost {
  host: string;
  zone: string;
  pool: string;
  arrivesAt: number;
}

interface Sums {
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

/** Runs the model second by second. */
export function runCapacityModel(options: CapacityModelOptions): CapacityModelResult {
  const { deployment, seconds } = options;
  const model = createModel(deployment);
  const sums: Sums = {
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
    serveSecond(model, options, now, zone, sums);
    if (now % WINDOW_SECONDS === WINDOW_SECONDS - 1) {
      for (const pool of model.pools) pool.history.rotate();
    }
    if (now % DECISION_SECONDS !== 0 || now === 0) continue;
    const pools = model.pools.map((pool) => createNeed(model, pool, now, zone));
    const decision = options.decideMoves({ seconds: DECISION_SECONDS, pools, regrets });
    regrets = decision.regrets;
    sums.moves += decision.moves.length;
    for (const move of decision.moves) {
      const host = model.hosts.find((each) => each.host === move.host)!;
      Object.assign(host, { pool: move.to, arrivesAt: now + MOVE_SECONDS });
    }
  }
  return createMeasures(sums, seconds);
}

function createMeasures(sums: Sums, seconds: number): CapacityModelResult {
  return {
    meanIdleHosts: sums.idle / SLOTS_PER_EXECUTOR / seconds,
    moves: sums.moves,
    fairShareFraction: sums.got / sums.entitled,
    zoneLossServedFraction: sums.zoneServed / sums.zoneDemand,
    servedFraction: sums.served / sums.demand,
    spareServedFraction: sums.spareServed / sums.spareDemand,
  };
}

interface ModelPool {
  pool: string;
  settings: CapacitySettings;
  firstHosts: number;
  history: DemandHistory;
  waiting: number;
}

interface Model {
  hosts: ModelHost[];
  pools: ModelPool[];
  outZone: string;
}

function createModel(deployment: Deployment): Model {
  const { zones, sparePool } = deployment;
  const hosts = Object.entries(deployment.pools).flatMap(([pool, count]) =>
    Array.from({ length: count }, (_, index) => ({
      host: `${pool}-${index + 1}`,
      zone: zones[index % zones.length]!,
      pool,
      arrivesAt: 0,
    }))
  );
  const pools = Object.entries(deployment.pools).map(([pool, firstHosts]) => ({
    pool,
    settings: (pool === sparePool ? deployment.spareProfile : deployment.profile).capacity,
    firstHosts,
    history: DemandHistory.create(),
    waiting: 0,
  }));
  return { hosts, pools, outZone: zones[0]! };
}

/** Gets the part of its work that the zone gets which leaves and returns. */
function getZoneWeight(now: number, seconds: number): number {
  if (now < seconds * ZONE_LEAVES) return 1;
  if (now < seconds * ZONE_RETURNS) return 0;
  return getReturnWeight((now - seconds * ZONE_RETURNS) * 1_000);
}

function getDemand(model: Model, index: number, now: number, random: () => number): number {
  const pool = model.pools[index]!;
  const mean = pool.firstHosts * SLOTS_PER_EXECUTOR * MEAN_PART;
  const isSpike = Math.floor(now / SPIKE_SECONDS) % model.pools.length === index;
  const noise = 1 + NOISE * (2 * random() - 1);
  return mean * (isSpike ? SPIKE_FACTOR : LULL_FACTOR) * noise;
}

function serveSecond(
  model: Model,
  options: CapacityModelOptions,
  now: number,
  zoneWeight: number,
  sums: Sums,
): void {
  const { seconds, random, deployment } = options;
  const isZoneTime = now >= seconds * ZONE_LEAVES &&
    now < seconds * ZONE_RETURNS + AFTER_RETURN_SECONDS;
  const demands: number[] = [];
  const served: number[] = [];
  let fleetCapacity = 0;
  for (const [index, pool] of model.pools.entries()) {
    const demand = getDemand(model, index, now, random);
    const capacity = getCapacity(model, pool.pool, now, zoneWeight);
    const wanted = demand + pool.waiting;
    const done = Math.min(wanted, capacity);
    pool.waiting = Math.min(wanted - done, QUEUE_SECONDS * capacity);
    pool.history.add(demand);
    demands.push(wanted);
    served.push(done);
    fleetCapacity += capacity;
    if (pool.pool === deployment.sparePool) {
      sums.spareDemand += demand;
      sums.spareServed += done;
      continue;
    }
    sums.idle += capacity - done;
    sums.demand += demand;
    sums.served += done;
    if (!isZoneTime) continue;
    sums.zoneDemand += demand;
    sums.zoneServed += done;
  }
  addShares(model, demands, served, fleetCapacity, sums);
}

/** Every pool with a right to the fleet's slots: what max-min fairness would give, and what it got of that. */
function addShares(
  model: Model,
  demands: readonly number[],
  served: readonly number[],
  capacity: number,
  sums: Sums,
): void {
  const weights = model.pools.map((pool) => pool.firstHosts * pool.settings.spareShare);
  const fair = divideCapacityMaxMin(demands, weights, capacity);
  for (const [index, entitled] of fair.entries()) {
    sums.entitled += entitled;
    sums.got += Math.min(entitled, served[index]!);
  }
}

/** Shares a capacity by weighted max-min fairness. */
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
    if (host.pool !== pool || host.arrivesAt > now) continue;
    slots += SLOTS_PER_EXECUTOR * (host.zone === model.outZone ? zoneWeight : 1);
  }
  return slots;
}

function createNeed(model: Model, pool: ModelPool, now: number, zoneWeight: number): PoolNeed {
  const own = model.hosts.filter((host) => host.pool === pool.pool);
  const isZoneOut = zoneWeight === 0 && own.some((host) => host.zone === model.outZone);
  const inZones = own.filter((host) => zoneWeight > 0 || host.zone !== model.outZone);
  const zones = new Set(inZones.map((host) => host.zone)).size;
  const neededSlots = pool.history.getQuantile(pool.settings.demandQuantile);
  return {
    pool: pool.pool,
    settings: pool.settings,
    targetHosts: getTargetHosts({
      settings: pool.settings,
      neededSlots,
      slotsPerHost: SLOTS_PER_EXECUTOR,
      zones,
      isZoneOut: isZoneOut,
    }),
    hosts: inZones.filter((host) => host.arrivesAt <= now),
    arrivingHosts: inZones.filter((host) => host.arrivesAt > now).length,
    isZoneOut: isZoneOut,
  };
}
