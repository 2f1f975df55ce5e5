/** Measures how fast the records of jobs are folded on top of a fleet of the size to come. */

import { RECORD_RULES } from "../entry/record_rules.ts";
import { JobRecordKind } from "../jobs/job_record_data.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import type { LogRecord } from "../records/record.ts";
import { VerdictOutcome } from "../records/verdict.ts";
import type { Measurement, MeasurementTable } from "./measurement.ts";
import { createProjectedFleetRecord, HOSTS, POOLS } from "./projected_fleet.ts";

/** The measurement `job-fold`. */
export const JOB_FOLD_MEASUREMENT: Measurement = { name: "job-fold", run: measureJobFold };

/** The jobs, each with three records. */
const JOBS = 6_000;

const SIZE = { cores: 4, memoryGigabytes: 16, accelerators: 0 };

type Draft = [kind: string, body: object];

function measureJobFold(): Promise<MeasurementTable[]> {
  let fleet = createFleet();
  const rows: [string, number, number, number][] = [];
  const steps: [string, (job: number) => Draft][] = [
    ["jobs accepted", createAcceptance],
    ["attempts started", createStart],
    ["attempts ended", createEnd],
  ];
  for (const [name, createDraft] of steps) {
    const drafts = Array.from({ length: JOBS }, (_, job) => createDraft(job));
    const records = toRecords(drafts, fleet.offset + 1);
    const start = performance.now();
    const result = foldRecords(fleet, records, RECORD_RULES);
    const milliseconds = Math.round((performance.now() - start) * 100) / 100;
    const isAccepted = (outcome: string) => outcome === VerdictOutcome.Accepted;
    const accepted = result.judged.filter(({ verdict }) => isAccepted(verdict.outcome)).length;
    fleet = result.fleet;
    rows.push([name, JOBS, accepted, milliseconds]);
  }
  const sum = rows.reduce((total, row) => total + row[3], 0);
  rows.push(["all", 3 * JOBS, rows.reduce((total, row) => total + row[2], 0), Math.round(sum)]);
  const title = "Fold of records of jobs on 21,000 workers (18,000 under 1 s)";
  const columns = ["records of", "records", "accepted", "milliseconds"];
  return Promise.resolve([{ title, columns, rows, brokenInvariants: [] }]);
}

function createFleet(): Fleet {
  const hosts = Array.from({ length: HOSTS }, (_, offset) => createProjectedFleetRecord(offset));
  const teams = [{ team: "mine-desk", share: 1, upperLimit: JOBS, taskLimit: JOBS }];
  const secretHash = "0".repeat(64);
  const drafts: Draft[] = [
    ["profile-published", { profile: "night", teams }],
    ...Array.from({ length: POOLS }, (_, pool): Draft => [
      "profile-picked",
      { service: `pool-${pool}`, profile: "night" },
    ]),
    ["key-granted", { keyId: "k1", team: "mine-desk", secretHash }],
  ];
  const records = [...hosts, ...toRecords(drafts, HOSTS)];
  return foldRecords(Fleet.createEmpty(), records, RECORD_RULES).fleet;
}

function createAcceptance(job: number): Draft {
  return [JobRecordKind.Accepted, {
    jobId: `mine-desk:${job}`,
    queue: `pool-${job % POOLS}`,
    team: "mine-desk",
    keyId: "k1",
    tasks: [{ size: SIZE, runMilliseconds: 60_000 }],
  }];
}

function createStart(job: number): Draft {
  const start = { task: 0, attempt: 1, worker: `worker-${job}`, incarnation: "p1", reserved: SIZE };
  return [JobRecordKind.AttemptStarted, { jobId: `mine-desk:${job}`, starts: [start] }];
}

function createEnd(job: number): Draft {
  const end = { jobId: `mine-desk:${job}`, task: 0, attempt: 1, result: "completed" };
  return [JobRecordKind.AttemptEnded, { ends: [end] }];
}

function toRecords(drafts: Draft[], first: number): LogRecord[] {
  return drafts.map(([kind, body], index) => {
    const offset = first + index;
    return { offset, id: `r${offset}`, kind, version: 1, author: "bench", body };
  });
}
