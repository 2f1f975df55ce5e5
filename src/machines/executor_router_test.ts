import test from "ava";
import fc from "fast-check";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import { chooseLeastLoadedExecutor, type ExecutorChooser } from "./executor_choice.ts";
import {
  applySignal,
  DEFAULT_HEALTH_SETTINGS,
  getHealthWeight,
  HealthSignal,
  HEALTHY,
  isEjected,
} from "./executor_health.ts";
import { ExecutorRouter } from "./executor_router.ts";

const SEED = 31;
const ZONES = ["zone-a", "zone-b", "zone-c"];
const SLOTS = 8;
const SERVICE_STEPS = 5;

/** Gets the pool of a service with executors in turn in each zone. */
function createPool(executors: number) {
  const records = Array.from({ length: executors }, (_, index) => ({
    offset: index,
    id: `r${index}`,
    kind: "host-enrolled",
    version: 1,
    author: "operator",
    body: {
      host: `tugdesk-${index}`,
      kind: "executor",
      pool: "tugdesk",
      zone: ZONES[index % ZONES.length],
      rack: "1",
      address: `127.0.0.1:${index + 1}`,
      slots: SLOTS,
      connections: 64,
      cores: 4,
      memoryGigabytes: 16,
      accelerators: 0,
    },
  }));
  return foldRecords(Fleet.createEmpty(), records, RECORD_RULES).fleet.getPool("tugdesk");
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

interface Run {
  starts: number[];
  failed: number;
  refused: number;
  mostEjected: number;
}

interface RunOptions {
  seed: number;
  failing: ReadonlySet<number>;
  mostAway: number;
  isRouted: boolean;
  steps?: number;
}

/** Starts requests step by step; failing executors end theirs at once, the others after some steps. */
function runPool(options: RunOptions): Run {
  const pool = createPool(9);
  const hosts = pool.getSchedulableExecutors();
  const random = createRandom(options.seed);
  const router = ExecutorRouter.create({ getMaximumUnavailable: () => options.mostAway });
  const choose: ExecutorChooser = options.isRouted
    ? (choice) => router.choose(choice)
    : chooseLeastLoadedExecutor;
  const running: number[][] = hosts.map(() => []);
  const run: Run = { starts: hosts.map(() => 0), failed: 0, refused: 0, mostEjected: 0 };
  for (let now = 0; now < (options.steps ?? 2_000); now += 1) {
    for (const [index, ends] of running.entries()) {
      const ended = ends.filter((end) => end <= now);
      running[index] = ends.filter((end) => end > now);
      const executor = hosts[index]!.getName();
      const signal = HealthSignal.Success;
      for (const _ of ended) router.recordOutcome({ pool, executor, signal, now });
    }
    for (let arrival = 0; arrival < 4; arrival += 1) {
      const candidates = hosts
        .map((host, index) => ({
          host,
          running: running[index]!.length,
          freeSlots: SLOTS - running[index]!.length,
        }))
        .filter((candidate) => candidate.freeSlots > 0);
      const chosen = choose({ candidates, zone: "zone-a", triedExecutors: [], now, random });
      if (chosen === undefined) {
        run.refused += 1;
        continue;
      }
      const index = hosts.indexOf(chosen.host);
      run.starts[index]! += 1;
      if (options.failing.has(index)) {
        run.failed += 1;
        const executor = chosen.host.getName();
        router.recordOutcome({ pool, executor, signal: HealthSignal.Failure, now });
      } else {
        running[index]!.push(now + SERVICE_STEPS);
      }
    }
    const ejected = hosts.filter((host) => isEjected(router.getHealth(host.getName()), now));
    run.mostEjected = Math.max(run.mostEjected, ejected.length);
  }
  return run;
}

test("an executor that fails all it starts attracts no work, where the freest would get most", (t) => {
  const failing = new Set([4]);
  const routed = runPool({ seed: SEED, failing, mostAway: 2, isRouted: true });
  const freest = runPool({ seed: SEED, failing, mostAway: 2, isRouted: false });
  t.snapshot({ routed, freest });
  t.true(routed.failed * 50 < 8_000);
  t.true(freest.failed * 2 > 8_000);
});

test("ejection keeps to the budget, and what may not be ejected is avoided", (t) => {
  fc.assert(
    fc.property(
      fc.integer(),
      fc.nat(9),
      fc.uniqueArray(fc.nat(8), { maxLength: 9 }),
      (seed, mostAway, failing) => {
        const run = runPool({
          seed,
          failing: new Set(failing),
          mostAway,
          isRouted: true,
          steps: 200,
        });
        t.true(run.mostEjected <= Math.min(mostAway, 8));
        if (failing.length <= 4) t.true(run.failed <= 110, JSON.stringify({ run, failing }));
      },
    ),
    { seed: SEED, numRuns: 100 },
  );
});

test("a zone whose executors all fail at once costs few requests", (t) => {
  const failing = new Set([1, 4, 7]);
  t.snapshot(runPool({ seed: SEED, failing, mostAway: 2, isRouted: true }));
});

test("the own zone goes first while it is not much fuller", (t) => {
  const { starts } = runPool({ seed: SEED, failing: new Set(), mostAway: 2, isRouted: true });
  const byZone = ZONES.map((zone, index) => [
    zone,
    starts.filter((_, executor) => executor % ZONES.length === index)
      .reduce((sum, count) => sum + count, 0),
  ]);
  t.snapshot(Object.fromEntries(byZone));
});

test("another attempt goes to another zone, or at least to another executor", (t) => {
  const pool = createPool(4);
  const router = ExecutorRouter.create({ getMaximumUnavailable: () => 1 });
  const hosts = pool.getSchedulableExecutors();
  const choose = (names: string[], triedExecutors: string[], triedZones: string[]) => {
    const candidates = hosts.filter((host) => names.includes(host.getName()))
      .map((host) => ({ host, running: 0, freeSlots: SLOTS }));
    const random = createRandom(SEED);
    const chosen = router.choose({
      candidates,
      zone: "zone-a",
      triedExecutors,
      triedZones,
      now: 0,
      random,
    });
    return chosen?.host.getName();
  };
  t.snapshot([
    choose(["tugdesk-0", "tugdesk-1", "tugdesk-3"], ["tugdesk-0"], ["zone-a"]),
    choose(["tugdesk-0", "tugdesk-3"], ["tugdesk-0"], ["zone-a"]),
    choose(["tugdesk-0"], ["tugdesk-0"], ["zone-a"]),
    choose([], [], []),
  ]);
});

test("an ejected executor returns slowly, and goes for longer each time", (t) => {
  const settings = DEFAULT_HEALTH_SETTINGS;
  const session: string[] = [];
  let health = HEALTHY;
  const signal = (now: number, kind: HealthSignal) => {
    health = applySignal(health, { signal: kind, now, isEjectionAllowed: true, settings });
    const weight = Math.round(getHealthWeight(health, now, settings) * 100);
    session.push(`${now} ms ${kind}: ${weight}%, until ${health.ejectedUntil ?? "-"}`);
  };
  for (let count = 0; count < 5; count += 1) signal(count, HealthSignal.Failure);
  signal(2_100, HealthSignal.Success);
  signal(3_000, HealthSignal.Success);
  signal(3_100, HealthSignal.Failure);
  signal(7_200, HealthSignal.Success);
  signal(9_200, HealthSignal.Success);
  signal(11_200, HealthSignal.Success);
  signal(37_200, HealthSignal.Success);
  t.snapshot(session);
});
