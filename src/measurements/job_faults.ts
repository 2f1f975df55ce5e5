/** Random faults of a virtual run of jobs, and the checks at its end. */

import { JobState, JobTaskState } from "../jobs/job_data.ts";
import { type DeclaredTask, JobRecordKind } from "../jobs/job_record_data.ts";
import { WorkerFault } from "../stand_ins/worker_model.ts";
import type { JobSimulation } from "./job_simulation.ts";

/** The kinds of faults. */
export const JobFault = {
  PauseMember: "pause-member",
  CutMember: "cut-member",
  ChangeOwner: "change-owner",
  LoseAllMembers: "lose-all-members",
  RestartWorker: "restart-worker",
  CutWorker: "cut-worker",
  WorkerFailsAll: "worker-fails-all",
  WorkerLosesAnswers: "worker-loses-answers",
  WorkerNeverEnds: "worker-never-ends",
  WorkerIsSlow: "worker-is-slow",
  LapseLeases: "lapse-leases",
  ZoneOut: "zone-out",
  CancelWave: "cancel-wave",
  SubmitUrgent: "submit-urgent",
  LowerLimit: "lower-limit",
} as const;

/** One of the kinds of faults. */
export type JobFault = (typeof JobFault)[keyof typeof JobFault];

/** One fault of a script. */
export interface JobFaultEvent {
  /** When it comes. */
  atMilliseconds: number;
  /** The kind. */
  fault: JobFault;
  /** The member, worker or zone, counted around. */
  target: number;
  /** How long it lasts. */
  lastsMilliseconds: number;
}

/** The time after which faults end and the run must come to its end. */
export const FAULTS_END_MILLISECONDS = 90_000;

/** How long the rest of a run may take, beyond the longest wait for a silent worker. */
const CALM_MILLISECONDS = 600_000;

const TEAMS = ["tug-desk", "mine-desk", "harbour-desk"] as const;

/** The upper limits of the teams in every run. */
export const FAULT_RUN_TEAMS = TEAMS.map((team, index) => ({
  team,
  share: index + 1,
  upperLimit: 6 + 2 * index,
  taskLimit: 6 + 2 * index,
}));

/** Submits the jobs of a run: idempotent or not, gangs, spread over racks, some bound to fail. */
export function submitJobs(run: JobSimulation, count: number): void {
  for (let number = 0; number < count; number += 1) {
    const team = TEAMS[number % TEAMS.length]!;
    const tasks = Array.from({ length: run.draw(1, 4) }, () => drawTask(run));
    const runMilliseconds = run.draw(1, 20) * 1_000;
    const isGang = run.draw(0, 3) === 0;
    run.submit({
      jobId: `${team}:${number}`,
      team,
      isIdempotent: run.draw(0, 1) === 0,
      isGang,
      mostPerRack: run.draw(0, 3) === 0 ? 2 : 0,
      payload: JSON.stringify({ runMilliseconds, isFailing: run.draw(0, 7) === 0 }),
      tasks,
    });
  }
}

function drawTask(run: JobSimulation): DeclaredTask {
  const cores = run.draw(1, 12);
  const memoryGigabytes = run.draw(1, 48);
  const accelerators = run.draw(0, 3) === 0 ? 1 : 0;
  return { size: { cores, memoryGigabytes, accelerators }, runMilliseconds: 10_000 };
}

/** Plays the faults, then lets the run come to its end, and gets the invariants that were broken. */
export function simulateFaults(run: JobSimulation, script: readonly JobFaultEvent[]): string[] {
  run.isNetworkReliable = false;
  for (const event of script) {
    run.schedule.add(event.atMilliseconds, () => applyFault(run, event));
  }
  run.schedule.runUntil(FAULTS_END_MILLISECONDS);
  healAll(run);
  run.schedule.runUntil(FAULTS_END_MILLISECONDS + CALM_MILLISECONDS);
  checkRuns(run);
  checkEnds(run);
  return run.log.getViolations();
}

function applyFault(run: JobSimulation, event: JobFaultEvent): void {
  const member = run.members[event.target % run.members.length]!;
  const workers = [...run.workers.values()];
  const worker = workers[event.target % workers.length]!;
  const until = run.schedule.getNow() + event.lastsMilliseconds;
  const orderFault = (fault: WorkerFault) => {
    worker.setFault(fault);
    run.schedule.add(event.lastsMilliseconds, () => worker.setFault(WorkerFault.None));
  };
  switch (event.fault) {
    case JobFault.PauseMember:
      return member.pauseUntil(until);
    case JobFault.CutMember:
      return member.disconnectUntil(until);
    case JobFault.ChangeOwner:
      return run.setOwner(event.target, event.lastsMilliseconds);
    case JobFault.LoseAllMembers:
      return run.restartAllMembers();
    case JobFault.RestartWorker:
      return worker.restart();
    case JobFault.CutWorker:
      return worker.disconnectUntil(until);
    case JobFault.WorkerFailsAll:
      return orderFault(WorkerFault.FailAll);
    case JobFault.WorkerLosesAnswers:
      return orderFault(WorkerFault.LoseAnswers);
    case JobFault.WorkerNeverEnds:
      return orderFault(WorkerFault.NeverEnd);
    case JobFault.WorkerIsSlow:
      return orderFault(WorkerFault.Slow);
    case JobFault.LapseLeases:
      return orderFault(WorkerFault.LapseLeases);
    case JobFault.ZoneOut:
      run.setZoneOut(`zululand-${1 + event.target % 2}`, true);
      return run.schedule.add(
        event.lastsMilliseconds,
        () => run.setZoneOut(`zululand-${1 + event.target % 2}`, false),
      );
    case JobFault.CancelWave:
      return cancelWave(run, event.target);
    case JobFault.SubmitUrgent:
      return submitUrgent(run, event);
    case JobFault.LowerLimit:
      return lowerLimit(run, event);
  }
}

function cancelWave(run: JobSimulation, target: number): void {
  const jobIds = [...run.log.getFleet().tables.jobs.keys()].filter((_, index) =>
    index % 3 === target % 3
  );
  if (jobIds.length > 0) run.log.publish(JobRecordKind.Cancelled, { jobIds });
}

function submitUrgent(run: JobSimulation, { target, atMilliseconds }: JobFaultEvent): void {
  const team = TEAMS[target % TEAMS.length]!;
  run.submit({
    jobId: `${team}:urgent-${atMilliseconds}-${target}`,
    team,
    isUrgent: true,
    payload: JSON.stringify({ runMilliseconds: 2_000 }),
    tasks: [{ ...drawTask(run), size: { cores: 16, memoryGigabytes: 8, accelerators: 0 } }],
  });
}

function lowerLimit(run: JobSimulation, { target }: JobFaultEvent): void {
  const teams = FAULT_RUN_TEAMS.map((rights, index) => ({
    ...rights,
    taskLimit: index === target % TEAMS.length ? 4 : rights.taskLimit,
  }));
  run.log.publish("profile-published", { profile: "night", teams });
}

function healAll(run: JobSimulation): void {
  run.isNetworkReliable = true;
  for (const zone of ["zululand-1", "zululand-2"]) run.setZoneOut(zone, false);
  for (const worker of run.workers.values()) {
    worker.setFault(WorkerFault.None);
    worker.disconnectUntil(0);
  }
  for (const member of run.members) member.disconnectUntil(0);
}

/** No attempt runs twice, and of a non-idempotent task no second attempt runs. */
function checkRuns(run: JobSimulation): void {
  for (const worker of run.workers.values()) {
    for (const count of worker.getRuns().values()) {
      if (count > 1) run.log.addViolation("a worker ran an attempt twice");
    }
  }
  const fleet = run.log.getFleet();
  for (const [taskId, count] of run.getRunsByTask()) {
    const job = fleet.getJob(taskId.split("/")[0]!)?.getData();
    if (job === undefined) run.log.addViolation("a task ran of a job that was not accepted");
    if (job?.isIdempotent === false && count > 1) {
      run.log.addViolation("a non-idempotent task ran twice");
    }
  }
}

/** Every accepted job has ended, and one said to be complete has run. */
function checkEnds(run: JobSimulation): void {
  const { jobs, endedJobs } = run.log.getFleet().tables;
  if (jobs.size > 0) run.log.addViolation("an accepted job has not ended");
  const runs = run.getRunsByTask();
  for (const job of endedJobs.values()) {
    if (job.state === JobState.Active) run.log.addViolation("an ended job is said to be active");
    for (const [task, data] of job.tasks.entries()) {
      const count = runs.get(`${job.jobId}/${task}`) ?? 0;
      if (data.state === JobTaskState.Completed && count === 0) {
        run.log.addViolation("a task that never ran is said to be complete");
      }
      if (data.attempt === 0 && count > 0) run.log.addViolation("a task ran without a record");
    }
  }
  if (run.log.getFleet().tables.teamTasks.size > 0) {
    run.log.addViolation("tasks of ended jobs count against a team");
  }
}
