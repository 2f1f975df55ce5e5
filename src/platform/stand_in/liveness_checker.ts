/**
 * Checks the invariant `LOST` for runnable tasks: in periods without faults, those for which there
 * is enough capacity are started.
 */

import type { ConfigurationData } from "../../fleet/configuration.ts";
import type { ExecutorEntry } from "../../fleet/executor_entry.ts";
import {
  formatTaskName,
  type JobSpecification,
  parseTaskName,
  type StepSpecification,
} from "../../fleet/job_specification.ts";
import { addResources, fitsCapacity, NO_RESOURCES, type Resources } from "../../fleet/resources.ts";
import { RunEnd } from "../../fleet/run.ts";
import type { ExecutorModel } from "./executor_model.ts";

/** How long a job with runnable tasks may have none running, in milliseconds. */
const MAXIMUM_IDLE_MILLISECONDS = 3_000;
/** How long after a fault the invariant does not apply, in milliseconds. */
const FAULT_RECOVERY_MILLISECONDS = 4_000;
/** How long a long-running task may be down after its last run, in milliseconds. */
const MAXIMUM_DOWN_MILLISECONDS = 6_000;
/** How many times the needed capacity must be free for the invariant to apply. */
const FREE_CAPACITY_FACTOR = 2;
/** The used fraction of a service's capacity and a customer's quota up to which it applies. */
const MAXIMUM_USED_FRACTION = 0.5;

/** A job whose starts are checked. */
interface SubmittedJob {
  queue: string;
  customer: string;
  specification: JobSpecification;
}

/** The state of the fleet at one time. */
export interface FleetView {
  /** The time, in milliseconds. */
  now: number;
  /** The executors by id. */
  models: ReadonlyMap<string, ExecutorModel>;
  /** The entries of the executors by id. */
  entries: ReadonlyMap<string, ExecutorEntry>;
  /** The evacuated zones. */
  evacuatedZones: ReadonlySet<string>;
  /** Gets the state of a job, as reported to callers. */
  getJobState: (id: string) => string | undefined;
}

/** An executor with its running tasks and the resources that they use. */
interface ExecutorUsage {
  entry: ExecutorEntry;
  used: Resources;
  tasks: string[];
}

/** The data that one check is based on. */
interface CheckContext {
  view: FleetView;
  executors: readonly ExecutorUsage[];
  running: ReadonlySet<string>;
  /** The resources in use by customer. */
  usage: ReadonlyMap<string, Resources>;
}

/** Options of a `LivenessChecker`. */
export interface LivenessCheckerOptions {
  /** The configuration that operators have published. */
  configuration: ConfigurationData;
  /** Called when the invariant is violated. */
  onViolation: (rule: string, description: string) => void;
}

/** Checks that runnable tasks are started. */
export class LivenessChecker {
  readonly #options: LivenessCheckerOptions;
  readonly #jobs = new Map<string, SubmittedJob>();
  /** The accepted jobs that have not ended. */
  readonly #activeJobs = new Set<string>();
  /** The jobs whose cancellation was requested, some of them before they were accepted. */
  readonly #cancelRequested = new Set<string>();
  readonly #doneTasks = new Set<string>();
  /** Since when a job or a long-running task is runnable and not running. */
  readonly #idleSince = new Map<string, number>();
  /** When each long-running task was last running; if it never ran, when it was first checked. */
  readonly #lastRunningAt = new Map<string, number>();
  #lastFaultAt = -Infinity;

  private constructor(options: LivenessCheckerOptions) {
    this.#options = options;
  }

  /** Creates a checker that has not observed anything yet. */
  static create(options: LivenessCheckerOptions): LivenessChecker {
    return new LivenessChecker(options);
  }

  /** Records that a job is submitted. */
  addJob(id: string, job: SubmittedJob): void {
    this.#jobs.set(id, job);
  }

  /** Records that a job was accepted. */
  addAcceptedJob(id: string): void {
    if (!this.#cancelRequested.has(id)) this.#activeJobs.add(id);
  }

  /** Records that the cancellation of a job is requested: it is not checked any more. */
  addCancelRequest(id: string): void {
    this.#cancelRequested.add(id);
    this.#activeJobs.delete(id);
  }

  /** Records the end of a run. */
  addEnd(task: string, end: RunEnd): void {
    if (end === RunEnd.Done) this.#doneTasks.add(task);
  }

  /** Records a fault: the invariant does not apply until some time after it. */
  addFault(now: number): void {
    this.#lastFaultAt = now;
  }

  /** Checks the state of the fleet at one time. */
  check(view: FleetView): void {
    const executors = [...view.models].map(([id, model]): ExecutorUsage => {
      const tasks = [...model.running.keys()];
      const used = { ...NO_RESOURCES };
      for (const task of tasks) addResources(used, this.#getDemand(task));
      return { entry: view.entries.get(id)!, used, tasks };
    });
    const running = new Set(executors.flatMap(({ tasks }) => tasks));
    const usage = this.#getUsage(running);
    for (const id of this.#activeJobs) {
      const state = view.getJobState(id);
      if (state === "completed" || state === "failed") this.#activeJobs.delete(id);
      else this.#checkJob(id, { view, executors, running, usage });
    }
  }

  #checkJob(id: string, context: CheckContext): void {
    const job = this.#jobs.get(id)!;
    const { steps } = job.specification;
    const runnable: string[] = [];
    let isRunning = false;
    steps.forEach((step, number) => {
      const names = getTaskNames(id, number, step);
      if (names.some((name) => context.running.has(name))) isRunning = true;
      const isReady = step.after.every((dependency) =>
        getTaskNames(id, dependency, steps[dependency]!).every((name) => this.#doneTasks.has(name))
      );
      const missing = names.filter((name) =>
        !context.running.has(name) && !this.#doneTasks.has(name)
      );
      const isRunnable = isReady && missing.length > 0 &&
        this.#hasCapacity(id, job, number, context);
      if (step.isLasting) {
        for (const name of names) this.#checkLongRunning(name, isRunnable, context);
      } else if (isRunnable) runnable.push(...missing);
    });
    this.#checkIdleTime(id, !isRunning && runnable.length > 0, context.view.now, runnable[0] ?? id);
  }

  #checkLongRunning(
    name: string,
    isRunnable: boolean,
    { running, view: { now } }: CheckContext,
  ): void {
    if (running.has(name) || !this.#lastRunningAt.has(name)) this.#lastRunningAt.set(name, now);
    // The idle time, which is checked below, adds the rest of `MAXIMUM_DOWN_MILLISECONDS`.
    const isLongDown =
      now - this.#lastRunningAt.get(name)! >= MAXIMUM_DOWN_MILLISECONDS - MAXIMUM_IDLE_MILLISECONDS;
    this.#checkIdleTime(
      `long-running ${name}`,
      isRunnable && isLongDown && !running.has(name),
      now,
      name,
    );
  }

  /** Records whether a job or task is runnable and not running, and checks for how long. */
  #checkIdleTime(key: string, isIdle: boolean, now: number, task: string): void {
    if (!isIdle) {
      this.#idleSince.delete(key);
      return;
    }
    const since = this.#idleSince.get(key) ?? now;
    this.#idleSince.set(key, since);
    const countedSince = Math.max(since, this.#lastFaultAt + FAULT_RECOVERY_MILLISECONDS);
    if (now - countedSince < MAXIMUM_IDLE_MILLISECONDS) return;
    this.#idleSince.set(key, now);
    this.#options.onViolation("LOST", `${task} could run and does not at ${now}`);
  }

  /**
   * Gets whether twice the capacity for a task or gang of a step is free, and at most half of the
   * service's capacity and of the customer's quota is used.
   */
  #hasCapacity(
    id: string,
    job: SubmittedJob,
    number: number,
    { view, executors, usage }: CheckContext,
  ): boolean {
    const { configuration } = this.#options;
    const step = job.specification.steps[number]!;
    const service = configuration.queues.find(({ name }) => name === job.queue)?.service;
    const pool = executors.filter(({ entry }) => entry.service === service);
    const used = { ...NO_RESOURCES };
    const maximumUsed = { ...NO_RESOURCES };
    for (const executor of pool) {
      addResources(used, executor.used);
      addResources(maximumUsed, executor.entry.capacity, MAXIMUM_USED_FRACTION);
    }
    if (!fitsCapacity(used, NO_RESOURCES, maximumUsed)) return false;
    const ceiling = configuration.customers.find(({ name }) => name === job.customer)?.ceiling;
    if (ceiling !== undefined && !isFarBelowQuota(usage.get(job.customer), ceiling)) return false;
    const prefix = `${id}.0.${number}.`;
    const required = FREE_CAPACITY_FACTOR * (step.isGang ? step.count : 1);
    let fitting = 0;
    for (const executor of pool) {
      if (executor.entry.isDraining || view.evacuatedZones.has(executor.entry.zone)) continue;
      if (step.label !== undefined && !executor.entry.labels.includes(step.label)) continue;
      const running = executor.tasks.filter((name) => name.startsWith(prefix)).length;
      const limit = step.mostPerExecutor === 0 ? required : step.mostPerExecutor - running;
      fitting += countFittingTasks(executor, step.demand, Math.min(limit, required));
    }
    return fitting >= required;
  }

  #getUsage(running: Iterable<string>): Map<string, Resources> {
    const usage = new Map<string, Resources>();
    for (const task of running) {
      const customer = this.#jobs.get(parseTaskName(task)!.jobId)!.customer;
      const total = usage.get(customer) ?? { ...NO_RESOURCES };
      addResources(total, this.#getDemand(task));
      usage.set(customer, total);
    }
    return usage;
  }

  #getDemand(task: string): Resources {
    const { jobId, step } = parseTaskName(task)!;
    return this.#jobs.get(jobId)!.specification.steps[step]!.demand;
  }
}

function getTaskNames(jobId: string, step: number, { count }: StepSpecification): string[] {
  return Array.from(
    { length: count },
    (_, index) => formatTaskName({ jobId, occurrence: 0, step, index }),
  );
}

/** Counts the tasks with a demand that fit on an executor, up to a limit. */
function countFittingTasks(
  { entry, used }: ExecutorUsage,
  demand: Resources,
  limit: number,
): number {
  const after = { ...used };
  let count = 0;
  while (count < limit && fitsCapacity(after, demand, entry.capacity)) {
    addResources(after, demand);
    count += 1;
  }
  return count;
}

function isFarBelowQuota(used: Resources | undefined, ceiling: Resources): boolean {
  const maximumUsed = {
    cpu: ceiling.cpu * MAXIMUM_USED_FRACTION || Infinity,
    memory: ceiling.memory * MAXIMUM_USED_FRACTION || Infinity,
    accelerators: ceiling.accelerators * MAXIMUM_USED_FRACTION || Infinity,
  };
  return fitsCapacity(used ?? NO_RESOURCES, NO_RESOURCES, maximumUsed);
}
