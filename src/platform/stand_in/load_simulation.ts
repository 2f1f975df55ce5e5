/** Plays queues that have their turns on a fleet in virtual time, and measures what callers get. */

import type { ConfigurationData } from "../../fleet/configuration.ts";
import { type Host, HostState } from "../../fleet/host.ts";
import { type JobSpecification, parseTaskName } from "../../fleet/job_specification.ts";
import { RunEnd } from "../../fleet/run.ts";
import type { CapacityPolicy } from "../../owner/pool_need.ts";
import { createStepSpecification } from "../../stand_ins/step_samples.ts";
import { createRandom, FleetSimulation } from "./fleet_simulation.ts";

/** How often results are looked at, in milliseconds. */
const LOOK_MILLISECONDS = 50;
/** The time of the first job, when all executors are listed, in milliseconds. */
const LEAD_MILLISECONDS = 1_000;
/** How long jobs may take after the last arrival, in milliseconds. */
const FINISH_MILLISECONDS = 14_000;
/** What an objective adds to the stretched chain, in milliseconds. */
const OBJECTIVE_MILLISECONDS = 600;
const STRETCH = 1.6;
const SPARE_POOL = "spare";

/** One queue of the play, with its own pool. */
export interface SimulatedQueue {
  /** The name, also of its service. */
  name: string;
  /** The hosts of its pool at the start. */
  hosts: number;
  /** The mean of its jobs a second. */
  jobsPerSecond: number;
  /** The steps of a job, one after another. */
  steps: number;
  /** The tasks of a step. */
  tasks: number;
  /** How long a task takes, in milliseconds, on average. */
  taskMilliseconds: number;
  /** The processor time of a task, in thousandths of a core. */
  taskCpu: number;
}

/** Options of `playLoad`. */
export interface LoadSimulationOptions {
  /** The seed of arrivals and durations. */
  seed: number;
  /** The queues, in the order of their turns. */
  queues: readonly SimulatedQueue[];
  /** The hosts of the spare pool. */
  spareHosts: number;
  /** The processor time of a host, in thousandths of a core. */
  hostCpu: number;
  /** How long a turn lasts, in milliseconds. */
  peakMilliseconds: number;
  /** How many times its mean a queue asks in its turn. */
  peakFactor: number;
  /** For how long jobs arrive, in milliseconds. */
  arrivalMilliseconds: number;
  /** How the sizes of pools follow their load, where not as usual. */
  capacityPolicy?: CapacityPolicy;
  /** When the owner is replaced, in milliseconds after the first job. */
  takeOversAt?: readonly number[];
}

/** What callers got of one queue, and what all cost. */
export interface LoadSimulationResult {
  /** The part of each queue's jobs that met their objective, by its name. */
  inTime: Record<string, number>;
  /** The time that hosts were in pools, in seconds. */
  hostSeconds: number;
  /** The moves of hosts. */
  moves: number;
  /** The promises that were broken. */
  violations: readonly string[];
}

/** Plays a load and gets what came of it. */
export function simulateLoad(options: LoadSimulationOptions): LoadSimulationResult {
  const random = createRandom(options.seed);
  const specifications = new Map<string, number[]>();
  const world = FleetSimulation.create({
    seed: options.seed,
    faults: { lostFraction: 0, lateFraction: 0, failingFraction: 0 },
    configuration: createConfiguration(options),
    hosts: createHosts(options),
    planRun: (task) => {
      const { jobId, step } = parseTaskName(task)!;
      const milliseconds = specifications.get(jobId)?.[step] ?? Infinity;
      return { durationMilliseconds: milliseconds, end: RunEnd.Done };
    },
    ...(options.capacityPolicy === undefined ? {} : { capacityPolicy: options.capacityPolicy }),
  });
  for (const { name } of options.queues) world.submit(`lasting-${name}`, name, "", LASTING);
  world.run(LEAD_MILLISECONDS);
  const pooledBefore = world.pooledHostMilliseconds;
  const pending = new Map<string, { queue: string; dueAt: number }>();
  const counts = new Map(options.queues.map(({ name }) => [name, { all: 0, inTime: 0 }]));
  const takeOvers = [...options.takeOversAt ?? []];
  const end = options.arrivalMilliseconds + FINISH_MILLISECONDS;
  for (let time = 0; time < end; time += LOOK_MILLISECONDS) {
    if (takeOvers[0] !== undefined && time >= takeOvers[0]) {
      takeOvers.shift();
      world.replaceOwner();
    }
    options.queues.forEach((queue, number) => {
      if (time >= options.arrivalMilliseconds) return;
      for (let arrival = countArrivals(options, number, time, random); arrival > 0; arrival -= 1) {
        const id = `${queue.name}-${counts.get(queue.name)!.all}`;
        const durations = Array.from(
          { length: queue.steps },
          () => queue.taskMilliseconds * (0.5 + random()),
        );
        specifications.set(id, durations);
        const chain = durations.reduce((sum, duration) => sum + duration, 0);
        const dueAt = world.getNow() + STRETCH * chain + OBJECTIVE_MILLISECONDS;
        pending.set(id, { queue: queue.name, dueAt });
        counts.get(queue.name)!.all += 1;
        world.submit(id, queue.name, "", createJob(queue, random));
      }
    });
    world.run(LOOK_MILLISECONDS);
    for (const [id, { queue, dueAt }] of pending) {
      if (world.getJobState(id) !== "completed") continue;
      pending.delete(id);
      if (world.getNow() <= dueAt) counts.get(queue)!.inTime += 1;
    }
  }
  const inTime = [...counts].map(([name, count]) => [name, round(count.inTime / count.all)]);
  return {
    inTime: Object.fromEntries(inTime),
    hostSeconds: Math.round((world.pooledHostMilliseconds - pooledBefore) / 1_000),
    moves: world.getMoveCount(),
    violations: world.violations,
  };
}

const LASTING: JobSpecification = {
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

/** Gets how many jobs of a queue arrive in one look; in its turn it asks for more. */
function countArrivals(
  options: LoadSimulationOptions,
  number: number,
  time: number,
  random: () => number,
): number {
  const turn = Math.floor(time / options.peakMilliseconds) % options.queues.length;
  const quietFactor = 0.05;
  const factor = turn === number ? options.peakFactor : quietFactor;
  const expected = options.queues[number]!.jobsPerSecond * factor * LOOK_MILLISECONDS / 1_000;
  return Math.floor(expected + random());
}

/** Creates a job whose declared durations are off by up to half. */
function createJob(queue: SimulatedQueue, random: () => number): JobSpecification {
  const steps = Array.from({ length: queue.steps }, (_, number) => ({
    ...LASTING.steps[0]!,
    count: queue.tasks,
    demand: { cpu: queue.taskCpu, memory: 1_000, accelerators: 0 },
    estimatedMilliseconds: Math.round(queue.taskMilliseconds * (0.5 + random())),
    after: number === 0 ? [] : [number - 1],
    isLasting: false,
    mostAway: 0,
  }));
  return { ...LASTING, steps };
}

function createConfiguration(options: LoadSimulationOptions): ConfigurationData {
  return {
    version: 1,
    queues: options.queues.map(({ name }) => ({
      name,
      host: `${name}.example`,
      pathPrefix: "/",
      service: name,
      priority: 0,
      attemptLimit: 3,
      stretch: STRETCH,
      objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
      isPublic: true,
    })),
    services: [
      ...options.queues.map(({ name }) => ({ name, isGuarded: false, isSpare: false })),
      { name: SPARE_POOL, isGuarded: false, isSpare: true },
    ],
    customers: [],
    largestBodyBytes: 10_000,
  };
}

function createHosts(options: LoadSimulationOptions): Host[] {
  const pools = [...options.queues, { name: SPARE_POOL, hosts: options.spareHosts }];
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
