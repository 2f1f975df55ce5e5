/** Virtual runs of the decisions about one queue: members, workers and a log without sockets or clocks. */

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

/** The queue of every run. */
export const SIMULATED_QUEUE = "sidingwatch";

/** Options of a `JobRun`. */
export interface JobSimulationOptions {
  /** The seed of every delay. */
  seed: number;
  /** The zones. */
  zones: number;
  /** The racks of each zone. */
  racksPerZone: number;
  /** The workers of each rack. */
  workersPerRack: number;
  /** What each worker has. */
  workerSize: TaskSize;
  /** The entry hosts. */
  members: number;
  /** The teams with their rights. */
  teams: TeamRights[];
  /** The rules of the fold; a broken one shows that the checks fail. */
  rules?: RecordRules;
  /** The fence of the workers; a broken one shows that the checks fail. */
  mayStart?: MayStart;
  /** Chooses the worker for one task. */
  chooseWorker?: ChooseWorker;
  /** Orders the teams. */
  rankTeam?: RankTeam;
  /** The times by which members act. */
  timings?: JobTimings;
}

/** What a caller says of a job; the rest is as little as can be. */
export type SimulatedJob =
  & Partial<JobAcceptedBody>
  & Pick<JobAcceptedBody, "jobId" | "team" | "tasks">;

/** Runs members against workers and a log in virtual time. */
export class JobSimulation {
  /** The schedule. */
  readonly schedule = VirtualSchedule.create();
  /** The log. */
  readonly log: JobSimulationLog;
  /** The members. */
  readonly members: JobSimulationMember[];
  /** The workers by name. */
  readonly workers = new Map<string, JobSimulationWorker>();
  /** When each task first ran, by task id. */
  readonly firstRunTimes = new Map<string, number>();
  /** Whether every message and every answer arrives. */
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

  /** Creates a run at time zero, with its hosts enrolled and its keys granted. */
  static create(options: JobSimulationOptions): JobSimulation {
    return new JobSimulation(options);
  }

  /** Draws a whole number from a range, both ends included. */
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

  /** Names the member that acts for the queue from now on; the one before it learns of it later. */
  setOwner(index: number, lagMilliseconds: number): void {
    const before = this.members[this.#ownerIndex]!;
    const after = this.members[index % this.members.length]!;
    if (before === after) return;
    this.#ownerIndex = index % this.members.length;
    after.setIsOwner(true);
    this.schedule.add(lagMilliseconds, () => {
      if (this.members[this.#ownerIndex] !== before) before.setIsOwner(false);
    });
  }

  /** Takes a zone out or back, as operators do. */
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

  /** Replaces every member by one that knows nothing. */
  restartAllMembers(): void {
    for (const [index, member] of this.members.entries()) {
      member.restart(index === this.#ownerIndex);
    }
  }

  /** Gets how often each task ran over all workers, by task id. */
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
          this.#enrol(`zululand-${zone}`, `rack-${zone}-${rack}`, worker, options);
        }
      }
    }
  }

  #enrol(zone: string, rack: string, number: number, options: JobSimulationOptions): void {
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
