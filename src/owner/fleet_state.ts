/** The fleet state that the owner's decisions read and change. */

import type { EventLog } from "../events/mod.ts";
import { Configuration, type Queue } from "../fleet/configuration.ts";
import { type AssignedRun, Executor } from "../fleet/executor.ts";
import { type Job, type JobStep, type JobTask, TaskState } from "../fleet/job.ts";
import type { JobLimits } from "../fleet/job_limits.ts";
import { parseTaskName } from "../fleet/job_specification.ts";
import { addResources, type Resources } from "../fleet/resources.ts";
import type { EarlierLeases } from "../ownership/lease_bounds.ts";
import { ArrivalMeter } from "./arrival_meter.ts";
import { DemandHistory } from "./demand_history.ts";
import { DurationEstimator } from "./duration_estimator.ts";
import { JobMemory } from "./job_memory.ts";
import type { OwnerPorts } from "./owner_ports.ts";
import { type QueueEntry, QueueHistory } from "./queue_history.ts";
import type { StoredQueue } from "./queue_records.ts";
import { NO_SCHEDULING_FEATURES, type SchedulingFeatures } from "./scheduling_features.ts";
import { StartWindow } from "./start_window.ts";

/** The limits and durations that the owner's decisions respect. */
export interface OwnerLimits {
  /** How long the state of an ended job is retained, in milliseconds. */
  retentionMilliseconds: number;
  /** The maximum time that an executor takes to stop a run, in milliseconds. */
  stopMilliseconds: number;
  /** The longest leases that earlier owners may have left. */
  earlierLeases: EarlierLeases;
  /** The maximum lease that executors accept, in milliseconds. */
  longestLeaseMilliseconds: number;
  /** The limits on the size of a job. */
  jobLimits: JobLimits;
  /** The memory for jobs, in bytes; no limit if unset. */
  maximumJobBytes?: number | undefined;
  /** The factor by which a task takes longer outside its preferred rack. */
  offRackFactor: number;
}

/** Options of a `FleetState`. */
export interface FleetStateOptions {
  /** The fencing token of this owner, higher than that of any earlier owner. */
  fence: number;
  /** The limits and durations. */
  limits: OwnerLimits;
  /** Carries out the decisions. */
  ports: OwnerPorts;
  /** The scheduling features that are on; none by default. */
  features?: SchedulingFeatures | undefined;
  /** How long a move takes a host out of service, in milliseconds; 1,500 by default. */
  moveMilliseconds?: number | undefined;
  /** Logs decisions. */
  log: EventLog;
  /** When this owner took over, on the monotonic clock. */
  startedAt: number;
}

const DEFAULT_MOVE_MILLISECONDS = 1_500;
/** How long a host's new executor takes to be listed and to answer after a move, in milliseconds. */
const LISTING_MILLISECONDS = 600;

/** The size of each fence's run number range; a later owner's run numbers are always higher. */
const RUNS_PER_FENCE = 2 ** 20;

/** The state of the fleet as the owner knows it. */
export class FleetState {
  /** The fencing token of this owner. */
  readonly fence: number;
  /** The limits and durations. */
  readonly limits: OwnerLimits;
  /** Carries out the decisions. */
  readonly ports: OwnerPorts;
  /** The scheduling features that are on. */
  readonly features: SchedulingFeatures;
  /** Logs decisions. */
  readonly log: EventLog;
  /** When this owner took over, on the monotonic clock. */
  readonly startedAt: number;
  /** The time on the monotonic clock, in milliseconds, set before each decision. */
  now = 0;
  /** The time of day, in milliseconds since 1970, set before each decision. */
  timeOfDay = 0;
  /** The number of the claim's last confirmed renewal, set before each decision. */
  renewal = 0;
  /** Whether the owner may start tasks and act on hosts now. */
  mayStart = false;
  /** Whether the owner may extend leases now. */
  mayExtend = false;
  /** Whether an executor has rejected an order because of a later owner's fence. */
  isFenced = false;
  /** The lease that a poll grants now, in milliseconds. */
  leaseMilliseconds = 0;
  /** The configuration. */
  configuration = Configuration.create({
    version: 0,
    queues: [],
    services: [],
    customers: [],
    largestBodyBytes: 0,
  });
  /** The zones in which no tasks are started. */
  evacuatedZones: ReadonlySet<string> = new Set();
  /** The executors by id. */
  readonly executors = new Map<string, Executor>();
  /**
   * The incarnations of executors that are marked as ended although they may still be listed, with
   * the monotonic time at which each was marked.
   */
  readonly endedIncarnations = new Map<string, number>();
  /** The jobs by id. */
  readonly jobs = new Map<string, Job>();
  /** The estimated memory of the jobs that are accepted or being stored. */
  readonly jobMemory: JobMemory;
  /** The steps with tasks that are ready to start. */
  readonly ready = new Set<JobStep>();
  /** The jobs whose progress must be written to the journal. */
  readonly changedJobs = new Set<Job>();
  /** The resources in use by each customer's runs. */
  readonly usage = new Map<string, Resources>();
  /** Estimates task durations. */
  readonly durationEstimator = DurationEstimator.create();
  /** Limits the unanswered start orders. */
  readonly startWindow = StartWindow.create();
  /** Forecasts the load from arriving jobs. */
  readonly arrivals = ArrivalMeter.create();
  /** Remembers the demand of services. Used only with the feature that anticipates it. */
  readonly demandHistory: DemandHistory;
  /**
   * The upper bound of what each customer's unreported runs use on executors that have not answered
   * this owner.
   */
  inDoubtUsage: ReadonlyMap<string, Resources> = new Map();
  /** Whether tasks may be running on executors that have not answered this owner yet. */
  hasUnknownTasks = true;
  /** Whether a change since the last dispatch may allow tasks to start. */
  needsDispatch = true;
  #runCount = 0;
  readonly #queueHistory = QueueHistory.create();
  /** The queues of unfinished jobs whose records lack their present services, by name. */
  readonly #unstoredQueues = new Set<string>();

  private constructor(options: FleetStateOptions) {
    this.fence = options.fence;
    this.limits = options.limits;
    this.jobMemory = JobMemory.create(options.limits.maximumJobBytes);
    this.ports = options.ports;
    this.features = options.features ?? NO_SCHEDULING_FEATURES;
    this.log = options.log;
    this.startedAt = options.startedAt;
    this.demandHistory = DemandHistory.create({
      leadMilliseconds: (options.moveMilliseconds ?? DEFAULT_MOVE_MILLISECONDS) +
        LISTING_MILLISECONDS,
      startedAt: options.startedAt,
    });
  }

  /** Creates an empty state. */
  static create(options: FleetStateOptions): FleetState {
    return new FleetState(options);
  }

  /** Creates a run number that is higher than all earlier ones. */
  createRunNumber(): number {
    this.#runCount += 1;
    return this.fence * RUNS_PER_FENCE + this.#runCount;
  }

  /** Stops issuing orders: an executor has seen the fence of a later owner. */
  setFenced(executorId: string): void {
    if (this.isFenced) return;
    this.isFenced = true;
    this.mayStart = false;
    this.mayExtend = false;
    this.log("owner-deposed", { fence: this.fence, executor: executorId });
  }

  /** Gets a queue by name; one that was removed is returned as it was last configured. */
  getQueue(name: string): Queue | undefined {
    return this.#queueHistory.get(name);
  }

  /** Sets the configuration and retains its queues. */
  setConfiguration(configuration: Configuration): void {
    this.configuration = configuration;
    for (const queue of configuration.getQueues()) this.#queueHistory.set(queue);
    this.storeQueues();
    this.needsDispatch = true;
  }

  /** Adds a queue that was read from the journal. */
  addStoredQueue(stored: StoredQueue): void {
    this.#queueHistory.addStored(stored);
  }

  /** Creates the queue's journal entry, unless this owner has already written it. */
  createQueueEntry(name: string): QueueEntry | undefined {
    return this.#queueHistory.createEntry(name, (service) => this.#mayRun(name, service));
  }

  /** Stores the queues of unfinished jobs whose records lack their present services. */
  storeQueues(): void {
    const names = new Set<string>();
    for (const job of this.jobs.values()) if (job.outcome === undefined) names.add(job.queue);
    for (const name of names) this.storeQueue(name);
  }

  /**
   * Stores a queue unless its record has its present service. No task starts there before, so that a
   * later owner knows all services that may run a task.
   */
  storeQueue(name: string): void {
    if (this.#queueHistory.isStored(name)) {
      if (this.#unstoredQueues.delete(name)) this.needsDispatch = true;
      return;
    }
    this.#unstoredQueues.add(name);
    const created = this.createQueueEntry(name);
    if (created === undefined) return;
    this.ports.write([created.entry], () => {
      created.onStored();
      this.storeQueue(name);
    }, created.onRejected);
  }

  /** Gets the service whose executors run a job's tasks. */
  getService(job: Job): string | undefined {
    return this.getQueue(job.queue)?.service;
  }

  /** Gets the service on whose executors a job's tasks may be started now. */
  getStartService(job: Job): string | undefined {
    return this.#unstoredQueues.has(job.queue) ? undefined : this.getService(job);
  }

  /** Gets whether the executors of any of some services may run tasks of a queue. */
  mayRunOnAnyOf(queue: string, services: ReadonlySet<string>): boolean {
    const used = this.#queueHistory.getServices(queue);
    // A queue that is not known may have been sent to any service.
    if (used.size === 0) return services.size > 0;
    for (const service of used) if (services.has(service)) return true;
    return false;
  }

  /** Gets the resources in use by a customer's runs. */
  getUsage(customer: string): Resources {
    let usage = this.usage.get(customer);
    if (usage === undefined) {
      usage = { cpu: 0, memory: 0, accelerators: 0 };
      this.usage.set(customer, usage);
    }
    return usage;
  }

  /** Assigns a run to its task and executor. */
  addRun(executor: Executor, assigned: AssignedRun): void {
    const { task, run } = assigned;
    task.run = run;
    task.state = TaskState.Assigned;
    executor.addRun(assigned);
    addResources(this.getUsage(task.step.job.customer), task.step.specification.demand);
  }

  /** Marks a run as reported by its executor; an order that was sent may never have been executed. */
  confirmRun({ run, task }: AssignedRun): void {
    run.confirmedAt = this.now;
    task.step.job.hasStarted = true;
  }

  /** Removes a run from its task and executor; the caller decides on the task's next state. */
  removeRun(executor: Executor, assigned: AssignedRun): void {
    const { task, run } = assigned;
    if (!executor.runs.has(task.name)) return;
    executor.removeRun(assigned);
    addResources(this.getUsage(task.step.job.customer), task.step.specification.demand, -1);
    if (task.run === run) task.run = undefined;
    this.needsDispatch = true;
  }

  /** Makes a task eligible to start again. */
  requeue(task: JobTask): void {
    task.state = TaskState.Waiting;
    task.unavailableSince = this.now;
    if (task.step.job.outcome === undefined) this.ready.add(task.step);
    this.needsDispatch = true;
  }

  /**
   * Sets a task in state `Unknown` to `Waiting`, and adds its step to the ready ones if all steps
   * that it depends on are done. No run of an earlier owner can be executing the task any more.
   */
  resolveUnknownTask(task: JobTask): void {
    task.state = TaskState.Waiting;
    task.unavailableSince = this.now;
    if (task.step.job.isReady(task.step)) this.ready.add(task.step);
    this.needsDispatch = true;
  }

  /**
   * Finds the task of a run that an executor reported, if its job is known and its occurrence not
   * done, and adds the occurrence if this owner has not yet.
   */
  findOrAddReportedTask(name: string): JobTask | undefined {
    const parts = parseTaskName(name);
    const job = parts && this.jobs.get(parts.jobId);
    if (parts === undefined || job === undefined) return undefined;
    const { occurrence, step, index } = parts;
    const isPossible = job.outcome === undefined && occurrence < job.getOccurrenceCount();
    if (isPossible && !job.occurrences.has(occurrence) && !job.doneOccurrences.has(occurrence)) {
      // The occurrence was started by an earlier owner whose clock was ahead of this one's.
      this.addOccurrence(job, occurrence, TaskState.Unknown);
    }
    return job.getTask(occurrence, step, index);
  }

  /**
   * Adds an occurrence of a job. Once no executor may run tasks that it has not reported, no task is
   * in state `Unknown`.
   */
  addOccurrence(job: Job, occurrence: number, state: TaskState): void {
    const initial = this.hasUnknownTasks ? state : TaskState.Waiting;
    const steps = job.addOccurrence(occurrence, initial);
    this.jobMemory.update(job);
    for (const step of steps) this.addIfReady(step);
  }

  /** Removes an occurrence of a job that is completed. */
  completeOccurrence(job: Job, occurrence: number): void {
    job.occurrences.delete(occurrence);
    job.doneOccurrences.add(occurrence);
    this.jobMemory.update(job);
  }

  /** Makes the tasks of a step eligible to start if all steps that it depends on are done. */
  addIfReady(step: JobStep): void {
    if (step.job.outcome !== undefined || !step.job.isReady(step)) return;
    step.readyAt = this.now;
    this.ready.add(step);
    this.needsDispatch = true;
  }

  /** Gets whether a service may run tasks of a queue that were started before now. */
  #mayRun(queue: string, service: string): boolean {
    if (this.hasUnknownTasks) return true;
    for (const { runs } of this.getExecutorsOf(service)) {
      for (const { task } of runs.values()) if (task.step.job.queue === queue) return true;
    }
    return false;
  }

  /** Gets the executors of a service. */
  *getExecutorsOf(service: string): Generator<Executor> {
    for (const executor of this.executors.values()) {
      if (executor.entry.service === service) yield executor;
    }
  }
}
