/** Checks the promises on what is seen of executors, hosts and the owner's answers. */

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

/** How long an acknowledged cancel or request may take until no start follows, in milliseconds. */
const REACTION_MILLISECONDS = 1_000;

/** How long after its acceptance a job that has not begun must be counted, in milliseconds. */
const VISIBLE_MILLISECONDS = 5_000;

/** Jobs that no caller submits, and that callers ask for all the same. */
export const UNSUBMITTED_JOBS: readonly string[] = ["nobody", "00000000000000ff"];

/** Options of `FleetChecks`. */
export interface InvariantCheckerOptions {
  /** What operators have published. */
  configuration: ConfigurationData;
  /** After how long a task that is away for any cause counts as away, in milliseconds. */
  unavailabilityThresholdMilliseconds: number;
}

interface KnownJob {
  queue: string;
  customer: string;
  specification: JobSpecification;
}

/** A lasting task that is not at work. */
interface Absence {
  since: number;
  /** Whether an order of the owner ended it. */
  isOrdered: boolean;
}

/** What was seen of the fleet, and the promises that it broke. */
export class InvariantChecker {
  /** The promises that were broken, as lines. */
  readonly violations: string[] = [];
  readonly #options: InvariantCheckerOptions;
  readonly #jobs = new Map<string, KnownJob>();
  readonly #acceptedAt = new Map<string, number>();
  /** The jobs of which an executor has begun a task. */
  readonly #begun = new Set<string>();
  /** The jobs that callers asked to cancel, acknowledged or not. */
  readonly #cancelAsked = new Set<string>();
  /** The jobs that were shown as over, with what was shown. */
  readonly #shownOver = new Map<string, string>();
  readonly #cancelledAt = new Map<string, number>();
  readonly #done = new Set<string>();
  /** The tasks whose end was lost with its executor: they may start again. */
  readonly #lost = new Set<string>();
  readonly #failures = new Map<string, number>();
  readonly #runningTasks = new Map<string, string>();
  readonly #evacuatedAt = new Map<string, number>();
  readonly #drainedAt = new Map<string, number>();
  /** The lasting tasks that are not at work, by name. */
  readonly #absences = new Map<string, Absence>();

  private constructor(options: InvariantCheckerOptions) {
    this.#options = options;
  }

  /** Creates checks that have seen nothing. */
  static create(options: InvariantCheckerOptions): InvariantChecker {
    return new InvariantChecker(options);
  }

  /** Gets a step of a job that callers submitted. */
  getStep(task: string): StepSpecification | undefined {
    const name = parseTaskName(task);
    return name && this.#jobs.get(name.jobId)?.specification.steps[name.step];
  }

  /** Notes that a caller submits a job. */
  addJob(id: string, job: KnownJob): void {
    this.#jobs.set(id, job);
  }

  /** Notes that a job was accepted. */
  addAcceptedJob(id: string, now: number): void {
    this.#acceptedAt.set(id, now);
  }

  /** Notes that a caller asks to cancel a job. */
  addCancelRequest(id: string): void {
    this.#cancelAsked.add(id);
  }

  /** Notes that a cancel was acknowledged. */
  addAcknowledgedCancel(id: string, now: number): void {
    this.#cancelledAt.set(id, now);
  }

  /** Notes that a zone was taken out. */
  addEvacuation(zone: string, now: number): void {
    this.#evacuatedAt.set(zone, now);
  }

  /** Notes that an executor announced that it leaves. */
  addDrain(id: string, now: number): void {
    this.#drainedAt.set(id, now);
  }

  /** Notes that an executor has begun a new life, which drains no more. */
  addIncarnation(id: string): void {
    this.#drainedAt.delete(id);
  }

  /** Notes that ends were lost before anybody took note of them: they count for nothing. */
  addLostEnds(tasks: Iterable<string>): void {
    for (const task of tasks) this.#lost.add(task);
  }

  /** Notes a broken promise. */
  addViolation(rule: string, what: string): void {
    const line = `${rule}: ${what}`;
    if (this.violations.length < 20 && !this.violations.includes(line)) this.violations.push(line);
  }

  /** Judges a start; one that an executor carries out late is not bound by time. */
  handleStart(
    entry: ExecutorEntry,
    run: ModelRun,
    { now, isLate }: { now: number; isLate: boolean },
  ): void {
    const name = parseTaskName(run.task);
    const job = name && this.#jobs.get(name.jobId);
    if (name === undefined || job === undefined) return this.addViolation("UNASKED", run.task);
    this.#begun.add(name.jobId);
    const step = job.specification.steps[name.step]!;
    if (this.#runningTasks.has(run.task)) this.addViolation("TWICE", `${run.task} runs already`);
    if (this.#done.has(run.task) && !this.#lost.has(run.task)) {
      this.addViolation("TWICE", `${run.task} is done`);
    }
    this.#runningTasks.set(run.task, entry.id);
    for (const earlier of step.after) {
      const { count } = job.specification.steps[earlier]!;
      for (let index = 0; index < count; index += 1) {
        const needed = `${name.jobId}.${name.occurrence}.${earlier}.${index}`;
        if (!this.#done.has(needed)) this.addViolation("ORDER", `${run.task} before ${needed}`);
      }
    }
    const isOverBudget = (this.#failures.get(run.task) ?? 0) >= this.#getAttemptLimit();
    if (!step.isLasting && isOverBudget && !this.#lost.has(run.task)) {
      this.addViolation("BUDGET", run.task);
    }
    const isOver = (at: number | undefined) =>
      !isLate && at !== undefined && now > at + REACTION_MILLISECONDS;
    if (isOver(this.#cancelledAt.get(name.jobId))) {
      this.addViolation("UNASKED", `${run.task} after its cancel`);
    }
    if (isOver(this.#evacuatedAt.get(entry.zone))) {
      this.addViolation("EVAC", `${run.task} in ${entry.zone}`);
    }
    if (isOver(this.#drainedAt.get(entry.id))) {
      this.addViolation("DRAIN", `${run.task} on ${entry.id}`);
    }
    if (step.label !== undefined && !entry.labels.includes(step.label)) {
      this.addViolation("ROUTE", `${run.task} without ${step.label}`);
    }
    if (step.isLasting) {
      this.#absences.set(run.task, {
        since: this.#absences.get(run.task)?.since ?? now,
        isOrdered: this.#absences.get(run.task)?.isOrdered ?? false,
      });
    }
  }

  /** Judges an end; `isAtWork` tells whether a lasting task was at work. */
  handleEnd(run: ModelRun, end: RunEnd, now: number, isAtWork: boolean): void {
    this.#runningTasks.delete(run.task);
    if (end === RunEnd.Done) this.#done.add(run.task);
    if (end === RunEnd.Failed) {
      this.#failures.set(run.task, (this.#failures.get(run.task) ?? 0) + 1);
    }
    if (this.getStep(run.task)?.isLasting !== true) return;
    const isOrdered = end === RunEnd.Stopped;
    if (isOrdered && isAtWork) this.#judgeAbsence(run.task, now);
    const before = this.#absences.get(run.task);
    this.#absences.set(run.task, {
      since: isAtWork ? now : before?.since ?? now,
      isOrdered: isOrdered || (!isAtWork && before?.isOrdered === true),
    });
  }

  /** Notes that a lasting task is at work. */
  addAvailableTask(task: string): void {
    this.#absences.delete(task);
  }

  /** Judges that a host is taken away with what runs on its executor. */
  handleHostOutOfService(runs: Iterable<[run: ModelRun, isAtWork: boolean]>, now: number): void {
    for (const [run, isAtWork] of runs) this.handleEnd(run, RunEnd.Stopped, now, isAtWork);
  }

  /** Checks what callers are told of every job, and of one that nobody submitted. */
  checkJobStates(getState: (id: string) => string | undefined): void {
    for (const id of this.#jobs.keys()) this.#checkShown(id, getState(id));
    for (const id of UNSUBMITTED_JOBS) {
      if (getState(id) !== undefined) this.addViolation("MIXED", `${id} was never submitted`);
    }
  }

  /** Checks that a queue's count covers half of the jobs that have not begun for a while. */
  checkWaitingCounts(
    getWaitingCount: (queue: string) => number,
    getState: (id: string) => string | undefined,
    now: number,
  ): void {
    for (const { name } of this.#options.configuration.queues) {
      let unbegun = 0;
      for (const [id, acceptedAt] of this.#acceptedAt) {
        if (this.#jobs.get(id)?.queue !== name || now - acceptedAt < VISIBLE_MILLISECONDS) continue;
        const isCancelled = this.#cancelAsked.has(id) && getState(id) === JobState.Cancelled;
        if (!this.#begun.has(id) && !isCancelled) unbegun += 1;
      }
      const waiting = getWaitingCount(name);
      if (waiting >= unbegun / 2) continue;
      this.addViolation("MIXED", `${waiting} jobs of ${name} are said to wait, ${unbegun} do`);
    }
  }

  /** Checks that every accepted job has ended, or has all its tasks running if they last. */
  checkJobsServed(getState: (id: string) => string | undefined): void {
    for (const [id, { specification }] of this.#jobs) {
      if (!this.#acceptedAt.has(id) || this.#cancelledAt.has(id)) continue;
      const state = getState(id);
      // A cancel that was asked for and not answered may have been stored.
      if (state === JobState.Cancelled && this.#cancelAsked.has(id)) continue;
      if (state === "completed" || state === "failed") continue;
      specification.steps.forEach((step, number) => {
        for (let index = 0; index < step.count; index += 1) {
          const task = `${id}.0.${number}.${index}`;
          if (step.isLasting && this.#runningTasks.has(task)) continue;
          this.addViolation("LOST", `${task} does not run, and its job is ${state}`);
        }
      });
    }
  }

  /** Checks what holds over all executors together. */
  checkCapacity(
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

  /** Checks that a job is known, over only with cause, and stays as it was shown at its end. */
  #checkShown(id: string, state: string | undefined): void {
    if (state === undefined && this.#acceptedAt.has(id)) {
      this.addViolation("LOST", `${id} is accepted and not known`);
    }
    const before = this.#shownOver.get(id);
    if (before !== undefined) {
      if (before === state) return;
      this.#shownOver.delete(id);
      this.addViolation("MIXED", `${id} was shown as ${before} and is ${state}`);
    }
    if (state === undefined || !isOver(state)) return;
    this.#shownOver.set(id, state);
    if (state === JobState.Completed) {
      const task = this.#findNotDone(id);
      if (task !== undefined) this.addViolation("MIXED", `${id} is completed without ${task}`);
    }
    if (state === JobState.Failed && !this.#hasFailed(id)) {
      this.addViolation("LOST", `${id} is shown as failed`);
    }
    if (state === JobState.Cancelled && !this.#cancelAsked.has(id)) {
      this.addViolation("LOST", `${id} is shown as cancelled`);
    }
  }

  /** Gets a task of a job that no executor has ended as done; one end stands for a whole gang. */
  #findNotDone(id: string): string | undefined {
    const { steps, repeats } = this.#jobs.get(id)!.specification;
    for (let occurrence = 0; occurrence < Math.max(1, repeats); occurrence += 1) {
      for (const [number, { count, isGang }] of steps.entries()) {
        const names = Array.from(
          { length: count },
          (_, index) => formatTaskName({ jobId: id, occurrence, step: number, index }),
        );
        if (isGang && names.some((name) => this.#done.has(name))) continue;
        const missing = names.find((name) => !this.#done.has(name));
        if (missing !== undefined) return missing;
      }
    }
    return undefined;
  }

  /** Gets whether a task of a job has failed as often as it may. */
  #hasFailed(id: string): boolean {
    const limit = this.#getAttemptLimit();
    return [...this.#failures].some(([task, count]) => task.startsWith(`${id}.`) && count >= limit);
  }

  /** Judges that an order ends a lasting task at work: enough others of its step must not be away. */
  #judgeAbsence(task: string, now: number): void {
    const step = this.getStep(task);
    if (step === undefined || step.mostAway === 0) return;
    const prefix = task.slice(0, task.lastIndexOf(".") + 1);
    let away = 0;
    for (const [name, { since, isOrdered }] of this.#absences) {
      if (name === task || !name.startsWith(prefix)) continue;
      if (isOrdered || now - since >= this.#options.unavailabilityThresholdMilliseconds) away += 1;
    }
    if (away >= step.mostAway) this.addViolation("AVAIL", `${task} with ${away} others away`);
  }

  #getAttemptLimit(): number {
    return this.#options.configuration.queues[0]!.attemptLimit;
  }
}

function isOver(state: string): boolean {
  return state === JobState.Completed || state === JobState.Failed || state === JobState.Cancelled;
}
