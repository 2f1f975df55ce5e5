import test from "ava";
import fc from "fast-check";
import { DEFAULT_CAPACITY_SETTINGS } from "./capacity_settings.ts";
import {
  type DecideMoves,
  decideMoves,
  decideWithoutHysteresis,
  getHostShortage,
  type MoveOptions,
  type PoolNeed,
  type PoolRegret,
} from "./move_decision.ts";
import { DemandHistory, getTargetHosts } from "./pool_size.ts";

const ZONES = ["gh-south-a", "gh-south-b", "gh-south-c"];

function createNeed(pool: string, hosts: number, targetHosts: number, more = {}): PoolNeed {
  return {
    pool,
    targetHosts,
    settings: { ...DEFAULT_CAPACITY_SETTINGS, ...more },
    hosts: Array.from({ length: hosts }, (_, index) => ({
      host: `${pool}-${index + 1}`,
      zone: ZONES[index % 3]!,
    })),
    arrivingHosts: 0,
    isZoneOut: false,
  };
}

/** Decides every ten seconds with constant needs, and gets the first moves with their times. */
function decideFor(seconds: number, pools: PoolNeed[], decide: DecideMoves): string[] {
  const lines: string[] = [];
  let regrets: ReadonlyMap<string, PoolRegret> = new Map();
  for (let now = 10; now <= seconds; now += 10) {
    const decision = decide({ seconds: 10, pools, regrets });
    regrets = decision.regrets;
    for (const move of decision.moves) lines.push(`${now} s: ${move.host} to ${move.to}`);
    if (lines.length > 0) break;
  }
  return lines;
}

const SPARES = { isSparePool: true };

test("hosts move once the regret reaches the cost, spares by shortage and share", (t) => {
  const spare = createNeed("backoffice", 6, 2, SPARES);
  const hotels = createNeed("hotels", 6, 8);
  const fewSpares = createNeed("backoffice", 6, 3, SPARES);
  const clinics = createNeed("clinics", 9, 11);
  t.snapshot({
    "a short spike moves nothing": decideFor(50, [spare, hotels], decideMoves),
    "a long shortage": decideFor(300, [spare, hotels], decideMoves),
    "a shortage after the loss of a zone": decideFor(300, [
      spare,
      { ...createNeed("hotels", 6, 8, { zoneLossUrgency: 10 }), isZoneOut: true },
    ], decideMoves),
    "shortages of two pools": decideFor(300, [fewSpares, hotels, clinics], decideMoves),
    "shortages of two pools with different shares": decideFor(300, [
      fewSpares,
      hotels,
      createNeed("clinics", 9, 11, { spareShare: 9 }),
    ], decideMoves),
    "idle hosts are returned": decideFor(300, [spare, createNeed("clinics", 9, 8)], decideMoves),
    "idle hosts with a low urgency stay": decideFor(300, [
      spare,
      createNeed("clinics", 9, 8, { idleUrgency: 0.25 }),
    ], decideMoves),
    "without hysteresis": decideFor(300, [spare, hotels], decideWithoutHysteresis),
  });
});

test("the size of a pool depends on demand, the loss of a zone and maintenance", (t) => {
  const base = { neededSlots: 60, slotsPerHost: 8, zones: 4, isZoneOut: false };
  const size = (more: object, settings: object) =>
    getTargetHosts({ ...base, ...more, settings: { ...DEFAULT_CAPACITY_SETTINGS, ...settings } });
  t.deepEqual({
    "four zones": size({}, {}),
    "half of the demand after the loss of a zone": size({}, { zoneLossTarget: 0.5 }),
    "one host for maintenance": size({}, { maintenanceHosts: 1 }),
    "a zone is out of service": size({ isZoneOut: true }, {}),
    "a single zone": size({ zones: 1 }, {}),
    "no demand": size({ neededSlots: 0 }, { zoneLossTarget: 0 }),
  }, {
    "four zones": 11,
    "half of the demand after the loss of a zone": 8,
    "one host for maintenance": 12,
    "a zone is out of service": 8,
    "a single zone": 8,
    "no demand": 1,
  });
});

test("demand older than two windows is dropped", (t) => {
  const history = DemandHistory.create();
  const quantiles = [history.getQuantile(0.99)];
  for (const slots of [100, 1, 1]) {
    history.add(slots);
    quantiles.push(history.getQuantile(1));
    history.rotate();
  }
  quantiles.push(history.getQuantile(1));
  t.deepEqual(quantiles, [0, 100, 100, 1, 1]);
});

const need = fc.record({
  hosts: fc.integer({ min: 0, max: 9 }),
  targetHosts: fc.integer({ min: 1, max: 12 }),
  arrivingHosts: fc.integer({ min: 0, max: 2 }),
  isZoneOut: fc.boolean(),
  isSparePool: fc.boolean(),
});

const needs = fc.array(need, { minLength: 2, maxLength: 6 }).map((drawn) =>
  drawn.map(({ hosts, targetHosts, arrivingHosts, isZoneOut, isSparePool }, index) => ({
    ...createNeed(`pool-${index}`, hosts, targetHosts, { isSparePool }),
    arrivingHosts,
    isZoneOut,
  }))
);

/** Checks that a host moves once, from its own pool, and that no pool gets or gives too many. */
function findViolations(options: MoveOptions, decide: DecideMoves): string[] {
  const { moves } = decide(options);
  const violations: string[] = [];
  const byPool = new Map(options.pools.map((each) => [each.pool, each]));
  const hosts = new Set(moves.map((move) => move.host));
  if (hosts.size !== moves.length) violations.push("a host moves twice");
  for (const move of moves) {
    const from = byPool.get(move.from)!;
    if (!from.hosts.some(({ host }) => host === move.host)) {
      violations.push(`${move.host} is not in the source pool`);
    }
    if (getHostShortage(from) >= 0) violations.push(`${move.from} gives what it needs`);
  }
  for (const [pool, each] of byPool) {
    const received = moves.filter((move) => move.to === pool).length;
    const given = moves.filter((move) => move.from === pool).length;
    if (!each.settings.isSparePool && received > Math.max(0, getHostShortage(each))) {
      violations.push(`${pool} gets more than its shortage`);
    }
    if (given > Math.max(0, -getHostShortage(each))) {
      violations.push(`${pool} gives more than its surplus`);
    }
  }
  return violations;
}

const MOVE_EVERY_FIRST_HOST: DecideMoves = (options) => ({
  ...decideMoves(options),
  moves: options.pools.flatMap((each) =>
    each.hosts.slice(0, 1).map(({ host }) => ({ host, from: each.pool, to: "pool-0" }))
  ),
});

test("no pool gives hosts that it needs or gets more than its shortage", (t) => {
  const check = (decide: DecideMoves) =>
    fc.check(
      fc.property(needs, fc.integer({ min: 1, max: 600 }), (pools, seconds) => {
        return findViolations({ pools, seconds, regrets: new Map() }, decide).length === 0;
      }),
      { seed: 6, numRuns: 500 },
    );
  t.false(check(decideMoves).failed);
  t.false(check(decideWithoutHysteresis).failed);
  t.true(check(MOVE_EVERY_FIRST_HOST).failed);
});
