/** Simulates a pool of fixed size in virtual time, and measures how many jobs meet their objective. */

import type { ConfigurationData, Customer } from "../../fleet/configuration.ts";
import type { ExecutorEntry } from "../../fleet/executor_entry.ts";
import { type JobSpecification, parseTaskName } from "../../fleet/job_specification.ts";
import { NO_RESOURCES } from "../../fleet/resources.ts";
import { RunEnd } from "../../fleet/run.ts";
import type { SchedulingFeatures } from "../../owner/scheduling_features.ts";
import { createListedExecutor, createQueue } from "../../stand_ins/fleet_fixtures.ts";
import { createStepSpecification } from "../../stand_ins/step_fixtures.ts";
import { createRandom, FleetSimulation } from "./fleet_simulation.ts";

/** The interval at which jobs are submitted and results are read, in milliseconds. */
const INTERVAL_MILLISECONDS = 50;
/** The time of the first job, in milliseconds: all executors are known by then. */
const START_MILLISECONDS = 1_000;
/** How many times its objective a job may take and still be of some use. */
const USEFUL_FACTOR = 3;
const STRETCH = 1.6;
const OBJECTIVE_MILLISECONDS = 600;
const EXECUTOR_CAPACITY = { cpu: 16_000, memory: 32_000, accelerators: 0 };
const SERVICE = "tugdesk";

/** Jobs of one kind, of one customer or of none. */
export interface OfferedLoad {
  /** The name of the customer; empty for a public queue without a key. */
  customer: string;
  /** The priority of the queue. */
  priority: number;
  /** The CPU demand of a task, in thousandths of a core. */
  taskCpu: number;
  /** The mean duration of a task, in milliseconds. */
  taskMilliseconds: number;
  /** Gets the mean number of jobs per second at a time after the first job, in milliseconds. */
  getJobsPerSecond: (time: number) => number;
}

/** Options of `simulateOverload`. */
export interface OverloadSimulationOptions {
  /** The seed of arrivals and durations. */
  seed: number;
  /** The number of executors. */
  executors: number;
  /** The customers' weights by name. */
  weights: Readonly<Record<string, number>>;
  /** The offered loads. */
  loads: readonly OfferedLoad[];
  /** How long jobs arrive, in milliseconds. */
  arrivalMilliseconds: number;
  /** How long the simulation continues after that, in milliseconds. */
  completionMilliseconds: number;
  /** When no task starts for a time, in milliseconds after the first job. */
  outage?: { at: number; milliseconds: number };
  /** The scheduling features of the owner. */
  features: SchedulingFeatures;
}

/** A job and its result. */
export interface ServedJob {
  /** The index of its load. */
  load: number;
  /** When it was submitted, in milliseconds after the first job. */
  at: number;
  /** The CPU time that it needs, in core-milliseconds. */
  work: number;
  /** Its objective, in milliseconds. */
  objective: number;
  /** How long it took, in milliseconds; undefined if it has not completed. */
  milliseconds: number | undefined;
}

/** The result of `simulateOverload`. */
export interface OverloadResult {
  /** The jobs in the order of arrival. */
  jobs: readonly ServedJob[];
  /** The violations of invariants, as lines. */
  violations: readonly string[];
}

/** Simulates a load and returns the result of each job. */
export function simulateOverload(options: OverloadSimulationOptions): OverloadResult {
  const random = createRandom(options.seed);
  const durations = new Map<string, number[]>();
  const simulation = FleetSimulation.create({
    seed: options.seed,
    faults: { lostFraction: 0, lateFraction: 0, failingFraction: 0 },
    configuration: createConfiguration(options),
    executors: createExecutors(options.executors),
    features: options.features,
    planRun: (task) => {
      const { jobId, step } = parseTaskName(task)!;
      return { durationMilliseconds: durations.get(jobId)![step]!, end: RunEnd.Done };
    },
  });
  simulation.run(START_MILLISECONDS);
  const jobs: ServedJob[] = [];
  const pending = new Map<string, ServedJob>();
  const end = options.arrivalMilliseconds + options.completionMilliseconds;
  for (let time = 0; time < end; time += INTERVAL_MILLISECONDS) {
    if (time === options.outage?.at) simulation.holdStarts(options.outage.milliseconds);
    options.loads.forEach((load, number) => {
      if (time >= options.arrivalMilliseconds) return;
      const expected = load.getJobsPerSecond(time) * INTERVAL_MILLISECONDS / 1_000;
      for (let arrivals = Math.floor(expected + random()); arrivals > 0; arrivals -= 1) {
        const id = `job-${jobs.length}`;
        // 1.6 steps on average.
        const steps = random() < 0.6 ? 2 : 1;
        const stepDurations = Array.from(
          { length: steps },
          () => load.taskMilliseconds * (0.5 + random()),
        );
        durations.set(id, stepDurations);
        const criticalPath = stepDurations.reduce((sum, duration) => sum + duration, 0);
        const specification = createJob(load, steps, random);
        const job: ServedJob = {
          load: number,
          at: time,
          work: criticalPath * TASKS * load.taskCpu / 1_000,
          objective: STRETCH * criticalPath + OBJECTIVE_MILLISECONDS,
          milliseconds: undefined,
        };
        jobs.push(job);
        pending.set(id, job);
        simulation.submit(id, `queue-${load.priority}`, load.customer, specification);
      }
    });
    simulation.run(INTERVAL_MILLISECONDS);
    for (const [id, job] of pending) {
      if (simulation.getJobState(id) !== "completed") continue;
      pending.delete(id);
      job.milliseconds = time + INTERVAL_MILLISECONDS - job.at;
    }
  }
  return { jobs, violations: simulation.violations };
}

/** Gets the fraction of the work that was done within the objective. */
export function getInTime(jobs: readonly ServedJob[]): number {
  const isInTime = (job: ServedJob) => (job.milliseconds ?? Infinity) <= job.objective;
  return sumWork(jobs.filter(isInTime)) / sumWork(jobs);
}

/** Gets the fraction of the work that was done late, but within three times the objective. */
export function getLate(jobs: readonly ServedJob[]): number {
  const isUseful = (job: ServedJob) =>
    (job.milliseconds ?? Infinity) <= USEFUL_FACTOR * job.objective;
  return sumWork(jobs.filter(isUseful)) / sumWork(jobs) - getInTime(jobs);
}

/** Gets the CPU time that jobs need, in core-milliseconds. */
export function sumWork(jobs: readonly ServedJob[]): number {
  return jobs.reduce((sum, job) => sum + job.work, 0);
}

/** The number of tasks of a step. */
const TASKS = 8;

/** Gets the mean CPU time of a load's jobs, in core-milliseconds. */
export function getMeanWork(load: Pick<OfferedLoad, "taskCpu" | "taskMilliseconds">): number {
  return 1.6 * TASKS * load.taskMilliseconds * load.taskCpu / 1_000;
}

/** Creates a job whose estimated durations differ from the mean by up to half of it. */
function createJob(load: OfferedLoad, steps: number, random: () => number): JobSpecification {
  return {
    text: "",
    steps: Array.from({ length: steps }, (_, number) =>
      createStepSpecification({
        count: TASKS,
        demand: { cpu: load.taskCpu, memory: 500, accelerators: 0 },
        estimatedMilliseconds: Math.round(load.taskMilliseconds * (0.5 + random())),
        after: number === 0 ? [] : [number - 1],
      })),
    repeats: 0,
    firstAt: 0,
    intervalMilliseconds: 0,
  };
}

function createConfiguration({ loads, weights }: OverloadSimulationOptions): ConfigurationData {
  const customers = Object.entries(weights).map(([name, weight]): Customer => ({
    name,
    keys: [name],
    weight,
    ceiling: NO_RESOURCES,
  }));
  const priorities = [...new Set(loads.map(({ priority }) => priority))];
  return {
    version: 1,
    queues: priorities.map((priority) =>
      createQueue({
        name: `queue-${priority}`,
        host: `queue-${priority}.example`,
        service: SERVICE,
        priority,
        stretch: STRETCH,
        objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
        isPublic: true,
      })
    ),
    services: [{ name: SERVICE, isGuarded: false, isSpare: false }],
    customers,
    largestBodyBytes: 10_000,
  };
}

function createExecutors(count: number): ExecutorEntry[] {
  return Array.from({ length: count }, (_, number) =>
    createListedExecutor({
      id: `i-${number}`,
      service: SERVICE,
      capacity: EXECUTOR_CAPACITY,
    }));
}
