/** Measures how soon urgent work starts when all is full, and runs jobs under random faults. */

import { build } from "hdr-histogram-js";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type AttemptEndedBody, AttemptResult, JobRecordKind } from "../jobs/job_record_data.ts";
import { chooseBestFit, chooseFirstFit, type ChooseWorker } from "../jobs/placement.ts";
import { addSizes, NO_SIZE } from "../jobs/task_size.ts";
import { VerdictOutcome } from "../records/verdict.ts";
import {
  FAULT_RUN_TEAMS,
  FAULTS_END_MILLISECONDS,
  JobFault,
  type JobFaultEvent,
  simulateFaults,
  submitJobs,
} from "./job_faults.ts";
import { JobSimulation } from "./job_simulation.ts";
import type { Measurement, MeasurementOptions, MeasurementTable } from "./measurement.ts";

/** The measurement `jobs`. */
export const JOBS_MEASUREMENT: Measurement = { name: "jobs", run: measureJobs };

/** The measurement `job-faults`. */
export const JOB_FAULTS_MEASUREMENT: Measurement = { name: "job-faults", run: measureJobFaults };

/** What each worker of the runs has. */
const WORKER_SIZE = { cores: 32, memoryGigabytes: 128, accelerators: 2 };

/** The urgent jobs of a run, one every two seconds. */
const URGENT_JOBS = 40;

/** The filling jobs for each worker: more than there is room for. */
const JOBS_PER_WORKER = 9;

/** The time between two urgent jobs. */
const URGENT_INTERVAL_MILLISECONDS = 2_000;

/** When the first urgent job comes: all is full by then. */
const URGENT_FROM_MILLISECONDS = 60_000;

function measureJobs({ seed, isQuick }: MeasurementOptions): Promise<MeasurementTable[]> {
  const algorithms: [string, ChooseWorker][] = [
    ["best fit", chooseBestFit],
    ["first fit", chooseFirstFit],
  ];
  const brokenInvariants: string[] = [];
  const rows = algorithms.map(([name, chooseWorker]) => {
    const { row, broken } = runUrgent(chooseWorker, seed, isQuick ? 2 : 21);
    brokenInvariants.push(...broken);
    return [name, ...row];
  });
  const title =
    "Urgent work when all is full: one pool of 252 workers, virtual time (start under 1500 ms)";
  const columns = [
    "placement",
    "tasks running when full",
    "cores reserved (%)",
    "urgent started",
    "p50 to start (ms)",
    "p99 to start (ms)",
    "longest (ms)",
    "tasks moved",
    "work lost (core s)",
  ];
  return Promise.resolve([{ title, columns, rows, brokenInvariants }]);
}

function runUrgent(chooseWorker: ChooseWorker, seed: number, racksPerZone: number) {
  const run = JobSimulation.create({
    seed,
    zones: 3,
    racksPerZone,
    workersPerRack: 4,
    workerSize: WORKER_SIZE,
    members: 2,
    teams: [
      { team: "mine-desk", share: 3, upperLimit: 100_000, taskLimit: 100_000 },
      { team: "harbour-desk", share: 1, upperLimit: 100_000, taskLimit: 100_000 },
    ],
    chooseWorker,
  });
  const moved = countMoves(run);
  submitFilling(run, racksPerZone * 12 * JOBS_PER_WORKER);
  run.schedule.runUntil(URGENT_FROM_MILLISECONDS);
  const full = summariseFull(run);
  const submittedAt = submitUrgent(run);
  const end = URGENT_FROM_MILLISECONDS + (URGENT_JOBS + 10) * URGENT_INTERVAL_MILLISECONDS;
  run.schedule.runUntil(end);
  const times = build();
  for (const [taskId, at] of submittedAt) {
    const startedAt = run.firstRunTimes.get(taskId);
    if (startedAt !== undefined) times.recordValue(startedAt - at);
  }
  const started = `${times.totalCount} of ${URGENT_JOBS}`;
  const [p50, p99] = [times.getValueAtPercentile(50), times.getValueAtPercentile(99)];
  const row = [...full, started, p50, p99, times.maxValue, moved.tasks, moved.lostCoreSeconds];
  return { row, broken: run.log.getViolations() };
}

/** Counts the tasks that gave way, and the work of those that ended without a checkpoint. */
function countMoves(run: JobSimulation): { tasks: number; lostCoreSeconds: number } {
  const moved = { tasks: 0, lostCoreSeconds: 0 };
  const append = run.log.append.bind(run.log);
  run.log.append = (draft) => {
    const before = run.log.getFleet();
    const appended = append(draft);
    const isEnd = draft.kind === JobRecordKind.AttemptEnded;
    if (!isEnd || appended.verdict.outcome !== VerdictOutcome.Accepted) return appended;
    for (const end of (draft.body as AttemptEndedBody).ends) {
      if (end.result !== AttemptResult.Checkpointed) continue;
      moved.tasks += 1;
      if (end.checkpoint !== undefined) continue;
      const running = before.getJob(end.jobId)?.getTasks()[end.task]?.running;
      const runSeconds = (end.used?.runMilliseconds ?? 0) / 1_000;
      moved.lostCoreSeconds += Math.round(runSeconds * (running?.reserved.cores ?? 0));
    }
    return appended;
  };
  return moved;
}

/** Submits more long, idempotent work of mixed sizes than there is room for. */
function submitFilling(run: JobSimulation, jobs: number): void {
  const payload = JSON.stringify({ runMilliseconds: 3_600_000 });
  for (let number = 0; number < jobs; number += 1) {
    const team = number % 2 === 0 ? "mine-desk" : "harbour-desk";
    const cores = run.draw(1, 8);
    const memoryGigabytes = run.draw(2, 32);
    const accelerators = run.draw(0, 9) === 0 ? 1 : 0;
    run.submit({
      jobId: `${team}:${number}`,
      team,
      payload,
      tasks: [{ size: { cores, memoryGigabytes, accelerators }, runMilliseconds: 3_600_000 }],
    });
  }
}

function submitUrgent(run: JobSimulation): Map<string, number> {
  const submittedAt = new Map<string, number>();
  for (let number = 0; number < URGENT_JOBS; number += 1) {
    run.schedule.add(number * URGENT_INTERVAL_MILLISECONDS, () => {
      const jobId = `harbour-desk:urgent-${number}`;
      const size = { cores: 16, memoryGigabytes: 32, accelerators: number % 2 };
      submittedAt.set(`${jobId}/0`, run.schedule.getNow());
      run.submit({
        jobId,
        team: "harbour-desk",
        isUrgent: true,
        payload: JSON.stringify({ runMilliseconds: 60_000 }),
        tasks: [{ size, runMilliseconds: 60_000 }],
      });
      for (const member of run.members) member.scheduleRead();
    });
  }
  return submittedAt;
}

function summariseFull(run: JobSimulation): [number, number] {
  const fleet = run.log.getFleet();
  const loads = [...fleet.tables.workerLoads.values()];
  const reserved = loads.map((load) => load.reserved).reduce(addSizes, NO_SIZE);
  const total = fleet.getHosts().map((host) => host.getData().cores)
    .reduce((sum, cores) => sum + cores, 0);
  const tasks = loads.reduce((sum, load) => sum + load.taskCount, 0);
  return [tasks, Math.round((reserved.cores / total) * 1_000) / 10];
}

/** The random runs of a long measurement, and of a quick one. */
const FAULT_RUNS = { long: 400, quick: 20 } as const;

function measureJobFaults({ seed, isQuick }: MeasurementOptions): Promise<MeasurementTable[]> {
  const random = xoroshiro128plus(seed);
  const runs = isQuick ? FAULT_RUNS.quick : FAULT_RUNS.long;
  const states = new Map<string, number>();
  const broken = new Set<string>();
  for (let number = 0; number < runs; number += 1) {
    const runSeed = uniformInt(random, 0, 1 << 30);
    const run = JobSimulation.create({
      seed: runSeed,
      zones: 2,
      racksPerZone: 2,
      workersPerRack: 2,
      workerSize: WORKER_SIZE,
      members: 3,
      teams: FAULT_RUN_TEAMS,
    });
    submitJobs(run, 18);
    const script = Array.from({ length: uniformInt(random, 4, 24) }, () => drawFault(random));
    for (const invariant of simulateFaults(run, script)) {
      broken.add(`${invariant} (seed ${runSeed})`);
    }
    for (const { state } of run.log.getFleet().tables.endedJobs.values()) {
      states.set(state, (states.get(state) ?? 0) + 1);
    }
  }
  const title = `Jobs under random faults: ${runs} runs, seed ${seed}`;
  const rows = [...states].sort().map(([state, count]) => [state, count]);
  const columns = ["state at the end", "jobs"];
  return Promise.resolve([{ title, columns, rows, brokenInvariants: [...broken] }]);
}

function drawFault(random: ReturnType<typeof xoroshiro128plus>): JobFaultEvent {
  const faults = Object.values(JobFault);
  return {
    atMilliseconds: uniformInt(random, 0, FAULTS_END_MILLISECONDS - 1),
    fault: faults[uniformInt(random, 0, faults.length - 1)]!,
    target: uniformInt(random, 0, 30),
    lastsMilliseconds: uniformInt(random, 100, 40_000),
  };
}
