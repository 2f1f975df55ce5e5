/**
 * Simulates queues with alternating load peaks in virtual time, and measures how many jobs meet
 * their objective.
 */

import type { ConfigurationData } from "../../fleet/configuration.ts";
import { type Host, HostState } from "../../fleet/host.ts";
import { type JobSpecification, parseTaskName } from "../../fleet/job_specification.ts";
import { RunEnd } from "../../fleet/run.ts";
import type { CapacityPolicy } from "../../owner/pool_need.ts";
import type { SchedulingFeatures } from "../../owner/scheduling_features.ts";
import { createStepSpecification } from "../../stand_ins/step_fixtures.ts";
import { createRandom, FleetSimulation } from "./fleet_simulation.ts";

/** The interval at which jobs are submitted and results are read, in milliseconds. */
const INTERVAL_MILLISECONDS = 50;
/** The time of the first job, in milliseconds: all executors are listed by then. */
const START_MILLISECONDS = 1_000;
/** How long the simulation continues after the last arrival, in milliseconds. */
const COMPLETION_MILLISECONDS = 14_000;
/** The constant part of a job's objective, in milliseconds. */
const OBJECTIVE_MILLISECONDS = 600;
/** The part of a job's objective that is proportional to its critical path, as a factor. */
const STRETCH = 1.6;
const SPARE_POOL = "spare";
/** The load of a queue between its peaks, as a multiple of its mean. */
export const OFF_PEAK_FACTOR = 0.05;

/** A simulated queue, which has its own service and pool unless it shares that of another one. */
export interface SimulatedQueue {
  /** The name of the queue, and of its service and pool unless `pool` names them. */
  name: string;
  /** The queue whose service and pool it shares; it has no hosts of its own then. */
  pool?: string;
  /** The priority of its jobs; 0 by default, which comes first. */
  priority?: number;
  /** The number of hosts in its pool at the start. */
  hosts: number;
  /** The mean number of jobs per second. */
  jobsPerSecond: number;
  /** The number of steps of a job, each of which depends on the previous one. */
  steps: number;
  /** The number of tasks of a step. */
  tasks: number;
  /** The mean duration of a task, in milliseconds. */
  taskMilliseconds: number;
  /** The CPU demand of a task, in thousandths of a core. */
  taskCpu: number;
  /** The memory demand of a task, in MB; 1,000 by default. */
  taskMemory?: number;
  /** The jobs with larger tasks, if there are any. */
  largeJobs?: {
    /** The fraction of the jobs. */
    fraction: number;
    /** The CPU demand of their tasks, in thousandths of a core. */
    taskCpu: number;
    /** Whether their steps are gangs. */
    isGang?: boolean;
  };
}

/** Options of `simulateLoad`. */
export interface LoadSimulationOptions {
  /** The seed of arrivals and durations. */
  seed: number;
  /** The queues, in the order of their peaks. */
  queues: readonly SimulatedQueue[];
  /** The number of hosts in the spare pool. */
  spareHosts: number;
  /** The CPU capacity of a host, in thousandths of a core. */
  hostCpu: number;
  /** How long the peak of a queue lasts, in milliseconds. */
  peakMilliseconds: number;
  /** The load of a queue at its peak, as a multiple of its mean. */
  peakFactor: number;
  /** How long jobs arrive, in milliseconds. */
  arrivalMilliseconds: number;
  /** The scheduling features that are on; none by default. */
  features?: SchedulingFeatures;
  /** The policy for the sizes of pools, if it is not the default. */
  capacityPolicy?: CapacityPolicy;
  /**
   * Gets the load of a queue, by its number, at a time in milliseconds after the first job, as a
   * multiple of its mean. By default the queues have their peaks in turn.
   */
  getLoadFactor?: (queue: number, time: number) => number;
  /** Jobs that arrive earlier are not counted, in milliseconds after the first job; 0 by default. */
  countedFrom?: number;
  /** The times at which the owner is replaced, in milliseconds after the first job. */
  takeOversAt?: readonly number[];
}

/** How many jobs met their objective, and the cost of all queues together. */
export interface LoadSimulationResult {
  /** The fraction of each queue's jobs that met their objective, by queue name. */
  inTime: Record<string, number>;
  /** The same fraction of the jobs with larger tasks, of those queues that have any. */
  largeInTime?: Record<string, number>;
  /** The total time that hosts spent in pools other than spare ones, in seconds. */
  hostSeconds: number;
  /** The number of host moves. */
  moves: number;
  /** The violations of invariants, as lines. */
  violations: readonly string[];
}

/** Simulates a load and returns the result. */
export function simulateLoad(options: LoadSimulationOptions): LoadSimulationResult {
  const random = createRandom(options.seed);
  const stepDurations = new Map<string, number[]>();
  const simulation = FleetSimulation.create({
    seed: options.seed,
    faults: { lostFraction: 0, lateFraction: 0, failingFraction: 0 },
    configuration: createConfiguration(options),
    hosts: createHosts(options),
    features: options.features,
    planRun: (task) => {
      const { jobId, step } = parseTaskName(task)!;
      const milliseconds = stepDurations.get(jobId)?.[step] ?? Infinity;
      return { durationMilliseconds: milliseconds, end: RunEnd.Done };
    },
    ...(options.capacityPolicy === undefined ? {} : { capacityPolicy: options.capacityPolicy }),
  });
  for (const { name, pool } of options.queues) {
    if (pool !== undefined) continue;
    simulation.submit(`long-running-${name}`, name, "", LONG_RUNNING_JOB);
  }
  simulation.run(START_MILLISECONDS);
  const pooledBefore = simulation.pooledHostMilliseconds;
  const pending = new Map<string, { queue: string; dueAt: number; isLarge: boolean }>();
  const counts = createCounts(options);
  const largeCounts = createCounts(options);
  let jobCount = 0;
  const takeOvers = [...options.takeOversAt ?? []];
  const end = options.arrivalMilliseconds + COMPLETION_MILLISECONDS;
  for (let time = 0; time < end; time += INTERVAL_MILLISECONDS) {
    if (takeOvers[0] !== undefined && time >= takeOvers[0]) {
      takeOvers.shift();
      simulation.replaceOwner();
    }
    options.queues.forEach((queue, number) => {
      if (time >= options.arrivalMilliseconds) return;
      for (let arrival = countArrivals(options, number, time, random); arrival > 0; arrival -= 1) {
        const id = `${queue.name}-${jobCount}`;
        jobCount += 1;
        const durations = Array.from(
          { length: queue.steps },
          () => queue.taskMilliseconds * (0.5 + random()),
        );
        stepDurations.set(id, durations);
        const criticalPath = durations.reduce((sum, duration) => sum + duration, 0);
        const dueAt = simulation.getNow() + STRETCH * criticalPath + OBJECTIVE_MILLISECONDS;
        const isLarge = queue.largeJobs !== undefined && random() < queue.largeJobs.fraction;
        if (time >= (options.countedFrom ?? 0)) {
          pending.set(id, { queue: queue.name, dueAt, isLarge });
          counts.get(queue.name)!.all += 1;
          if (isLarge) largeCounts.get(queue.name)!.all += 1;
        }
        simulation.submit(id, queue.name, "", createJob(queue, isLarge, random));
      }
    });
    simulation.run(INTERVAL_MILLISECONDS);
    for (const [id, { queue, dueAt, isLarge }] of pending) {
      if (simulation.getJobState(id) !== "completed") continue;
      pending.delete(id);
      if (simulation.getNow() > dueAt) continue;
      counts.get(queue)!.inTime += 1;
      if (isLarge) largeCounts.get(queue)!.inTime += 1;
    }
  }
  const hasLargeJobs = options.queues.some(({ largeJobs }) => largeJobs !== undefined);
  return {
    inTime: getFractions(counts),
    ...(hasLargeJobs ? { largeInTime: getFractions(largeCounts) } : {}),
    hostSeconds: Math.round((simulation.pooledHostMilliseconds - pooledBefore) / 1_000),
    moves: simulation.getMoveCount(),
    violations: simulation.violations,
  };
}

/** The number of jobs, and of those that met their objective. */
interface JobCount {
  all: number;
  inTime: number;
}

function createCounts({ queues }: LoadSimulationOptions): Map<string, JobCount> {
  return new Map(queues.map(({ name }) => [name, { all: 0, inTime: 0 }]));
}

/** Gets the fraction of the jobs that met their objective, of the queues that had any. */
function getFractions(counts: ReadonlyMap<string, JobCount>): Record<string, number> {
  const used = [...counts].filter(([, { all }]) => all > 0);
  return Object.fromEntries(used.map(([name, { all, inTime }]) => [name, round(inTime / all)]));
}

const LONG_RUNNING_JOB: JobSpecification = {
  text: "",
  steps: [
    createStepSpecification({
      count: 5,
      estimatedMilliseconds: 700,
      isLasting: true,
      mostAway: 2,
    }),
  ],
  repeats: 0,
  firstAt: 0,
  intervalMilliseconds: 0,
};

/** Gets the number of jobs of a queue that arrive in one interval: more at its peak. */
function countArrivals(
  options: LoadSimulationOptions,
  number: number,
  time: number,
  random: () => number,
): number {
  const factor = options.getLoadFactor?.(number, time) ??
    getAlternatingFactor(options, number, time);
  const expected = options.queues[number]!.jobsPerSecond * factor * INTERVAL_MILLISECONDS / 1_000;
  return Math.floor(expected + random());
}

function getAlternatingFactor(
  options: LoadSimulationOptions,
  number: number,
  time: number,
): number {
  const peakQueue = Math.floor(time / options.peakMilliseconds) % options.queues.length;
  return peakQueue === number ? options.peakFactor : OFF_PEAK_FACTOR;
}

/** Creates a job whose estimated durations differ from the mean by up to half of it. */
function createJob(
  queue: SimulatedQueue,
  isLarge: boolean,
  random: () => number,
): JobSpecification {
  const large = isLarge ? queue.largeJobs : undefined;
  const steps = Array.from({ length: queue.steps }, (_, number) => ({
    ...LONG_RUNNING_JOB.steps[0]!,
    count: queue.tasks,
    demand: {
      cpu: large?.taskCpu ?? queue.taskCpu,
      memory: queue.taskMemory ?? 1_000,
      accelerators: 0,
    },
    isGang: large?.isGang ?? false,
    estimatedMilliseconds: Math.round(queue.taskMilliseconds * (0.5 + random())),
    after: number === 0 ? [] : [number - 1],
    isLasting: false,
    mostAway: 0,
  }));
  return { ...LONG_RUNNING_JOB, steps };
}

function createConfiguration(options: LoadSimulationOptions): ConfigurationData {
  return {
    version: 1,
    queues: options.queues.map(({ name, pool, priority }) => ({
      name,
      host: `${name}.example`,
      pathPrefix: "/",
      service: pool ?? name,
      priority: priority ?? 0,
      attemptLimit: 3,
      stretch: STRETCH,
      objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
      isPublic: true,
    })),
    services: [
      ...options.queues.filter(({ pool }) => pool === undefined).map(({ name }) => ({
        name,
        isGuarded: false,
        isSpare: false,
      })),
      { name: SPARE_POOL, isGuarded: false, isSpare: true },
    ],
    customers: [],
    largestBodyBytes: 10_000,
  };
}

function createHosts(options: LoadSimulationOptions): Host[] {
  const queues = options.queues.filter(({ pool }) => pool === undefined);
  const pools = [...queues, { name: SPARE_POOL, hosts: options.spareHosts }];
  return pools.flatMap(({ name, hosts }) =>
    Array.from({ length: hosts }, (_, number) => ({
      name: `${name}-host-${number}`,
      pool: name,
      state: HostState.Up,
      zone: `zone-${number % 3}`,
      capacity: { cpu: options.hostCpu, memory: 131_072, accelerators: 0 },
      executorId: "",
    }))
  );
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
