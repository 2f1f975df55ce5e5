import test from "ava";
import fc from "fast-check";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import type { LogRecord } from "../records/record.ts";
import { createRecordRules, type RecordRules } from "../records/record_rule.ts";
import { type CheckDrain, checkDrain, countLosses } from "./drain_check.ts";
import { findPoolMembershipViolations } from "./pool_membership_invariants.ts";
import { createPoolMembershipRules } from "./pool_membership_records.ts";

type Body = [kind: string, body: unknown, id?: string];

const ZONES = ["zululand-a", "zululand-b", "zululand-c", "zululand-d"];
const POOLS = ["tugdesk", "berthbook", "harbourmisc"];
const HOSTS = POOLS.flatMap((pool) =>
  Array.from({ length: 8 }, (_, index) => ({ host: `${pool}-${index + 1}`, pool, index }))
);

function createRecords(bodies: readonly Body[]): LogRecord[] {
  return bodies.map(([kind, body, id], offset) => ({
    offset,
    id: id ?? `r${offset}`,
    kind,
    version: 1,
    author: "operator",
    body,
  }));
}

const ENROLMENTS: Body[] = HOSTS.map(({ host, pool, index }) => ["host-enrolled", {
  host,
  pool,
  kind: "executor",
  zone: ZONES[index % 4],
  rack: String(Math.floor(index / 4)),
  address: "127.0.0.1:1",
  slots: 8,
  connections: 64,
  cores: 4,
  memoryGigabytes: 16,
  accelerators: 0,
}]);

const SESSION: Body[] = [
  ...ENROLMENTS,
  ["budget-set", { scope: "pool", name: "tugdesk", mostAway: 2 }],
  ["budget-set", { scope: "rack", name: "zululand-a", mostAway: 1 }],
  ["budget-set", { scope: "rack", name: "*", mostAway: 1 }],
  ["host-drained", { host: "tugdesk-1", pool: "berthbook" }],
  ["host-drained", { host: "tugdesk-1", pool: "tugdesk" }],
  ["host-drained", { host: "tugdesk-1", pool: "tugdesk" }],
  ["host-drained", { host: "berthbook-1", pool: "berthbook" }],
  ["host-drained", { host: "tugdesk-2", pool: "tugdesk", lost: ["tugdesk-3"] }],
  ["host-drained", { host: "tugdesk-2", pool: "tugdesk", lost: ["tugdesk-1"] }],
  ["host-drained", { host: "tugdesk-3", pool: "tugdesk" }],
  ["host-moved", { host: "tugdesk-4", from: "tugdesk", to: "harbourmisc" }],
  ["host-moved", { host: "tugdesk-2", from: "tugdesk", to: "harbourmisc" }, "move"],
  ["host-moved", { host: "tugdesk-2", from: "tugdesk", to: "berthbook" }],
  ["host-moved", { host: "tugdesk-2", from: "tugdesk", to: "harbourmisc" }, "move"],
  ["host-returned", { host: "tugdesk-2", pool: "tugdesk" }],
  ["host-returned", { host: "tugdesk-2", pool: "harbourmisc" }],
  ["zone-taken-out", { zone: "zululand-b" }],
  ["host-drained", { host: "tugdesk-3", pool: "tugdesk" }],
  ["host-drained", { host: "tugdesk-6", pool: "tugdesk" }],
  ["host-dismissed", { host: "tugdesk-3" }],
  ["maintenance-started", { maintenance: "december", scope: { kind: "rack", name: "x/1" } }],
  ["maintenance-started", { maintenance: "december", scope: { kind: "pool", name: "tugdesk" } }],
  ["host-returned", { host: "tugdesk-6", pool: "tugdesk" }],
  ["zone-returned", { zone: "zululand-b" }],
  ["host-drained", { host: "tugdesk-5", pool: "tugdesk", maintenance: "december" }],
  ["host-drained", { host: "tugdesk-6", pool: "tugdesk", maintenance: "december", boots: 3 }],
  ["host-moved", { host: "tugdesk-6", from: "tugdesk", to: "berthbook" }],
  ["host-returned", { host: "tugdesk-6", pool: "tugdesk", boots: 3 }],
  ["host-returned", { host: "tugdesk-6", pool: "tugdesk", boots: 4 }],
  ["host-drained", { host: "tugdesk-6", pool: "tugdesk", maintenance: "december", boots: 4 }],
  ["maintenance-completed", { maintenance: "december" }],
  ["maintenance-paused", { maintenance: "december", reason: "high tide" }],
  ["host-drained", { host: "tugdesk-7", pool: "tugdesk", maintenance: "december", boots: 1 }],
  ["maintenance-resumed", { maintenance: "december" }],
  ["maintenance-stopped", { maintenance: "december" }],
  ["maintenance-resumed", { maintenance: "december" }],
];

test("of conflicting records the first is accepted, and the others are refused with a reason", (t) => {
  const { judged } = foldRecords(Fleet.createEmpty(), createRecords(SESSION), RECORD_RULES);
  t.snapshot(
    judged.slice(ENROLMENTS.length).map(({ record, verdict }) =>
      `${record.offset} ${record.kind} ${JSON.stringify(record.body)}: ` +
      `${verdict.outcome} ${verdict.reason}`.trim()
    ),
  );
});

const hostNumber = fc.integer({ min: 0, max: HOSTS.length - 1 });
const hostName = hostNumber.map((index) => HOSTS[index]!.host);
const lostNames = fc.array(hostName, { maxLength: 4 });
const pool = fc.constantFrom(...POOLS);

/** Mostly has the pool in which a host was enrolled, so that many records are accepted. */
const hostInPool = hostNumber.chain((index) =>
  fc.record({
    host: fc.constant(HOSTS[index]!.host),
    pool: fc.oneof({ weight: 3, arbitrary: fc.constant(HOSTS[index]!.pool) }, pool),
  })
);

const budgetName = fc.constantFrom<[string, string]>(
  ["pool", "tugdesk"],
  ["pool", "*"],
  ["zone", "zululand-a"],
  ["zone", "*"],
  ["rack", "*"],
  ["rack", "zululand-b/1"],
);

const recordBody: fc.Arbitrary<Body> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.tuple(hostInPool, lostNames).map(([body, lost]): Body => [
      "host-drained",
      { ...body, lost },
    ]),
  },
  {
    weight: 3,
    arbitrary: fc.tuple(hostInPool, pool).map(([{ host, pool: from }, to]): Body => [
      "host-moved",
      { host, from, to },
    ]),
  },
  { weight: 4, arbitrary: hostInPool.map((body): Body => ["host-returned", body]) },
  {
    weight: 2,
    arbitrary: fc.tuple(budgetName, fc.integer({ min: 0, max: 4 })).map((
      [[scope, name], mostAway],
    ): Body => ["budget-set", { scope, name, mostAway }]),
  },
  {
    weight: 2,
    arbitrary: fc.constantFrom(...ZONES).chain((zone) =>
      fc.constantFrom("zone-taken-out", "zone-returned").map((kind): Body => [kind, { zone }])
    ),
  },
  { weight: 1, arbitrary: hostName.map((host): Body => ["host-dismissed", { host }]) },
);

/** Some records are appended twice with the same id, as after the answer to an append was lost. */
const races = fc.array(fc.tuple(recordBody, fc.boolean()), { minLength: 20, maxLength: 80 })
  .map((drawn) =>
    drawn.flatMap(([[kind, body], isTwice], index): Body[] => {
      const record: Body = [kind, body, `race-${index}`];
      return isTwice ? [record, record] : [record];
    })
  );

function findViolations(bodies: readonly Body[], rules: RecordRules): string[] {
  const violations: string[] = [];
  let before = Fleet.createEmpty();
  for (const record of createRecords([...ENROLMENTS, ...bodies])) {
    const { fleet: after, judged } = foldRecords(before, [record], rules);
    if (record.offset >= ENROLMENTS.length) {
      violations.push(...findPoolMembershipViolations({ before, judged: judged[0]!, after }));
    }
    before = after;
  }
  return violations;
}

test("random conflicting records leave each host in one pool and exceed no budget", (t) => {
  fc.assert(
    fc.property(races, (bodies) => {
      t.deepEqual(findViolations(bodies, RECORD_RULES), []);
    }),
    { seed: 6, numRuns: 300 },
  );
});

test("a fold that is split at any offset gives the same fleet and verdicts", (t) => {
  const split = fc.tuple(races, fc.integer({ min: 0, max: 100 }));
  fc.assert(
    fc.property(split, ([bodies, length]) => {
      const records = createRecords([...ENROLMENTS, ...bodies]);
      const complete = foldRecords(Fleet.createEmpty(), records, RECORD_RULES);
      const first = foldRecords(Fleet.createEmpty(), records.slice(0, length), RECORD_RULES);
      const restored = Fleet.createFromData(first.fleet.toData());
      const second = foldRecords(restored, records, RECORD_RULES);
      t.deepEqual(second.fleet.toData(), complete.fleet.toData());
      t.deepEqual([...first.judged, ...second.judged], complete.judged);
    }),
    { seed: 6, numRuns: 60 },
  );
});

/** Faulty checks, each of which the invariants must detect. */
const FAULTY_CHECKS: Record<string, CheckDrain> = {
  "ignores lost hosts": (draft, host) => checkDrain(draft, host, countLosses(draft, [])),
  "ignores every budget": () => undefined,
  "ignores zones and racks": (draft, host, losses) => {
    const exhausted = checkDrain(draft, host, losses);
    return exhausted?.scope === "pool" ? exhausted : undefined;
  },
  "ignores zones that are out of service": (draft, host, losses) => {
    const exhausted = checkDrain(draft, host, losses);
    if (exhausted === undefined) return undefined;
    const { drained, lost, mostAway } = exhausted;
    return drained + lost < mostAway ? undefined : exhausted;
  },
};

for (const [name, check] of Object.entries(FAULTY_CHECKS)) {
  test(`the invariants detect a check that ${name}`, (t) => {
    const rules = createRecordRules([
      ...RECORD_RULES.values(),
      ...createPoolMembershipRules({ checkDrain: check }),
    ]);
    const result = fc.check(
      fc.property(races, (bodies) => findViolations(bodies, rules).length === 0),
      { seed: 6, numRuns: 300 },
    );
    t.true(result.failed);
  });
}
