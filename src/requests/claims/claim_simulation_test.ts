import test from "ava";
import fc from "fast-check";
import { ClaimSimulation, type ClaimSimulationOptions } from "../../stand_ins/claim_simulation.ts";
import { type DecideClaim, decideClaim, decideClaimWithQuorum } from "./claim_quorum.ts";

const SEED = 23;

const stepArbitrary = fc.tuple(fc.nat(99), fc.nat(997), fc.nat(4_999));

/** Gets how many runs started a key twice, and what the requests came to. */
function countDoubledRuns(options: ClaimSimulationOptions, numRuns: number) {
  let doubled = 0;
  const decisions = new Map<string, number>();
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 6 }),
      fc.array(stepArbitrary, { minLength: 60, maxLength: 200, size: "max" }),
      (size, steps) => {
        const world = ClaimSimulation.create(options, size);
        for (const [kind, first, second] of steps) world.step(kind, first, second);
        world.runUntilIdle();
        if ([...world.starts.values()].some((starts) => starts.length > 1)) doubled += 1;
        for (const name of world.decisions.values()) {
          decisions.set(name, (decisions.get(name) ?? 0) + 1);
        }
      },
    ),
    { seed: SEED, numRuns },
  );
  return { doubled, decisions: Object.fromEntries([...decisions].sort()) };
}

test("at most one start under a key, while members crash, join and leave and messages are lost", (t) => {
  const { doubled, decisions } = countDoubledRuns({ decideClaim }, 400);
  t.is(doubled, 0);
  t.true(decisions["granted"]! > 500, JSON.stringify(decisions));
  t.true(decisions["answered"]! > 100, JSON.stringify(decisions));
  t.log(decisions);
});

test("the check finds a start to which one holder of three agreed", (t) => {
  const decideAlone: DecideClaim = (options) => decideClaimWithQuorum(options, 1);
  t.true(countDoubledRuns({ decideClaim: decideAlone }, 60).doubled > 0);
});

test("the check finds holders that agree before they were handed the claims", (t) => {
  t.true(countDoubledRuns({ decideClaim, hasCompleteClaims: () => true }, 200).doubled > 0);
});

type Scenario = (world: ClaimSimulation) => string[];

const KEY = "key-a";

/** What a request with a used key and one with a new key come to after some event. */
const SCENARIOS: Readonly<Record<string, Scenario>> = {
  "two hosts at once": (world) => [
    world.addRequest("entry-0", KEY),
    world.addRequest("entry-1", KEY),
  ],
  "another request under the same key": (world) => {
    const first = world.addRequest("entry-1", KEY);
    world.runUntilIdle();
    return [first, world.addRequest("entry-2", KEY, "another-request")];
  },
  "one holder dead before": (world) => {
    world.crash(world.getHolders(KEY)[0]!);
    return askTwice(world);
  },
  "one holder cut off before": (world) => {
    world.setPartitioned(world.getHolders(KEY)[1]!);
    return askTwice(world);
  },
  "two holders dead before": (world) => {
    for (const holder of world.getHolders(KEY).slice(0, 2)) world.crash(holder);
    return askTwice(world);
  },
  "one holder dead between, and replaced": (world) => {
    const holder = world.getHolders(KEY)[0]!;
    return askAround(world, () => {
      world.crash(holder);
      world.leave(holder);
      world.join();
    });
  },
  "two holders dead between, and replaced": (world) => {
    const holders = world.getHolders(KEY).slice(0, 2);
    return askAround(world, () => {
      for (const holder of holders) world.crash(holder);
      for (const holder of holders) world.leave(holder);
      world.join();
      world.join();
    });
  },
  "every member replaced between, one by one": (world) => {
    const old = [...world.getMembers()];
    return askAround(world, () => {
      for (const member of old) {
        world.join();
        world.runUntilIdle();
        world.leave(member);
        world.runUntilIdle();
        world.crash(member);
      }
    });
  },
};

function findHost(world: ClaimSimulation): string {
  const holders = world.getHolders(KEY);
  return world.getMembers().find((member) => !holders.includes(member)) ?? holders[2]!;
}

function askTwice(world: ClaimSimulation): string[] {
  return askAround(world, () => undefined);
}

/** Asks, lets something happen, and asks with the same key and with a new one. */
function askAround(world: ClaimSimulation, happen: () => void): string[] {
  world.addRequest(findHost(world), "key-c");
  const first = world.addRequest(findHost(world), KEY);
  world.runUntilIdle();
  happen();
  world.runUntilIdle();
  const host = findHost(world);
  return [first, world.addRequest(host, KEY), world.addRequest(host, "key-b")];
}

test("what requests with a key come to", (t) => {
  const results = Object.entries(SCENARIOS).map(([name, play]) => {
    const world = ClaimSimulation.create({ decideClaim }, 5);
    const requests = play(world);
    world.runUntilIdle();
    return [name, requests.map((request) => world.decisions.get(request) ?? "none")];
  });
  t.snapshot(Object.fromEntries(results));
});
