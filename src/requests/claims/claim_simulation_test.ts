import test from "ava";
import fc from "fast-check";
import { ClaimSimulation, type ClaimSimulationOptions } from "../../stand_ins/claim_simulation.ts";
import { type DecideClaim, decideClaim, decideClaimWithQuorum } from "./claim_quorum.ts";

const SEED = 23;

const stepArbitrary = fc.tuple(fc.nat(99), fc.nat(997), fc.nat(4_999));

/** Gets the number of runs that started a key twice, and the number of requests by decision. */
function countDuplicateStarts(options: ClaimSimulationOptions, numRuns: number) {
  let duplicateCount = 0;
  const decisions = new Map<string, number>();
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 6 }),
      fc.array(stepArbitrary, { minLength: 60, maxLength: 200, size: "max" }),
      (size, steps) => {
        const simulation = ClaimSimulation.create(options, size);
        for (const [kind, first, second] of steps) simulation.step(kind, first, second);
        simulation.runUntilIdle();
        if ([...simulation.starts.values()].some((starts) => starts.length > 1)) {
          duplicateCount += 1;
        }
        for (const name of simulation.decisions.values()) {
          decisions.set(name, (decisions.get(name) ?? 0) + 1);
        }
      },
    ),
    { seed: SEED, numRuns },
  );
  return { duplicateCount, decisions: Object.fromEntries([...decisions].sort()) };
}

test("a key has at most one start while members crash, join and leave and messages are lost", (t) => {
  const { duplicateCount, decisions } = countDuplicateStarts({ decideClaim }, 400);
  t.is(duplicateCount, 0);
  t.true(decisions["granted"]! > 500, JSON.stringify(decisions));
  t.true(decisions["answered"]! > 100, JSON.stringify(decisions));
  t.log(decisions);
});

test("the simulation detects a start that only one holder of three granted", (t) => {
  const decideBySingleGrant: DecideClaim = (options) => decideClaimWithQuorum(options, 1);
  t.true(countDuplicateStarts({ decideClaim: decideBySingleGrant }, 60).duplicateCount > 0);
});

test("the simulation detects holders that grant claims before the claims were handed over to them", (t) => {
  t.true(
    countDuplicateStarts({ decideClaim, hasCompleteClaims: () => true }, 200).duplicateCount > 0,
  );
});

type Scenario = (simulation: ClaimSimulation) => string[];

const KEY = "key-a";

/** The decisions on requests, mostly on one with a used key and on one with a new key after an event. */
const SCENARIOS: Readonly<Record<string, Scenario>> = {
  "two hosts at the same time": (simulation) => [
    simulation.addRequest("entry-0", KEY),
    simulation.addRequest("entry-1", KEY),
  ],
  "a different request with the same key": (simulation) => {
    const first = simulation.addRequest("entry-1", KEY);
    simulation.runUntilIdle();
    return [first, simulation.addRequest("entry-2", KEY, "another-request")];
  },
  "one holder crashed before the first request": (simulation) => {
    simulation.crash(simulation.getHolders(KEY)[0]!);
    return requestTwice(simulation);
  },
  "one holder disconnected before the first request": (simulation) => {
    simulation.setPartitioned(simulation.getHolders(KEY)[1]!);
    return requestTwice(simulation);
  },
  "two holders crashed before the first request": (simulation) => {
    for (const holder of simulation.getHolders(KEY).slice(0, 2)) simulation.crash(holder);
    return requestTwice(simulation);
  },
  "one holder crashed and replaced between the requests": (simulation) => {
    const holder = simulation.getHolders(KEY)[0]!;
    return requestBeforeAndAfter(simulation, () => {
      simulation.crash(holder);
      simulation.leave(holder);
      simulation.join();
    });
  },
  "two holders crashed and replaced between the requests": (simulation) => {
    const holders = simulation.getHolders(KEY).slice(0, 2);
    return requestBeforeAndAfter(simulation, () => {
      for (const holder of holders) simulation.crash(holder);
      for (const holder of holders) simulation.leave(holder);
      simulation.join();
      simulation.join();
    });
  },
  "every member replaced between the requests, one by one": (simulation) => {
    const old = [...simulation.getMembers()];
    return requestBeforeAndAfter(simulation, () => {
      for (const member of old) {
        simulation.join();
        simulation.runUntilIdle();
        simulation.leave(member);
        simulation.runUntilIdle();
        simulation.crash(member);
      }
    });
  },
};

function findHost(simulation: ClaimSimulation): string {
  const holders = simulation.getHolders(KEY);
  return simulation.getMembers().find((member) => !holders.includes(member)) ?? holders[2]!;
}

function requestTwice(simulation: ClaimSimulation): string[] {
  return requestBeforeAndAfter(simulation, () => undefined);
}

/** Sends a request, runs an event, and sends requests with the same key and with a new one. */
function requestBeforeAndAfter(simulation: ClaimSimulation, runEvent: () => void): string[] {
  simulation.addRequest(findHost(simulation), "key-c");
  const first = simulation.addRequest(findHost(simulation), KEY);
  simulation.runUntilIdle();
  runEvent();
  simulation.runUntilIdle();
  const host = findHost(simulation);
  return [first, simulation.addRequest(host, KEY), simulation.addRequest(host, "key-b")];
}

test("decisions on requests with an idempotency key", (t) => {
  const results = Object.entries(SCENARIOS).map(([name, run]) => {
    const simulation = ClaimSimulation.create({ decideClaim }, 5);
    const requests = run(simulation);
    simulation.runUntilIdle();
    return [name, requests.map((request) => simulation.decisions.get(request) ?? "none")];
  });
  t.snapshot(Object.fromEntries(results));
});
