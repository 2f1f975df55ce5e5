import test from "ava";
import fc from "fast-check";
import { JobSimulation, type JobSimulationOptions } from "../measurements/job_simulation.ts";
import {
  FAULT_RUN_TEAMS,
  FAULTS_END_MILLISECONDS,
  JobFault,
  type JobFaultEvent,
  simulateFaults,
  submitJobs,
} from "../measurements/job_faults.ts";
import { RECORD_RULES } from "../entry/record_rules.ts";
import type { FleetDraft } from "../records/fleet_draft.ts";
import type { TableName } from "../records/fleet_tables.ts";
import type { RecordRule, RecordRules } from "../records/record_rule.ts";
import type { MayStart } from "../stand_ins/worker_model.ts";
import { type AttemptEndedBody, AttemptResult, JobRecordKind } from "./job_record_data.ts";

const SEED = 20_261_204;
const RUNS = 30;

const scripts: fc.Arbitrary<JobFaultEvent[]> = fc.array(
  fc.record({
    atMilliseconds: fc.integer({ min: 0, max: FAULTS_END_MILLISECONDS - 1 }),
    fault: fc.constantFrom(...Object.values(JobFault)),
    target: fc.nat(30),
    lastsMilliseconds: fc.integer({ min: 100, max: 40_000 }),
  }),
  { minLength: 4, maxLength: 24 },
);

function createRun(seed: number, changes: Partial<JobSimulationOptions> = {}): JobSimulation {
  return JobSimulation.create({
    seed,
    zones: 2,
    racksPerZone: 2,
    workersPerRack: 2,
    workerSize: { cores: 32, memoryGigabytes: 128, accelerators: 2 },
    members: 3,
    teams: FAULT_RUN_TEAMS,
    ...changes,
  });
}

function findBrokenInvariants(
  seed: number,
  script: JobFaultEvent[],
  changes?: Partial<JobSimulationOptions>,
) {
  const run = createRun(seed, changes);
  submitJobs(run, 18);
  return simulateFaults(run, script);
}

/** Plays fault scripts until an invariant breaks, and gets the broken invariants. */
function findCounterexample(changes: Partial<JobSimulationOptions>, runs: number): string[] {
  const [script, seed] = [fc.sample(scripts, { seed: SEED, numRuns: runs }), SEED];
  for (const [index, events] of script.entries()) {
    const broken = findBrokenInvariants(seed + index, events, changes);
    if (broken.length > 0) return broken;
  }
  return [];
}

/** Replaces the rule of one record kind by one that evaluates a changed body on a changed draft. */
function breakRule(kind: string, changes: Partial<RuleChanges>): RecordRules {
  const rule = RECORD_RULES.get(kind)!;
  const { changeBody = (body) => body, changeDraft = (draft) => draft } = changes;
  const broken: RecordRule = {
    ...rule,
    apply: (draft, record) =>
      rule.apply(changeDraft(draft), { ...record, body: changeBody(record.body) }),
  };
  return new Map([...RECORD_RULES, [kind, broken]]);
}

interface RuleChanges {
  changeBody: (body: unknown) => unknown;
  changeDraft: (draft: FleetDraft) => FleetDraft;
}

/** Gets a draft that overrides fields in the rows of one table; writes go to the draft itself. */
function overrideRows(draft: FleetDraft, overridden: TableName, fields: object): FleetDraft {
  const wrapper = {
    get: (table: TableName, key: string) => {
      const row = draft.get(table, key);
      return table === overridden ? { ...(row as object), ...fields } : row;
    },
    getRows: (table: TableName) => draft.getRows(table),
    set: (table: TableName, key: string, row: never) => draft.set(table, key, row),
    remove: (table: TableName, key: string) => draft.remove(table, key),
  };
  return wrapper as unknown as FleetDraft;
}

test("under random faults no invariant of jobs breaks and every job ends", (t) => {
  fc.assert(
    fc.property(fc.nat(1_000_000), scripts, (seed, script) => {
      t.deepEqual(findBrokenInvariants(seed, script), []);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test("the invariants detect lost attempts that are recorded as not started", (t) => {
  const changeBody = (body: unknown) => ({
    ends: (body as AttemptEndedBody).ends.map((end) => {
      const isLost = end.result === AttemptResult.Lost || end.result === AttemptResult.Lapsed;
      return { ...end, result: isLost ? AttemptResult.NotStarted : end.result };
    }),
  });
  const rules = breakRule(JobRecordKind.AttemptEnded, { changeBody });
  t.snapshot(findCounterexample({ rules }, RUNS));
});

test("the invariants detect workers without a fence", (t) => {
  const mayStart: MayStart = () => true;
  t.snapshot(findCounterexample({ mayStart }, RUNS));
});

test("the invariants detect a fold that ignores zones or limits", (t) => {
  const breakStarts = (table: TableName, fields: object) =>
    breakRule(JobRecordKind.AttemptStarted, {
      changeDraft: (draft) => overrideRows(draft, table, fields),
    });
  t.snapshot({
    zones: findCounterexample({ rules: breakStarts("zones", { isOut: false }) }, 4 * RUNS),
    limits: findCounterexample({ rules: breakStarts("teams", { taskLimit: 1_000 }) }, 4 * RUNS),
  });
});
