import test from "ava";
import fc from "fast-check";
import { CONTRACT_DECISIONS, type ContractDecisions } from "../../contracts/contract_decisions.ts";
import { isAppliedByMajority } from "../../contracts/roster_change_tracker.ts";
import { Standing } from "../../contracts/standing.ts";
import { drawSchedule, type Fault, FaultKind, scheduleArbitrary } from "./fault.ts";
import { RosterSimulation } from "./roster_simulation.ts";

const SEED = 4_021;
const END = 80_000;

/** Decisions that are wrong on purpose: the check has to find each one out. */
const BROKEN_DECISIONS: Record<string, ContractDecisions> = {
  "one majority of the newest roster": {
    ...CONTRACT_DECISIONS,
    isChangeApplied: (facts) => {
      const newest = facts.history.find((roster) => roster.offset === facts.change);
      return isAppliedByMajority(newest?.members ?? [], facts);
    },
  },
  "the age of the peer is not added": {
    ...CONTRACT_DECISIONS,
    getReadTimeLowerBound: (statement) => statement.sentAt,
  },
  "a grant does not end": {
    ...CONTRACT_DECISIONS,
    decideStanding: (facts) => {
      const grant = CONTRACT_DECISIONS.decideStanding(facts);
      if (grant.standing === Standing.Isolated) return grant;
      return { ...grant, validUntil: Infinity };
    },
  },
  "an outage by less than a majority": {
    ...CONTRACT_DECISIONS,
    decideStanding: (facts) =>
      CONTRACT_DECISIONS.decideStanding({ ...facts, memberCount: facts.memberCount / 2 - 1 }),
  },
};

/** Six of eleven remove five of the first eight, who are a majority of the roster that they know. */
const COUNTEREXAMPLE: Fault[] = [
  {
    at: 6_000,
    kind: FaultKind.IsolatedGroup,
    targets: [0, 1, 2, 3, 4],
    durationMilliseconds: 40_000,
  },
  ...[6_500, 6_600, 6_700].map((at) => {
    return { at, kind: FaultKind.Join, targets: [], durationMilliseconds: 0 };
  }),
];

function runOnce(seed: number, faults: readonly Fault[], decisions = CONTRACT_DECISIONS) {
  const processCount = 2 + seed % 7;
  return RosterSimulation.create({ seed, processCount, faults, endMilliseconds: END, decisions })
    .run();
}

test("no removed member acts, and no member acts on what it may have missed", (t) => {
  let removals = 0;
  fc.assert(
    fc.property(fc.nat(100_000), scheduleArbitrary, (seed, faults) => {
      const { violation, counts } = runOnce(seed, faults);
      removals += counts.removals;
      if (violation !== undefined) throw new Error(violation);
    }),
    { seed: SEED, numRuns: 60 },
  );
  t.true(removals > 30, `${removals} removals`);
});

test("six of eleven do not bring a removal in force that five of the first eight do not know", (t) => {
  const options = { seed: 8, processCount: 8, faults: COUNTEREXAMPLE, endMilliseconds: 40_000 };
  const right = RosterSimulation.create(options).run();
  const decisions = BROKEN_DECISIONS["one majority of the newest roster"]!;
  const wrong = RosterSimulation.create({ ...options, decisions }).run();
  t.is(right.violation, undefined);
  t.snapshot({ right: right.processes, wrong: wrong.violation });
});

for (const [name, decisions] of Object.entries(BROKEN_DECISIONS)) {
  test(`the check finds out: ${name}`, (t) => {
    const seeds = Array.from({ length: 60 }, (_, index) => index);
    const seed = seeds.find((seed) =>
      runOnce(seed, drawSchedule(seed), decisions).violation !== undefined
    );
    t.not(seed, undefined);
    t.is(runOnce(seed!, drawSchedule(seed!)).violation, undefined);
  });
}

test("while nobody can reach the log a majority goes on working", (t) => {
  for (let seed = 0; seed < 12; seed += 1) {
    const outage = {
      at: 6_000,
      kind: FaultKind.LogDown,
      targets: [],
      durationMilliseconds: 30_000,
    };
    const lost = { at: 9_000, kind: FaultKind.Crash, targets: [1, 4], durationMilliseconds: 0 };
    const options = { seed, processCount: 8, faults: [outage, lost], endMilliseconds: 50_000 };
    const run = RosterSimulation.create(options);
    let fewest = 8;
    run.onCheck = (now) => {
      const acting = run.getProcesses().filter((process) => process.isActing()).length;
      if (now >= 5_000) fewest = Math.min(fewest, acting);
      return undefined;
    };
    t.is(run.run().violation, undefined);
    t.is(fewest, 6, `seed ${seed}`);
  }
});

test("after the faults every member is current, and every removal in force", (t) => {
  const withoutReturn: FaultKind[] = [FaultKind.Crash, FaultKind.Leave];
  for (let seed = 0; seed < 30; seed += 1) {
    const faults = drawSchedule(seed).filter((fault) => !withoutReturn.includes(fault.kind));
    const options = { seed, processCount: 2 + seed % 7, faults, endMilliseconds: 110_000 };
    const { violation, unsettled } = RosterSimulation.create(options).run();
    t.deepEqual([violation, unsettled], [undefined, []], `seed ${seed}`);
  }
});

test("a gap in a list that lags is not taken for the end of a new process on the same host", (t) => {
  const seed = 502_466;
  const options = { seed, processCount: 2 + seed % 7, faults: drawSchedule(seed) };
  t.is(RosterSimulation.create({ ...options, endMilliseconds: END }).run().violation, undefined);
});
