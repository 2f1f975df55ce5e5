/** The whole state of the fleet that its owner decides on. */

import type { EventLog } from "../events/mod.ts";
import { Configuration, type Queue } from "../fleet/configuration.ts";
import { type AssignedRun, Executor } from "../fleet/executor.ts";
import { type Job, type JobStep, type JobTask, TaskState } from "../fleet/job.ts";
import { parseTaskName } from "../fleet/job_specification.ts";
import { addResources, type Resources } from "../fleet/resources.ts";
import { ArrivalMeter } from "./arrival_meter.ts";
import { DurationBook } from "./duration_book.ts";
import type { JournalEntry, OwnerPorts } from "./owner_ports.ts";
import { createQueueEntry } from "./queue_records.ts";

/** The bounds and times that the owner's decisions keep. */
export interface OwnerLimits {
  /** How long an ended job is remembered, in milliseconds. */
  rememberMilliseconds: number;
  /** How long a stop may take on an executor, in milliseconds. */
  stopMilliseconds: number;
  /** The longest lease that an earlier owner may have granted, in milliseconds; 0 if there was none. */
  earlierLeaseMilliseconds: number;
  /** How many times as long a task takes off its rack. */
  farFactor: number;
}

/** Options of a `FleetState`. */
export interface FleetStateOptions {
  /** The fence of this owner: higher than that of any earlier one. */
  fence: number;
  /** The bounds and times. */
  limits: OwnerLimits;
  /** Where decisions go. */
  ports: OwnerPorts;
  /** Logs decisions. */
  log: EventLog;
  /** When this owner took over, on the steady clock. */
  startedAt: number;
}

/** Runs a run number space of its own for each fence, so that no run of an earlier owner is higher. */
const RUNS_PER_FENCE = 2 ** 20;

/** What the owner knows. */
export class FleetState {
  /** The fence of this owner. */
  readonly fence: number;
  /** The bounds and times. */
  readonly limits: OwnerLimits;
  /** Where decisions go. */
  readonly ports: OwnerPorts;
  /** Logs decisions. */
  readonly log: EventLog;
  /** When this owner took over, on the steady clock. */
  readonly startedAt: number;
  /** The time on the steady clock, set before each decision. */
  now = 0;
  /** The time of day, in milliseconds since 1970, set before each decision. */
  timeOfDay = 0;
  /** The renewals of the owner's claim that it knows of, set before each decision. */
  renewal = 0;
  /** Whether the owner may start tasks and act on hosts now. */
  mayStart = false;
  /** Whether the owner may extend leases now. */
  mayExtend = false;
  /** Whether an executor has seen the fence of a later owner. */
  isDeposed = false;
  /** The lease that a look grants now, in milliseconds. */
  leaseMilliseconds = 0;
  /** The configuration. */
  configuration = Configuration.create({
    version: 0,
    queues: [],
    services: [],
    customers: [],
    largestBodyBytes: 0,
  });
  /** The zones in which nothing is started. */
  evacuatedZones: ReadonlySet<string> = new Set();
  /** The executors by id. */
  readonly executors = new Map<string, Executor>();
  /** The lives of executors that count as over, though they may still be listed, with since when. */
  readonly departed = new Map<string, number>();
  /** The jobs by id. */
  readonly jobs = new Map<string, Job>();
  /** The steps with tasks that may start. */
  readonly ready = new Set<JobStep>();
  /** The jobs whose progress is to be stored. */
  readonly changedJobs = new Set<Job>();
  /** What each customer has running. */
  readonly usage = new Map<string, Resources>();
  /** How long tasks take. */
  readonly durations = DurationBook.create();
  /** The work that arrives. */
  readonly arrivals = ArrivalMeter.create();
  /** What each customer may have running on executors that have not answered this owner yet. */
  doubtfulUsage: ReadonlyMap<string, Resources> = new Map();
  /** Whether there may be tasks that an earlier owner started where this one has not looked yet. */
  hasUnknown = true;
  /** Whether something has changed that lets tasks start. */
  needsDispatch = true;
  #lastRun = 0;
  readonly #queues = new Map<string, Queue>();
  /** The queues as this owner has stored them last, by name. */
  readonly #storedQueues = new Map<string, Queue>();

  private constructor(options: FleetStateOptions) {
    this.fence = options.fence;
    this.limits = options.limits;
    this.ports = options.ports;
    this.log = options.log;
    this.startedAt = options.startedAt;
  }

  /** Creates the state of an owner that knows nothing yet. */
  static create(options: FleetStateOptions): FleetState {
    return new FleetState(options);
  }

  /** Gets a run number that is higher than all before. */
  createRunNumber(): number {
    this.#lastRun += 1;
    return this.fence * RUNS_PER_FENCE + this.#lastRun;
  }

  /** Stops all orders: an executor has seen the fence of a later owner. */
  depose(executorId: string): void {
    if (this.isDeposed) return;
    this.isDeposed = true;
    this.mayStart = false;
    this.mayExtend = false;
    this.log("owner-deposed", { fence: this.fence, executor: executorId });
  }

  /** Gets the queue of a job; one that was removed is remembered as it was last. */
  getQueue(name: string): Queue | undefined {
    const queue = this.configuration.getQueue(name) ?? this.#queues.get(name);
    return queue;
  }

  /** Sets the configuration and remembers its queues. */
  setConfiguration(configuration: Configuration): void {
    this.configuration = configuration;
    for (const queue of configuration.getQueues()) this.#queues.set(queue.name, queue);
    this.needsDispatch = true;
  }

  /** Remembers a queue that an earlier owner stored. */
  rememberQueue(queue: Queue): void {
    this.#queues.set(queue.name, queue);
  }

  /** Gets the entry to store along with a queue's next job, unless this owner has stored it. */
  createQueueEntries(name: string): JournalEntry[] {
    const queue = this.getQueue(name);
    if (queue === undefined || this.#storedQueues.get(name) === queue) return [];
    this.#storedQueues.set(name, queue);
    return [createQueueEntry(queue)];
  }

  /** Gets the service whose executors run a job's tasks. */
  getService(job: Job): string | undefined {
    return this.getQueue(job.queue)?.service;
  }

  /** Gets what a customer has running. */
  getUsage(customer: string): Resources {
    let usage = this.usage.get(customer);
    if (usage === undefined) {
      usage = { cpu: 0, memory: 0, accelerators: 0 };
      this.usage.set(customer, usage);
    }
    return usage;
  }

  /** Gives a task a run. */
  addRun(executor: Executor, assigned: AssignedRun): void {
    const { task, run } = assigned;
    task.run = run;
    task.state = TaskState.Assigned;
    executor.addRun(assigned);
    addResources(this.getUsage(task.step.job.customer), task.step.specification.demand);
  }

  /** Notes that an executor has told of a run: an order alone proves nothing. */
  confirmRun({ run, task }: AssignedRun): void {
    run.confirmedAt = this.now;
    task.step.job.hasStarted = true;
  }

  /** Takes a run from its task; what becomes of the task is the caller's. */
  removeRun(executor: Executor, assigned: AssignedRun): void {
    const { task, run } = assigned;
    if (!executor.runs.has(task.name)) return;
    executor.removeRun(assigned);
    addResources(this.getUsage(task.step.job.customer), task.step.specification.demand, -1);
    if (task.run === run) task.run = undefined;
    this.needsDispatch = true;
  }

  /** Lets a task start again. */
  requeue(task: JobTask): void {
    task.state = TaskState.Waiting;
    task.unavailableSince = this.now;
    if (task.step.job.outcome === undefined) this.ready.add(task.step);
    this.needsDispatch = true;
  }

  /** Lets a task start that no earlier owner can have running; its step may not be ready yet. */
  requeueUnknown(task: JobTask): void {
    task.state = TaskState.Waiting;
    task.unavailableSince = this.now;
    if (task.step.job.isReady(task.step)) this.ready.add(task.step);
    this.needsDispatch = true;
  }

  /** Gets the task of a name that an executor lists, if its job is known and its occurrence not done. */
  findListedTask(name: string): JobTask | undefined {
    const parts = parseTaskName(name);
    const job = parts && this.jobs.get(parts.jobId);
    if (parts === undefined || job === undefined) return undefined;
    const { occurrence, step, index } = parts;
    const isPossible = job.outcome === undefined && occurrence < job.getOccurrenceCount();
    if (isPossible && !job.occurrences.has(occurrence) && !job.doneOccurrences.has(occurrence)) {
      // An earlier owner, whose clock was ahead of this one's, began it.
      this.addOccurrence(job, occurrence, TaskState.Unknown);
    }
    return job.getTask(occurrence, step, index);
  }

  /** Adds an occurrence of a job whose time has come. */
  addOccurrence(job: Job, occurrence: number, state: TaskState): void {
    if (state === TaskState.Unknown) this.hasUnknown = true;
    for (const step of job.addOccurrence(occurrence, state)) this.addIfReady(step);
  }

  /** Lets the tasks of a step start, if all that it comes after is done. */
  addIfReady(step: JobStep): void {
    if (step.job.outcome !== undefined || !step.job.isReady(step)) return;
    step.readyAt = this.now;
    this.ready.add(step);
    this.needsDispatch = true;
  }

  /** Gets the executors of a service. */
  *getPool(service: string): Generator<Executor> {
    for (const executor of this.executors.values()) {
      if (executor.entry.service === service) yield executor;
    }
  }
}
