/** Simulates the decisions about one job queue in virtual time: members, workers and a log, without sockets. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { RECORD_RULES } from "../entry/record_rules.ts";
import type { JobAcceptedBody } from "../jobs/job_record_data.ts";
import { JobRecordKind } from "../jobs/job_record_data.ts";
import { JOB_TIMINGS, type JobTimings } from "../jobs/job_timings.ts";
import { chooseBestFit, type ChooseWorker } from "../jobs/placement.ts";
import { rankByShare, type RankTeam } from "../jobs/queue_plan.ts";
import type { TaskSize } from "../jobs/task_size.ts";
import { HostKind } from "../machines/host_data.ts";
import { HostRecordKind } from "../machines/host_records.ts";
import type { TeamRights } from "../profiles/profile_data.ts";
import { ProfileRecordKind } from "../profiles/profile_records.ts";
import type { RecordRules } from "../records/record_rule.ts";
import { type MayStart, mayStartNewer } from "../stand_ins/worker_model.ts";
import { KeyRecordKind } from "../teams/key_records.ts";
import { ZoneRecordKind } from "../zones/zone_records.ts";
import { JobSimulationLog } from "./job_simulation_log.ts";
import { JobSimulationMember } from "./job_simulation_member.ts";
import { JobSimulationWorker } from "./job_simulation_worker.ts";
import { VirtualSchedule } from "./virtual_schedule.ts";

/** Name of the simulated queue. */
export const SIMULATED_QUEUE = "sidingwatch";

/** Options for `JobSimulation`. */
export interface JobSimulationOptions {
  /** Seed of all delays and losses. */
  seed: number;
  /** Number of zones. */
  zones: number;
  /** Racks per zone. */
  racksPerZone: number;
  /** Workers per rack. */
  workersPerRack: number;
  /** Resources of each worker. */
  workerSize: TaskSize;
  /** Number of entry hosts. */
  members: number;
  /** The teams with their rights. */
  teams: TeamRights[];
  /** Record rules of the fold; a test passes faulty ones to verify the invariant checks. */
  rules?: RecordRules;
  /** Fence of the workers; a test passes a faulty one to verify the invariant checks. */
  mayStart?: MayStart;
  /** Chooses the worker for a task. */
  chooseWorker?: ChooseWorker;
  /** Orders the teams. */
  rankTeam?: RankTeam;
  /** Timings of the members. */
  timings?: JobTimings;
}

/** Fields of a submitted job; the others have defaults. */
export type SimulatedJob =
  & Partial<JobAcceptedBody>
  & Pick<JobAcceptedBody, "jobId" | "team" | "tasks">;

/** Simulates members, workers and a log in virtual time. */
export class JobSimulation {
  /** Schedule of events in virtual time. */
  readonly schedule = VirtualSchedule.create();
  /** Log of all records. */
  readonly log: JobSimulationLog;
  /** Members, one for each entry host. */
  readonly members: JobSimulationMember[];
  /** Workers by name. */
  readonly workers = new Map<string, JobSimulationWorker>();
  /** Time of the first run of each task, by task id. */
  readonly firstRunTimes = new Map<string, number>();
  /** Whether all messages and answers arrive. */
  isNetworkReliable = true;
  readonly #random;
  readonly #zonesOutAt = new Map<string, number>();
  #ownerIndex = 0;

  private constructor(options: JobSimulationOptions) {
    this.#random = xoroshiro128plus(options.seed);
    this.log = JobSimulationLog.create(options.rules ?? RECORD_RULES);
    this.#publishFleet(options);
    const { chooseWorker = chooseBestFit, rankTeam = rankByShare, timings = JOB_TIMINGS } = options;
    this.members = Array.from(
      { length: options.members },
      (_, index) =>
        JobSimulationMember.create({
          run: this,
          memberId: `entry-${index + 1}`,
          queue: SIMULATED_QUEUE,
          chooseWorker,
          rankTeam,
          timings,
        }),
    );
    this.members[0]!.setIsOwner(true);
  }

  /** Creates a simulation at time zero, with its hosts enrolled and its keys granted. */
  static create(options: JobSimulationOptions): JobSimulation {
    return new JobSimulation(options);
  }

  /** Draws an integer from a range, both ends included. */
  draw(from: number, to: number): number {
    return uniformInt(this.#random, from, to);
  }

  /** Appends the record that accepts a job. */
  submit(job: SimulatedJob): void {
    this.log.publish(JobRecordKind.Accepted, {
      queue: SIMULATED_QUEUE,
      keyId: `key-${job.team}`,
      isUrgent: false,
      isGang: false,
      isIdempotent: true,
      mostPerRack: 0,
      payload: "",
      ...job,
    });
  }

  /** Sets the member that owns the queue; the previous owner stops after a lag. */
  setOwner(index: number, lagMilliseconds: number): void {
    const previous = this.members[this.#ownerIndex]!;
    const next = this.members[index % this.members.length]!;
    if (previous === next) return;
    this.#ownerIndex = index % this.members.length;
    next.setIsOwner(true);
    this.schedule.add(lagMilliseconds, () => {
      if (this.members[this.#ownerIndex] !== previous) previous.setIsOwner(false);
    });
  }

  /** Takes a zone out of service or returns it, as operators do. */
  setZoneOut(zone: string, isOut: boolean): void {
    this.log.publish(isOut ? ZoneRecordKind.TakenOut : ZoneRecordKind.Returned, { zone });
    const wasOut = this.#zonesOutAt.has(zone);
    if (isOut && !wasOut) this.#zonesOutAt.set(zone, this.schedule.getNow());
    if (!isOut) this.#zonesOutAt.delete(zone);
  }

  /** Gets when a zone was taken out, if it is out. */
  getZoneOutAt(zone: string): number | undefined {
    return this.#zonesOutAt.get(zone);
  }

  /** Restarts every member without state. */
  restartAllMembers(): void {
    for (const [index, member] of this.members.entries()) {
      member.restart(index === this.#ownerIndex);
    }
  }

  /** Gets the number of runs of each task on all workers, by task id. */
  getRunsByTask(): Map<string, number> {
    const runs = new Map<string, number>();
    for (const worker of this.workers.values()) {
      for (const [key, count] of worker.getRuns()) {
        const taskId = key.split("#")[0]!;
        runs.set(taskId, (runs.get(taskId) ?? 0) + count);
      }
    }
    return runs;
  }

  #publishFleet(options: JobSimulationOptions): void {
    const profile = { profile: "night", teams: options.teams };
    this.log.publish(ProfileRecordKind.Published, profile);
    this.log.publish(ProfileRecordKind.Picked, { service: SIMULATED_QUEUE, profile: "night" });
    for (const { team } of options.teams) {
      const secretHash = "0".repeat(64);
      this.log.publish(KeyRecordKind.Granted, { keyId: `key-${team}`, team, secretHash });
    }
    for (let zone = 1; zone <= options.zones; zone += 1) {
      for (let rack = 1; rack <= options.racksPerZone; rack += 1) {
        for (let worker = 1; worker <= options.workersPerRack; worker += 1) {
          this.#enrolWorker(`zululand-${zone}`, `rack-${zone}-${rack}`, worker, options);
        }
      }
    }
  }

  #enrolWorker(zone: string, rack: string, number: number, options: JobSimulationOptions): void {
    const host = `worker-${rack.slice("rack-".length)}-${number}`;
    this.log.publish(HostRecordKind.Enrolled, {
      host,
      kind: HostKind.Worker,
      pool: SIMULATED_QUEUE,
      zone,
      rack,
      address: host,
      slots: 0,
      connections: 0,
      ...options.workerSize,
    });
    const mayStart = options.mayStart ?? mayStartNewer;
    this.workers.set(host, JobSimulationWorker.create({ run: this, worker: host, zone, mayStart }));
  }
}
