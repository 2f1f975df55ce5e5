/** The owner's view of an executor: its runs, free capacity, lease and reachability. */

import type { ExecutorEntry } from "./executor_entry.ts";
import type { JobTask } from "./job.ts";
import { addResources, fitsCapacity, type Resources } from "./resources.ts";
import type { Run } from "./run.ts";

/** An executor's monotonic clock may be up to 2% slower than the local one: 1 / 0.98, rounded up. */
const SLOW_CLOCK_FACTOR = 1.021;
/** Executors and this host round their clocks to whole milliseconds. */
const CLOCK_RESOLUTION_MILLISECONDS = 2;

/** A run and its task. */
export interface AssignedRun {
  /** The run. */
  run: Run;
  /** The task. */
  task: JobTask;
}

/** The state of an executor's journal record; runs start only once it is stored. */
export const ExecutorRecordState = {
  /** There is no record. */
  None: "none",
  /** The record is being appended. */
  Storing: "storing",
  /** The record is stored. */
  Stored: "stored",
} as const;
export type ExecutorRecordState = typeof ExecutorRecordState[keyof typeof ExecutorRecordState];

/** A reading of an executor's clock. */
export interface ClockReading {
  /** The executor's clock, in milliseconds. */
  executorTime: number;
  /** When the response with the reading arrived, on the local monotonic clock. */
  receivedAt: number;
}

/** One incarnation of an executor, from its start to its end. */
export class Executor {
  /** The executor's latest entry in the platform's list. */
  entry: ExecutorEntry;
  /** When the owner first saw it, on the monotonic clock. */
  knownSince = -Infinity;
  /**
   * Whether an earlier incarnation had its id: orders for that one may have given this one a lease
   * of any length, since their deadlines are on another clock.
   */
  isRestarted = false;
  /** Whether the platform's list still contains it. */
  isListed = true;
  /** Whether it has accepted the owner's fencing token. */
  hasAcceptedFence = false;
  /**
   * Whether it has reported all runs that this owner did not start, and all of their ends, so that a
   * task that it did not report neither runs nor was completed there.
   */
  hasReportedAll = false;
  /** The state of its journal record, which tells a later owner to poll it too. */
  record: ExecutorRecordState = ExecutorRecordState.None;
  /** The number of reported runs that belong to no known task and use unknown resources. */
  orphanRunCount = 0;
  /** Whether it accepts no new tasks because a planned action drains it. */
  isCordoned = false;
  /**
   * When the newest host list was requested, on the monotonic clock, if its host no longer runs it
   * according to that list; `-Infinity` otherwise.
   */
  hostLostAsOf = -Infinity;
  /** Whether its host has pending maintenance, for which it will be drained. */
  hasPendingMaintenance = false;
  /** Whether a poll is in flight. */
  isPolling = false;
  /** When the last poll completed, on the monotonic clock. */
  polledAt = -Infinity;
  /** Since when polls have been failing, on the monotonic clock; undefined while they succeed. */
  pollsFailingSince: number | undefined;
  /** Until when it is avoided for new tasks, on the monotonic clock. */
  avoidedUntil = 0;
  /** The moving average of actual over expected duration of its tasks. */
  slowdown = 1;
  /** A decaying count of failed runs. */
  failureScore = 0;
  /** The sequence number of the last run end that was handled. */
  lastHandledEnd = 0;
  /** The sequence number of the last run end that was sent to the journal. */
  lastWrittenEnd = 0;
  /** The sequence number of the last run end that is stored; the executor may discard ends up to it. */
  lastStoredEnd = 0;
  /** The sequence number of the last run end whose acknowledgement the executor has answered. */
  lastDiscardedEnd = 0;
  /** The runs by task name. */
  readonly runs = new Map<string, AssignedRun>();
  readonly #reserved: Resources = { cpu: 0, memory: 0, accelerators: 0 };
  #clock: ClockReading | undefined;
  /** The latest deadline that this owner has granted. */
  #latestDeadline = 0;
  /** The latest deadline that earlier owners may have granted by this incarnation's clock. */
  #earlierDeadline = 0;
  /** The latest deadline that orders for an earlier incarnation may have granted to this one. */
  #strayDeadline = 0;

  private constructor(entry: ExecutorEntry) {
    this.entry = entry;
  }

  /** Creates an executor that has not been polled yet. */
  static create(entry: ExecutorEntry): Executor {
    return new Executor(entry);
  }

  /** The id. */
  get id(): string {
    return this.entry.id;
  }

  /** Gets the resources reserved by the runs. */
  getReserved(): Readonly<Resources> {
    return this.#reserved;
  }

  /** Gets whether the unreserved capacity covers a demand. */
  hasCapacityFor(demand: Resources): boolean {
    return fitsCapacity(this.#reserved, demand, this.entry.capacity);
  }

  /** Gets the fraction of the CPU capacity that is reserved, from 0 to 1. */
  getReservedCpuFraction(): number {
    return this.#reserved.cpu / Math.max(1, this.entry.capacity.cpu);
  }

  /** Gets whether new tasks may be started. */
  canStartTasks(now: number): boolean {
    return this.hasAcceptedFence && this.isListed && this.record === ExecutorRecordState.Stored &&
      this.orphanRunCount === 0 &&
      !this.isCordoned && !this.entry.isDraining &&
      this.pollsFailingSince === undefined && this.avoidedUntil <= now;
  }

  /** Adds a run and reserves its resources. */
  addRun(assigned: AssignedRun): void {
    this.runs.set(assigned.task.name, assigned);
    addResources(this.#reserved, getReservedDemand(assigned.task));
    const counts = assigned.task.step.runsByExecutor;
    counts.set(this.id, (counts.get(this.id) ?? 0) + 1);
  }

  /** Removes a run and releases its resources. */
  removeRun(assigned: AssignedRun): void {
    if (!this.runs.delete(assigned.task.name)) return;
    addResources(this.#reserved, getReservedDemand(assigned.task), -1);
    const counts = assigned.task.step.runsByExecutor;
    counts.set(this.id, (counts.get(this.id) ?? 1) - 1);
  }

  /** Stores a reading of the executor's clock. */
  recordClockReading(reading: ClockReading): void {
    this.#clock = reading;
  }

  /**
   * Estimates the current time of the executor's clock: the last reading plus the local time since
   * it arrived; undefined if there is no reading.
   */
  getExecutorTime(now: number): number | undefined {
    const clock = this.#clock;
    return clock && clock.executorTime + Math.max(0, now - clock.receivedAt);
  }

  /**
   * Grants a lease and returns its deadline on the executor's clock, which is never earlier than
   * those granted before; 0 if there is no reading yet, so that no lease is granted.
   */
  grantLease(now: number, leaseMilliseconds: number): number {
    const clock = this.#clock;
    if (clock === undefined) return 0;
    const deadline = Math.floor(clock.executorTime + (now - clock.receivedAt) + leaseMilliseconds);
    this.#latestDeadline = Math.max(this.#latestDeadline, deadline);
    return this.#latestDeadline;
  }

  /** Accounts for the lease that an earlier owner may have granted by this incarnation's clock. */
  assumeEarlierLease(leaseMilliseconds: number): void {
    const deadline = (this.#clock?.executorTime ?? 0) + leaseMilliseconds;
    this.#earlierDeadline = Math.max(this.#earlierDeadline, deadline);
  }

  /** Accounts for the lease that orders for an earlier incarnation may have granted to this one. */
  assumeStrayLease(leaseMilliseconds: number): void {
    const deadline = (this.#clock?.executorTime ?? 0) + leaseMilliseconds;
    this.#strayDeadline = Math.max(this.#strayDeadline, deadline);
  }

  /**
   * Gets whether its host no longer ran it at or after a time on the monotonic clock, so that no later
   * incarnation runs what it was told before.
   */
  isHostLostSince(time: number): boolean {
    return this.hostLostAsOf >= time;
  }

  /**
   * Gets the time by which the latest lease has certainly expired, so that all runs have ended, on
   * the local monotonic clock; `-Infinity` if there is no reading yet.
   */
  getLeaseExpiryTime(): number {
    const clock = this.#clock;
    if (clock === undefined) return -Infinity;
    const isLost = this.pollsFailingSince !== undefined &&
      this.isHostLostSince(this.pollsFailingSince);
    const deadline = Math.max(
      this.#latestDeadline,
      this.#earlierDeadline,
      isLost ? 0 : this.#strayDeadline,
    );
    const remaining = Math.max(0, deadline - clock.executorTime);
    return clock.receivedAt + remaining * SLOW_CLOCK_FACTOR;
  }

  /**
   * Creates the next incarnation under the same id. Its journal record stays in place, so that a
   * later owner polls it, and so does a planned action for its host.
   */
  createNextIncarnation(entry: ExecutorEntry): Executor {
    const next = new Executor(entry);
    next.isRestarted = true;
    next.record = this.record;
    next.isCordoned = this.isCordoned;
    next.hasPendingMaintenance = this.hasPendingMaintenance;
    return next;
  }

  /**
   * Gets whether a clock reading, taken at or after a time on the local monotonic clock, is too low
   * for this incarnation: then an order was answered by a later one. Also true without a reading.
   */
  isClockBehind(executorTime: number, takenAfter: number): boolean {
    const clock = this.#clock;
    if (clock === undefined) return true;
    const elapsed = takenAfter - clock.receivedAt;
    const advance = elapsed >= 0 ? elapsed / SLOW_CLOCK_FACTOR : elapsed * SLOW_CLOCK_FACTOR;
    return executorTime < clock.executorTime + advance - CLOCK_RESOLUTION_MILLISECONDS;
  }

  /** Gets whether the last reading of the executor's clock is past a deadline. */
  hasPassed(deadline: number): boolean {
    return this.#clock !== undefined && this.#clock.executorTime > deadline;
  }
}

/** Gets the resources that a task reserves; best-effort tasks (fillers) reserve no CPU. */
export function getReservedDemand(task: JobTask): Resources {
  const { demand, isFiller } = task.step.specification;
  return isFiller ? { ...demand, cpu: 0 } : demand;
}
