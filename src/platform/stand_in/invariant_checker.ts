/** Checks the invariants on what is observed of executors, hosts and the owner's answers. */

import type { ConfigurationData } from "../../fleet/configuration.ts";
import type { ExecutorEntry } from "../../fleet/executor_entry.ts";
import { JobState } from "../../fleet/job.ts";
import {
  formatTaskName,
  type JobSpecification,
  parseTaskName,
  type StepSpecification,
} from "../../fleet/job_specification.ts";
import { addResources, type Resources } from "../../fleet/resources.ts";
import { RunEnd } from "../../fleet/run.ts";
import type { ExecutorModel, ModelRun } from "./executor_model.ts";

/** How long starts may still occur after an acknowledged request against them, in milliseconds. */
const MAXIMUM_REACTION_MILLISECONDS = 1_000;

/** The age from which an accepted job without starts must count as waiting, in milliseconds. */
const COUNTED_AGE_MILLISECONDS = 5_000;

/** The ids of jobs that are never submitted, for which states are requested nevertheless. */
export const UNSUBMITTED_JOBS: readonly string[] = ["nobody", "00000000000000ff"];

/** Options of an `InvariantChecker`. */
export interface InvariantCheckerOptions {
  /** The configuration that operators have published. */
  configuration: ConfigurationData;
  /** How long a task must be unavailable to count whatever the cause, in milliseconds. */
  unavailabilityThresholdMilliseconds: number;
}

interface SubmittedJob {
  queue: string;
  customer: string;
  specification: JobSpecification;
}

/** A period in which a long-running task is unavailable. */
interface Unavailability {
  since: number;
  /** Whether an order of the owner caused it. */
  isOrdered: boolean;
}

/**
 * Records what is observed of a fleet, and collects the violations of the invariants.
 *
 * Each violation begins with the code of its invariant:
 *
 * - `AVAIL`: orders keep the disruption budgets of long-running tasks.
 * - `BUDGET`: no task starts that has reached its attempt limit.
 * - `DRAIN`: no task starts on a draining executor.
 * - `EVAC`: no task starts in an evacuated zone.
 * - `LIMIT`: the capacity of each executor and the ceiling of each wave are kept.
 * - `LOST`: no job or executor is lost, no job ends without cause, and runnable tasks are started.
 * - `MIXED`: the answers to callers and operators are true and consistent.
 * - `ONE`: at most one lease holder at a time sends orders for a host.
 * - `ORDER`: a task starts only after the tasks of all steps that its step depends on are done.
 * - `QUOTA`: the ceiling of each customer is exceeded by 10 % at most.
 * - `ROUTE`: a task starts only on an executor that has the required label.
 * - `TWICE`: no task runs twice at the same time, or again once it is done.
 * - `UNASKED`: only submitted jobs run, and only until their cancellation.
 */
export class InvariantChecker {
  /** The violations of invariants, as lines. */
  readonly violations: string[] = [];
  readonly #options: InvariantCheckerOptions;
  readonly #jobs = new Map<string, SubmittedJob>();
  readonly #acceptedAt = new Map<string, number>();
  /** The jobs of which an executor has started a task. */
  readonly #startedJobs = new Set<string>();
  /** The jobs whose cancellation was requested, acknowledged or not. */
  readonly #cancelRequested = new Set<string>();
  /** The jobs that were reported as ended, with the reported state. */
  readonly #reportedEnds = new Map<string, string>();
  readonly #cancelledAt = new Map<string, number>();
  readonly #doneTasks = new Set<string>();
  /** The tasks whose end was lost with its executor; they may start again. */
  readonly #tasksWithLostEnd = new Set<string>();
  /** The number of failed runs by task. */
  readonly #failureCounts = new Map<string, number>();
  /** The executor of each running task. */
  readonly #runningTasks = new Map<string, string>();
  readonly #evacuatedAt = new Map<string, number>();
  readonly #drainedAt = new Map<string, number>();
  /** The unavailable long-running tasks, by name. */
  readonly #unavailable = new Map<string, Unavailability>();

  private constructor(options: InvariantCheckerOptions) {
    this.#options = options;
  }

  /** Creates a checker that has not observed anything yet. */
  static create(options: InvariantCheckerOptions): InvariantChecker {
    return new InvariantChecker(options);
  }

  /** Gets the step of a submitted job to which a task belongs. */
  getStep(task: string): StepSpecification | undefined {
    const name = parseTaskName(task);
    return name && this.#jobs.get(name.jobId)?.specification.steps[name.step];
  }

  /** Records that a job is submitted. */
  addJob(id: string, job: SubmittedJob): void {
    this.#jobs.set(id, job);
  }

  /** Records that a job was accepted. */
  addAcceptedJob(id: string, now: number): void {
    this.#acceptedAt.set(id, now);
  }

  /** Records that the cancellation of a job is requested. */
  addCancelRequest(id: string): void {
    this.#cancelRequested.add(id);
  }

  /** Records that the cancellation of a job was acknowledged. */
  addAcknowledgedCancel(id: string, now: number): void {
    this.#cancelledAt.set(id, now);
  }

  /** Records that a zone was evacuated. */
  addEvacuation(zone: string, now: number): void {
    this.#evacuatedAt.set(zone, now);
  }

  /** Records that an executor announced that it is draining. */
  addDrain(id: string, now: number): void {
    this.#drainedAt.set(id, now);
  }

  /** Records that a new incarnation of an executor has started, which is not draining. */
  addIncarnation(id: string): void {
    this.#drainedAt.delete(id);
  }

  /** Records that the ends of tasks were lost unacknowledged: the tasks may run again. */
  addLostEnds(tasks: Iterable<string>): void {
    for (const task of tasks) this.#tasksWithLostEnd.add(task);
  }

  /** Records the violation of an invariant. */
  addViolation(rule: string, description: string): void {
    const line = `${rule}: ${description}`;
    if (this.violations.length < 20 && !this.violations.includes(line)) this.violations.push(line);
  }

  /** Checks a start. The time limits do not apply if the executor carries it out late. */
  handleStart(
    entry: ExecutorEntry,
    run: ModelRun,
    { now, isLate }: { now: number; isLate: boolean },
  ): void {
    const name = parseTaskName(run.task);
    const job = name && this.#jobs.get(name.jobId);
    if (name === undefined || job === undefined) return this.addViolation("UNASKED", run.task);
    this.#startedJobs.add(name.jobId);
    const step = job.specification.steps[name.step]!;
    if (this.#runningTasks.has(run.task)) {
      this.addViolation("TWICE", `${run.task} is already running`);
    }
    if (this.#doneTasks.has(run.task) && !this.#tasksWithLostEnd.has(run.task)) {
      this.addViolation("TWICE", `${run.task} is already done`);
    }
    this.#runningTasks.set(run.task, entry.id);
    for (const dependency of step.after) {
      const { count } = job.specification.steps[dependency]!;
      for (let index = 0; index < count; index += 1) {
        const required = `${name.jobId}.${name.occurrence}.${dependency}.${index}`;
        if (!this.#doneTasks.has(required)) {
          this.addViolation("ORDER", `${run.task} started before ${required} was done`);
        }
      }
    }
    const hasReachedAttemptLimit =
      (this.#failureCounts.get(run.task) ?? 0) >= this.#getAttemptLimit();
    if (!step.isLasting && hasReachedAttemptLimit && !this.#tasksWithLostEnd.has(run.task)) {
      this.addViolation("BUDGET", run.task);
    }
    const isTooLate = (at: number | undefined) =>
      !isLate && at !== undefined && now > at + MAXIMUM_REACTION_MILLISECONDS;
    if (isTooLate(this.#cancelledAt.get(name.jobId))) {
      this.addViolation("UNASKED", `${run.task} started after its job was cancelled`);
    }
    if (isTooLate(this.#evacuatedAt.get(entry.zone))) {
      this.addViolation("EVAC", `${run.task} started in evacuated zone ${entry.zone}`);
    }
    if (isTooLate(this.#drainedAt.get(entry.id))) {
      this.addViolation("DRAIN", `${run.task} started on draining executor ${entry.id}`);
    }
    if (step.label !== undefined && !entry.labels.includes(step.label)) {
      this.addViolation("ROUTE", `${run.task} started on an executor without label ${step.label}`);
    }
    if (step.isLasting) {
      this.#unavailable.set(run.task, {
        since: this.#unavailable.get(run.task)?.since ?? now,
        isOrdered: this.#unavailable.get(run.task)?.isOrdered ?? false,
      });
    }
  }

  /** Checks an end; `isAvailable` tells whether a long-running task was available. */
  handleEnd(run: ModelRun, end: RunEnd, now: number, isAvailable: boolean): void {
    this.#runningTasks.delete(run.task);
    if (end === RunEnd.Done) this.#doneTasks.add(run.task);
    if (end === RunEnd.Failed) {
      this.#failureCounts.set(run.task, (this.#failureCounts.get(run.task) ?? 0) + 1);
    }
    if (this.getStep(run.task)?.isLasting !== true) return;
    const isOrdered = end === RunEnd.Stopped;
    if (isOrdered && isAvailable) this.#checkDisruptionBudget(run.task, now);
    const before = this.#unavailable.get(run.task);
    this.#unavailable.set(run.task, {
      since: isAvailable ? now : before?.since ?? now,
      isOrdered: isOrdered || (!isAvailable && before?.isOrdered === true),
    });
  }

  /** Records that a long-running task is available. */
  addAvailableTask(task: string): void {
    this.#unavailable.delete(task);
  }

  /** Checks that a host is taken out of service with the runs of its executor. */
  handleHostOutOfService(runs: Iterable<[run: ModelRun, isAvailable: boolean]>, now: number): void {
    for (const [run, isAvailable] of runs) this.handleEnd(run, RunEnd.Stopped, now, isAvailable);
  }

  /** Checks the states that callers get of every submitted job and of jobs that do not exist. */
  checkJobStates(getState: (id: string) => string | undefined): void {
    for (const id of this.#jobs.keys()) this.#checkJobState(id, getState(id));
    for (const id of UNSUBMITTED_JOBS) {
      if (getState(id) !== undefined) this.addViolation("MIXED", `${id} was never submitted`);
    }
  }

  /** Checks that each queue's waiting count covers half of the jobs that must be counted. */
  checkWaitingCounts(
    getWaitingCount: (queue: string) => number,
    getState: (id: string) => string | undefined,
    now: number,
  ): void {
    for (const { name } of this.#options.configuration.queues) {
      let expected = 0;
      for (const [id, acceptedAt] of this.#acceptedAt) {
        if (this.#jobs.get(id)?.queue !== name || now - acceptedAt < COUNTED_AGE_MILLISECONDS) {
          continue;
        }
        const isCancelled = this.#cancelRequested.has(id) && getState(id) === JobState.Cancelled;
        if (!this.#startedJobs.has(id) && !isCancelled) expected += 1;
      }
      const waiting = getWaitingCount(name);
      if (waiting >= expected / 2) continue;
      this.addViolation(
        "MIXED",
        `${waiting} jobs of ${name} are counted as waiting, expected at least half of ${expected}`,
      );
    }
  }

  /** Checks that every accepted job has ended, or is long-running with all of its tasks running. */
  checkJobsServed(getState: (id: string) => string | undefined): void {
    for (const [id, { specification }] of this.#jobs) {
      if (!this.#acceptedAt.has(id) || this.#cancelledAt.has(id)) continue;
      const state = getState(id);
      // A requested cancellation may have been stored without being acknowledged.
      if (state === JobState.Cancelled && this.#cancelRequested.has(id)) continue;
      if (state === "completed" || state === "failed") continue;
      specification.steps.forEach((step, number) => {
        for (let index = 0; index < step.count; index += 1) {
          const task = `${id}.0.${number}.${index}`;
          if (step.isLasting && this.#runningTasks.has(task)) continue;
          this.addViolation("LOST", `${task} is not running, and its job is ${state}`);
        }
      });
    }
  }

  /** Checks that no executor's capacity and no customer's ceiling is exceeded. */
  checkCapacityAndQuotas(
    models: ReadonlyMap<string, ExecutorModel>,
    entries: ReadonlyMap<string, ExecutorEntry>,
  ) {
    const byCustomer = new Map<string, Resources>();
    for (const [id, model] of models) {
      const used = { cpu: 0, memory: 0, accelerators: 0 };
      for (const run of model.running.values()) {
        const job = this.#jobs.get(parseTaskName(run.task)!.jobId)!;
        const { demand } = this.getStep(run.task)!;
        addResources(used, demand);
        const total = byCustomer.get(job.customer) ?? { cpu: 0, memory: 0, accelerators: 0 };
        addResources(total, demand);
        byCustomer.set(job.customer, total);
      }
      const { capacity } = entries.get(id)!;
      if (used.cpu > capacity.cpu || used.memory > capacity.memory) this.addViolation("LIMIT", id);
    }
    for (const customer of this.#options.configuration.customers) {
      const used = byCustomer.get(customer.name);
      if (used === undefined || customer.ceiling.cpu === 0) continue;
      if (used.cpu > customer.ceiling.cpu * 1.1) this.addViolation("QUOTA", customer.name);
    }
  }

  /** Checks that an accepted job is known, ends only with cause, and keeps its final state. */
  #checkJobState(id: string, state: string | undefined): void {
    if (state === undefined && this.#acceptedAt.has(id)) {
      this.addViolation("LOST", `${id} is accepted and not known`);
    }
    const before = this.#reportedEnds.get(id);
    if (before !== undefined) {
      if (before === state) return;
      this.#reportedEnds.delete(id);
      this.addViolation("MIXED", `${id} was shown as ${before} and is ${state}`);
    }
    if (state === undefined || !isFinal(state)) return;
    this.#reportedEnds.set(id, state);
    if (state === JobState.Completed) {
      const task = this.#findUndoneTask(id);
      if (task !== undefined) this.addViolation("MIXED", `${id} is completed without ${task}`);
    }
    if (state === JobState.Failed && !this.#hasFailed(id)) {
      this.addViolation("LOST", `${id} is shown as failed`);
    }
    if (state === JobState.Cancelled && !this.#cancelRequested.has(id)) {
      this.addViolation("LOST", `${id} is shown as cancelled`);
    }
  }

  /** Finds a task of a job without a run that was done; one such run suffices for a gang. */
  #findUndoneTask(id: string): string | undefined {
    const { steps, repeats } = this.#jobs.get(id)!.specification;
    for (let occurrence = 0; occurrence < Math.max(1, repeats); occurrence += 1) {
      for (const [number, { count, isGang }] of steps.entries()) {
        const names = Array.from(
          { length: count },
          (_, index) => formatTaskName({ jobId: id, occurrence, step: number, index }),
        );
        if (isGang && names.some((name) => this.#doneTasks.has(name))) continue;
        const undone = names.find((name) => !this.#doneTasks.has(name));
        if (undone !== undefined) return undone;
      }
    }
    return undefined;
  }

  /** Gets whether a task of a job has reached the attempt limit. */
  #hasFailed(id: string): boolean {
    const limit = this.#getAttemptLimit();
    return [...this.#failureCounts].some(([task, count]) =>
      task.startsWith(`${id}.`) && count >= limit
    );
  }

  /** Checks that the disruption budget allows an order to end an available long-running task. */
  #checkDisruptionBudget(task: string, now: number): void {
    const step = this.getStep(task);
    if (step === undefined || step.mostAway === 0) return;
    const prefix = task.slice(0, task.lastIndexOf(".") + 1);
    let unavailableCount = 0;
    for (const [name, { since, isOrdered }] of this.#unavailable) {
      if (name === task || !name.startsWith(prefix)) continue;
      if (isOrdered || now - since >= this.#options.unavailabilityThresholdMilliseconds) {
        unavailableCount += 1;
      }
    }
    if (unavailableCount >= step.mostAway) {
      this.addViolation("AVAIL", `${task} stopped with ${unavailableCount} others unavailable`);
    }
  }

  #getAttemptLimit(): number {
    return this.#options.configuration.queues[0]!.attemptLimit;
  }
}

function isFinal(state: string): boolean {
  return state === JobState.Completed || state === JobState.Failed || state === JobState.Cancelled;
}
