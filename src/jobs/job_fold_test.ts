import test from "ava";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import type { LogRecord } from "../records/record.ts";
import { ENDED_JOB_RETENTION_OFFSETS } from "./job_fold.ts";

const SIZE = { cores: 8, memoryGigabytes: 16, accelerators: 0 };
const FLAGS = {
  queue: "berthbook",
  team: "mine-desk",
  keyId: "k1",
  isUrgent: false,
  isGang: false,
  isIdempotent: false,
  mostPerRack: 0,
  payload: "",
};

type Step = [kind: string, body: object];

const FLEET: Step[] = [
  ...["1", "2", "3", "4"].map((number): Step => ["host-enrolled", {
    host: `worker-${number}`,
    kind: "worker",
    pool: "berthbook",
    zone: `zululand-${number}`,
    rack: `rack-${number}`,
    address: "127.0.0.1:1",
    slots: 0,
    connections: 0,
    cores: 16,
    memoryGigabytes: 64,
    accelerators: 0,
  }]),
  ["profile-published", {
    profile: "tides",
    teams: [{ team: "mine-desk", share: 1, upperLimit: 3, taskLimit: 3 }],
  }],
  ["profile-picked", { service: "berthbook", profile: "tides" }],
  ["key-granted", { keyId: "k1", team: "mine-desk", secretHash: "0".repeat(64) }],
];

function accept(jobId: string, tasks: number, changes: object = {}): Step {
  const declared = Array.from({ length: tasks }, () => ({ size: SIZE, runMilliseconds: 1_000 }));
  return ["job-accepted", { ...FLAGS, jobId, tasks: declared, ...changes }];
}

function start(jobId: string, ...starts: [task: number, attempt: number, worker: string][]): Step {
  return ["attempt-started", {
    jobId,
    starts: starts.map(([task, attempt, worker]) => ({
      task,
      attempt,
      worker,
      incarnation: "p1",
      reserved: SIZE,
    })),
  }];
}

function end(jobId: string, task: number, attempt: number, result: string): Step {
  return ["attempt-ended", { ends: [{ jobId, task, attempt, result }] }];
}

function toRecords(steps: Step[], first = 0): LogRecord[] {
  return steps.map(([kind, body], index) => {
    const offset = first + index;
    return { offset, id: `r${offset}`, kind, version: 1, author: "test", body };
  });
}

function judge(steps: Step[]): { lines: string[]; fleet: Fleet } {
  const { fleet, judged } = foldRecords(
    Fleet.createEmpty(),
    toRecords([...FLEET, ...steps]),
    RECORD_RULES,
  );
  const lines = judged.slice(FLEET.length).map(({ record, verdict }) =>
    `${record.kind}: ${verdict.outcome} ${verdict.reason}`.trim()
  );
  return { lines, fleet };
}

test("a start counts only for the next attempt of a waiting task on an open worker with room", (t) => {
  const { lines, fleet } = judge([
    accept("a", 2),
    accept("a", 2),
    accept("b", 1, { keyId: "k2" }),
    accept("b", 5, { isGang: true }),
    start("a", [0, 2, "worker-1"]),
    start("a", [0, 1, "worker-1"]),
    start("a", [0, 1, "worker-2"]),
    start("a", [0, 2, "worker-2"]),
    accept("b", 2, { isGang: true, mostPerRack: 1 }),
    start("b", [0, 1, "worker-1"]),
    start("b", [0, 1, "worker-1"], [1, 1, "worker-1"]),
    start("b", [0, 1, "worker-2"], [1, 1, "worker-2"]),
    ["zone-taken-out", { zone: "zululand-2" }],
    start("b", [0, 1, "worker-1"], [1, 1, "worker-2"]),
    start("b", [0, 1, "worker-1"], [1, 1, "worker-3"]),
    start("a", [1, 1, "worker-3"]),
    ["key-withdrawn", { keyId: "k1" }],
    accept("c", 1),
  ]);
  t.snapshot(lines);
  t.snapshot({
    workerLoads: [...fleet.tables.workerLoads],
    teamTasks: [...fleet.tables.teamTasks],
  });
});

test("a non-idempotent task waits again only if its worker proved that it never ran", (t) => {
  const results = ["not-started", "lost", "lapsed", "failed", "completed", "checkpointed"];
  t.snapshot(results.map((result) => {
    const { lines, fleet } = judge([
      accept("a", 1),
      start("a", [0, 1, "worker-1"]),
      end("a", 0, 1, result),
      end("a", 0, 1, "completed"),
      start("a", [0, 2, "worker-2"]),
    ]);
    return [result, ...lines.slice(2), fleet.getJob("a")?.getData().state];
  }));
});

test("a job that fails on several workers is stopped, and its failures do not count against them", (t) => {
  const fail = (jobId: string, attempt: number, worker: string): Step[] => [
    start(jobId, [0, attempt, worker]),
    end(jobId, 0, attempt, "failed"),
  ];
  const idempotent = { isIdempotent: true };
  const { lines, fleet } = judge([
    ...["a", "b", "c"].map((jobId) => accept(jobId, 1, idempotent)),
    ...["a", "b"].flatMap((jobId) => fail(jobId, 1, "worker-1")),
    ["worker-set-aside", { worker: "worker-1" }],
    ...fail("c", 1, "worker-1"),
    ["worker-set-aside", { worker: "worker-1" }],
    ["worker-set-aside", { worker: "worker-1" }],
    start("a", [0, 2, "worker-1"]),
    ...fail("a", 2, "worker-2"),
    ...fail("a", 3, "worker-3"),
    start("b", [0, 2, "worker-1"]),
    ["job-cancelled", { jobIds: ["b", "c", "d"] }],
  ]);
  t.snapshot(lines.slice(3));
  t.snapshot(["a", "b", "c"].map((id) => {
    const { state, stopReason } = fleet.getJob(id)!.getData();
    return [id, state, stopReason];
  }));
});

test("an ended job is forgotten after a stated number of offsets", (t) => {
  const ended = judge([accept("a", 1), ["job-cancelled", { jobIds: ["a"] }]]).fleet;
  const later = (offsets: number) => {
    const records = toRecords([accept("b", 1)], ended.offset + offsets);
    return foldRecords(ended, records, RECORD_RULES).fleet.getJob("a") !== undefined;
  };
  t.true(later(ENDED_JOB_RETENTION_OFFSETS));
  t.false(later(ENDED_JOB_RETENTION_OFFSETS + 1));
});
