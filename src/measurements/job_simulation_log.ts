/** Log of a job simulation; checks the invariants of jobs at every accepted record. */

import type { JobData } from "../jobs/job_data.ts";
import { type AttemptStartedBody, JobRecordKind } from "../jobs/job_record_data.ts";
import { addSizes, isWithin, NO_SIZE, type TaskSize } from "../jobs/task_size.ts";
import { HostState } from "../machines/host_data.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import type { DraftRecord, LogRecord } from "../records/record.ts";
import type { RecordRules } from "../records/record_rule.ts";
import { type Verdict, VerdictOutcome } from "../records/verdict.ts";

/** Offset and verdict of an appended record. */
export interface AppendedRecord {
  /** Offset of the record. */
  offset: number;
  /** Verdict of the fold. */
  verdict: Verdict;
}

/** Owns the fleet at every offset and the invariant violations. */
export class JobSimulationLog {
  readonly #rules: RecordRules;
  readonly #fleets: Fleet[] = [];
  readonly #violations = new Set<string>();
  #count = 0;

  private constructor(rules: RecordRules) {
    this.#rules = rules;
  }

  /** Creates an empty log that judges records by these rules. */
  static create(rules: RecordRules): JobSimulationLog {
    return new JobSimulationLog(rules);
  }

  /** Gets the fleet after the last record. */
  getFleet(): Fleet {
    return this.#fleets.at(-1) ?? Fleet.createEmpty();
  }

  /** Gets the invariant violations. */
  getViolations(): string[] {
    return [...this.#violations];
  }

  /** Adds an invariant violation. */
  addViolation(violation: string): void {
    this.#violations.add(violation);
  }

  /** Appends a record and judges it. */
  append(draft: DraftRecord): AppendedRecord {
    const before = this.getFleet();
    const record: LogRecord = { ...draft, offset: this.#count };
    this.#count += 1;
    const { fleet, judged } = foldRecords(before, [record], this.#rules);
    this.#fleets.push(fleet);
    const { verdict } = judged[0]!;
    if (verdict.outcome === VerdictOutcome.Accepted) this.#check(before, fleet, record);
    return { offset: record.offset, verdict };
  }

  /** Appends a record as an operator, with a unique id. */
  publish(kind: string, body: unknown): AppendedRecord {
    return this.append({ id: `o-${this.#count}`, kind, version: 1, author: "operator", body });
  }

  #check(before: Fleet, after: Fleet, record: LogRecord): void {
    if (record.kind === JobRecordKind.AttemptStarted) {
      this.#checkStart(before, after, record.body as AttemptStartedBody);
    }
    if (Object.values(JobRecordKind).includes(record.kind as JobRecordKind)) {
      this.#checkReservations(after);
    }
  }

  /** Checks started tasks against the tables of the fleet, independently of the checks in the fold. */
  #checkStart(before: Fleet, after: Fleet, body: AttemptStartedBody): void {
    const { team } = after.getJob(body.jobId)!.getData();
    const limit = before.getTeam(team)?.getUpperLimit() ?? 0;
    if (countRunningTasks(after, team) > limit) {
      this.addViolation("a team has more tasks than its limit");
    }
    for (const { worker } of body.starts) {
      const host = before.getHost(worker);
      if (host?.getZone().isOut()) this.addViolation("a task starts in a zone that is out");
      if (host?.getData().state !== HostState.Serving) {
        this.addViolation("a task starts on a host that does not serve");
      }
    }
  }

  #checkReservations(fleet: Fleet): void {
    const sums = sumReserved(fleet.tables.jobs.values());
    for (const [worker, reserved] of sums) {
      const host = fleet.getHost(worker);
      if (host !== undefined && !isWithin(reserved, host.getData())) {
        this.addViolation("a worker holds more than it has");
      }
      const load = fleet.getWorkerLoad(worker)?.reserved ?? NO_SIZE;
      if (JSON.stringify(load) !== JSON.stringify(reserved)) {
        this.addViolation("the load of a worker is not the sum of its tasks");
      }
    }
  }
}

function sumReserved(jobs: Iterable<JobData>): Map<string, TaskSize> {
  const sums = new Map<string, TaskSize>();
  for (const job of jobs) {
    for (const { running } of job.tasks) {
      if (running === undefined) continue;
      sums.set(running.worker, addSizes(sums.get(running.worker) ?? NO_SIZE, running.reserved));
    }
  }
  return sums;
}

function countRunningTasks(fleet: Fleet, team: string): number {
  const tasks = [...fleet.tables.jobs.values()].filter((job) => job.team === team)
    .flatMap((job) => job.tasks);
  return tasks.filter((task) => task.running !== undefined).length;
}
