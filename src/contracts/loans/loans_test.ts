import test from "ava";
import fc from "fast-check";
import { LoanModel, type LoanModelEvent } from "../../measurements/loan_model.ts";
import { LOAN_RULES, type LoanAccount, type LoanRules } from "./loan_rules.ts";

const SEED = 20_261;

const index = fc.nat({ max: 7 });
const milliseconds = fc.integer({ min: 100, max: 6_000 });

const event: fc.Arbitrary<LoanModelEvent> = fc.oneof(
  fc.record({ kind: fc.constantFrom("crash" as const, "remove" as const), member: index }),
  fc.record({ kind: fc.constant("join" as const) }),
  fc.record({
    kind: fc.constantFrom("pause" as const, "cut-log" as const),
    member: index,
    milliseconds,
  }),
  fc.record({ kind: fc.constant("cut-link" as const), from: index, to: index, milliseconds }),
  fc.record({ kind: fc.constant("limit" as const), limit: fc.integer({ min: 0, max: 6 }) }),
  fc.record({ kind: fc.constant("move" as const), pool: fc.nat({ max: 3 }) }),
);

const scenario = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  members: fc.integer({ min: 2, max: 5 }),
  events: fc.array(fc.record({ after: fc.integer({ min: 50, max: 2_500 }), event }), {
    maxLength: 12,
  }),
});

/** Gets the first invariant that a random run violates, or undefined if there is none. */
function findViolation(rules: LoanRules, runs: number, timeOutHoldMilliseconds?: number) {
  const property = fc.property(scenario, (options) => {
    const holdOptions = timeOutHoldMilliseconds === undefined ? {} : { timeOutHoldMilliseconds };
    const { violations: broken } = LoanModel.run({ ...options, ...holdOptions, rules });
    if (broken.length > 0) throw new Error(broken.slice(0, 3).join("; "));
  });
  const details = fc.check(property, { seed: SEED, numRuns: runs, endOnFailure: true });
  return details.failed ? normalizeViolation(String(details.errorInstance)) : undefined;
}

/** Removes the time, the members and the resource, which depend on the timing of the run. */
function normalizeViolation(error: string): string {
  return error.replace(/ at \d+ by.*/s, "").replace(/[te]:\w+/, "resource").replaceAll(/\d+/g, "N");
}

test("no limit is exceeded and no permit is leaked under random faults", (t) => {
  t.is(findViolation(LOAN_RULES, 150), undefined);
});

test("the model detects a keeper that lends permits that their holder has not given back", (t) => {
  const getBound = (account: LoanAccount) =>
    account.outstanding.at(-1)?.total ?? account.statedBound;
  t.snapshot(findViolation({ ...LOAN_RULES, getBound }, 150));
});

test("the model detects a new keeper that lends before all members have stated", (t) => {
  t.snapshot(findViolation({ ...LOAN_RULES, mayLend: () => true }, 150));
});

test("the model detects a new keeper that ignores the permits of lost members", (t) => {
  t.snapshot(findViolation({ ...LOAN_RULES, getUnknown: () => 0 }, 150));
});

test("the model detects a holder that releases a permit on a time-out", (t) => {
  t.snapshot(findViolation(LOAN_RULES, 150, 300));
});
