/** The log of a virtual run, with the invariants of jobs checked at every accepted record. */

import type { JobData } from "../jobs/job_data.ts";
import { type AttemptStartedBody, JobRecordKind } from "../jobs/job_record_data.ts";
import { addSizes, isWithin, NO_SIZE, type TaskSize } from "../jobs/task_size.ts";
import { HostState } from "../machines/host_data.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import type { DraftRecord, LogRecord } from "../records/record.ts";
import type { RecordRules } from "../records/record_rule.ts";
import { type Verdict, VerdictOutcome } from "../records/verdict.ts";

/** A record with its verdict and offset. */
export interface AppendedRecord {
  /** The offset. */
  offset: number;
  /** The verdict. */
  verdict: Verdict;
}

/** Owns the records of a run and the fleet at every offset. */
export class JobSimulationLog {
  readonly #rules: RecordRules;
  readonly #fleets: Fleet[] = [];
  readonly #broken = new Set<string>();
  #count = 0;

  private constructor(rules: RecordRules) {
    this.#rules = rules;
  }

  /** Creates an empty log that is judged by these rules. */
  static create(rules: RecordRules): JobSimulationLog {
    return new JobSimulationLog(rules);
  }

  /** Gets the fleet after the newest record. */
  getFleet(): Fleet {
    return this.#fleets.at(-1) ?? Fleet.createEmpty();
  }

  /** Gets the invariants that were broken. */
  getViolations(): string[] {
    return [...this.#broken];
  }

  /** Notes that an invariant was broken. */
  addViolation(invariant: string): void {
    this.#broken.add(invariant);
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

  /** Appends a record of an operator, with an id of its own. */
  publish(kind: string, body: unknown): AppendedRecord {
    return this.append({ id: `o-${this.#count}`, kind, version: 1, author: "operator", body });
  }

  #check(before: Fleet, after: Fleet, record: LogRecord): void {
    if (record.kind === JobRecordKind.AttemptStarted) {
      this.#checkStart(before, after, record.body as AttemptStartedBody);
    }
    if (Object.values(JobRecordKind).includes(record.kind as JobRecordKind)) {
      this.#checkSums(after);
    }
  }

  /** Checks a start against the rows of the fleet, apart from what the fold itself checked. */
  #checkStart(before: Fleet, after: Fleet, body: AttemptStartedBody): void {
    const { team } = after.getJob(body.jobId)!.getData();
    const limit = before.getTeam(team)?.getUpperLimit() ?? 0;
    if (countRunning(after, team) > limit) {
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

  #checkSums(fleet: Fleet): void {
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

function countRunning(fleet: Fleet, team: string): number {
  const tasks = [...fleet.tables.jobs.values()].filter((job) => job.team === team)
    .flatMap((job) => job.tasks);
  return tasks.filter((task) => task.running !== undefined).length;
}
