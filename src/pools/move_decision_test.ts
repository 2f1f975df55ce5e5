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
    isZoneLost: false,
  };
}

/** Decides every ten seconds on needs that stay as they are, and gets what moved when. */
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

test("hosts move once the regret has reached the cost, spares go by need and share", (t) => {
  const spare = createNeed("backoffice", 6, 2, SPARES);
  const hotels = createNeed("hotels", 6, 8);
  const few = createNeed("backoffice", 6, 3, SPARES);
  const clinics = createNeed("clinics", 9, 11);
  t.snapshot({
    "a short spike moves nothing": decideFor(50, [spare, hotels], decideMoves),
    "a shortage that lasts": decideFor(300, [spare, hotels], decideMoves),
    "a zone's loss is more urgent": decideFor(300, [
      spare,
      { ...createNeed("hotels", 6, 8, { zoneLossUrgency: 10 }), isZoneLost: true },
    ], decideMoves),
    "two pools at once": decideFor(300, [few, hotels, clinics], decideMoves),
    "the share of one is larger": decideFor(300, [
      few,
      hotels,
      createNeed("clinics", 9, 11, { spareShare: 9 }),
    ], decideMoves),
    "idle hosts go back": decideFor(300, [spare, createNeed("clinics", 9, 8)], decideMoves),
    "idle hosts are kept longer": decideFor(300, [
      spare,
      createNeed("clinics", 9, 8, { idleUrgency: 0.25 }),
    ], decideMoves),
    "without hysteresis": decideFor(300, [spare, hotels], decideWithoutHysteresis),
  });
});

test("sizes follow from demand, the loss of a zone and the pace of maintenance", (t) => {
  const base = { neededSlots: 60, slotsPerHost: 8, zones: 4, isZoneLost: false };
  const size = (more: object, settings: object) =>
    getTargetHosts({ ...base, ...more, settings: { ...DEFAULT_CAPACITY_SETTINGS, ...settings } });
  t.deepEqual({
    "four zones, one to lose": size({}, {}),
    "half of the demand after the loss": size({}, { zoneLossTarget: 0.5 }),
    "one more for maintenance": size({}, { maintenanceHosts: 1 }),
    "the zone is lost": size({ isZoneLost: true }, {}),
    "one zone only": size({ zones: 1 }, {}),
    "no demand": size({ neededSlots: 0 }, { zoneLossTarget: 0 }),
  }, {
    "four zones, one to lose": 11,
    "half of the demand after the loss": 8,
    "one more for maintenance": 12,
    "the zone is lost": 8,
    "one zone only": 8,
    "no demand": 1,
  });
});

test("demand older than two windows is forgotten", (t) => {
  const history = DemandHistory.create();
  const seen = [history.getQuantile(0.99)];
  for (const slots of [100, 1, 1]) {
    history.add(slots);
    seen.push(history.getQuantile(1));
    history.rotate();
  }
  seen.push(history.getQuantile(1));
  t.deepEqual(seen, [0, 100, 100, 1, 1]);
});

const need = fc.record({
  hosts: fc.integer({ min: 0, max: 9 }),
  targetHosts: fc.integer({ min: 1, max: 12 }),
  arrivingHosts: fc.integer({ min: 0, max: 2 }),
  isZoneLost: fc.boolean(),
  isSparePool: fc.boolean(),
});

const needs = fc.array(need, { minLength: 2, maxLength: 6 }).map((drawn) =>
  drawn.map(({ hosts, targetHosts, arrivingHosts, isZoneLost, isSparePool }, index) => ({
    ...createNeed(`pool-${index}`, hosts, targetHosts, { isSparePool }),
    arrivingHosts,
    isZoneLost,
  }))
);

/** Gets what moves break: a host moves once, from its own pool, and nobody gets or gives too many. */
function findBroken(options: MoveOptions, decide: DecideMoves): string[] {
  const { moves } = decide(options);
  const broken: string[] = [];
  const byPool = new Map(options.pools.map((each) => [each.pool, each]));
  const hosts = new Set(moves.map((move) => move.host));
  if (hosts.size !== moves.length) broken.push("a host moves twice");
  for (const move of moves) {
    const from = byPool.get(move.from)!;
    if (!from.hosts.some(({ host }) => host === move.host)) broken.push(`${move.host} not there`);
    if (getHostShortage(from) >= 0) broken.push(`${move.from} gives what it needs`);
  }
  for (const [pool, each] of byPool) {
    const got = moves.filter((move) => move.to === pool).length;
    const given = moves.filter((move) => move.from === pool).length;
    if (!each.settings.isSparePool && got > Math.max(0, getHostShortage(each))) {
      broken.push(`${pool} gets too many`);
    }
    if (given > Math.max(0, -getHostShortage(each))) broken.push(`${pool} gives too many`);
  }
  return broken;
}

const GREEDY: DecideMoves = (options) => ({
  ...decideMoves(options),
  moves: options.pools.flatMap((each) =>
    each.hosts.slice(0, 1).map(({ host }) => ({ host, from: each.pool, to: "pool-0" }))
  ),
});

test("no pool gives what it needs or gets more than it misses", (t) => {
  const check = (decide: DecideMoves) =>
    fc.check(
      fc.property(needs, fc.integer({ min: 1, max: 600 }), (pools, seconds) => {
        return findBroken({ pools, seconds, regrets: new Map() }, decide).length === 0;
      }),
      { seed: 6, numRuns: 500 },
    );
  t.false(check(decideMoves).failed);
  t.false(check(decideWithoutHysteresis).failed);
  t.true(check(GREEDY).failed);
});
