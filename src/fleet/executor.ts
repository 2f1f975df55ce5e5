/** One life of an executor as its owner knows it: runs, room, lease and contact. */

import type { ExecutorEntry } from "./executor_entry.ts";
import type { JobTask } from "./job.ts";
import { addResources, isWithin, type Resources } from "./resources.ts";
import type { Run } from "./run.ts";

/** How much slower an executor's steady clock may be than ours: 2%, rounded up. */
const SLOW_CLOCK_FACTOR = 1.021;

/** A run with the task that it is of. */
export interface AssignedRun {
  /** The run. */
  run: Run;
  /** The task. */
  task: JobTask;
}

/** Whether the journal names an executor; nothing is started on one that it does not name. */
export const ExecutorRecord = {
  /** It does not. */
  None: "none",
  /** The entry is on its way. */
  Storing: "storing",
  /** It does. */
  Stored: "stored",
} as const;
export type ExecutorRecord = typeof ExecutorRecord[keyof typeof ExecutorRecord];

/** A reading of an executor's clock. */
export interface ClockReading {
  /** The executor's clock, in milliseconds. */
  executorTime: number;
  /** When the answer with the reading arrived, on our steady clock. */
  receivedAt: number;
}

/** One life of an executor. */
export class Executor {
  /** What the platform's list says of it. */
  entry: ExecutorEntry;
  /** Since when the owner knows of it, on the steady clock. */
  knownSince = -Infinity;
  /** Whether the list still names it. */
  isListed = true;
  /** Whether it has answered under the owner's fence. */
  isFenced = false;
  /** Whether the journal names it, so that a later owner looks here. */
  record: ExecutorRecord = ExecutorRecord.None;
  /** The runs that it reported and that no task accounts for; their room is not known. */
  strayCount = 0;
  /** Whether it is being emptied for a planned action. */
  isClosed = false;
  /** Whether it is to be emptied later. */
  isDue = false;
  /** Whether a look is on its way. */
  isLooking = false;
  /** When the last look ended, on the steady clock. */
  lookedAt = -Infinity;
  /** Since when looks fail, on the steady clock. */
  failingSince: number | undefined;
  /** Until when no task is started here, on the steady clock. */
  avoidedUntil = 0;
  /** How many times as long as expected tasks take here, of late. */
  slowness = 1;
  /** The recent failures of runs here, which decay. */
  failureScore = 0;
  /** The number of the last end that was acted on. */
  handledEnd = 0;
  /** The number of the last end that was given to the journal. */
  sentEnd = 0;
  /** The number of the last end that is stored, and may be forgotten by the executor. */
  storedEnd = 0;
  /** The last end that was acknowledged to the executor. */
  acknowledgedEnd = 0;
  /** The runs by the task's name. */
  readonly runs = new Map<string, AssignedRun>();
  readonly #used: Resources = { cpu: 0, memory: 0, accelerators: 0 };
  #clock: ClockReading | undefined;
  #longestDeadline = 0;

  private constructor(entry: ExecutorEntry) {
    this.entry = entry;
  }

  /** Creates an executor that has not answered yet. */
  static create(entry: ExecutorEntry): Executor {
    return new Executor(entry);
  }

  /** Gets the id. */
  get id(): string {
    return this.entry.id;
  }

  /** Gets what the runs here take. */
  getUsed(): Readonly<Resources> {
    return this.#used;
  }

  /** Gets whether a demand fits beside the runs here. */
  hasRoom(demand: Resources): boolean {
    return isWithin(this.#used, demand, this.entry.capacity);
  }

  /** Gets the part of the processor time in use, from 0 to 1. */
  getLoad(): number {
    return this.#used.cpu / Math.max(1, this.entry.capacity.cpu);
  }

  /** Gets whether tasks may be started here. */
  isOpen(now: number): boolean {
    return this.isFenced && this.isListed && this.record === ExecutorRecord.Stored &&
      this.strayCount === 0 &&
      !this.isClosed && !this.entry.isDraining &&
      this.failingSince === undefined && this.avoidedUntil <= now;
  }

  /** Adds a run. */
  addRun(assigned: AssignedRun): void {
    this.runs.set(assigned.task.name, assigned);
    addResources(this.#used, getCountedDemand(assigned.task));
    const counts = assigned.task.step.runsByExecutor;
    counts.set(this.id, (counts.get(this.id) ?? 0) + 1);
  }

  /** Removes a run, whose room is free from then on. */
  removeRun(assigned: AssignedRun): void {
    if (!this.runs.delete(assigned.task.name)) return;
    addResources(this.#used, getCountedDemand(assigned.task), -1);
    const counts = assigned.task.step.runsByExecutor;
    counts.set(this.id, (counts.get(this.id) ?? 1) - 1);
  }

  /** Takes a reading of the executor's clock. */
  readClock(reading: ClockReading): void {
    this.#clock = reading;
  }

  /** Gets what the executor's clock shows now, at most, or undefined where it was never read. */
  getTime(now: number): number | undefined {
    const clock = this.#clock;
    return clock && clock.executorTime + Math.max(0, now - clock.receivedAt);
  }

  /** Gets a deadline on the executor's clock that lies a lease ahead, and remembers the longest given. */
  grantDeadline(now: number, leaseMilliseconds: number): number {
    const clock = this.#clock;
    if (clock === undefined) return 0;
    const deadline = Math.floor(clock.executorTime + (now - clock.receivedAt) + leaseMilliseconds);
    this.#longestDeadline = Math.max(this.#longestDeadline, deadline);
    return this.#longestDeadline;
  }

  /** Takes account of a lease that another owner may have given. */
  assumeLease(leaseMilliseconds: number): void {
    const clock = this.#clock;
    if (clock === undefined) return;
    const deadline = clock.executorTime + leaseMilliseconds;
    this.#longestDeadline = Math.max(this.#longestDeadline, deadline);
  }

  /** Gets when everything here has ended for want of a lease, on our steady clock. */
  getLapsedAt(): number {
    const clock = this.#clock;
    if (clock === undefined) return -Infinity;
    const left = Math.max(0, this.#longestDeadline - clock.executorTime);
    return clock.receivedAt + left * SLOW_CLOCK_FACTOR;
  }

  /** Gets whether the executor's clock has passed a deadline. */
  hasPassed(deadline: number): boolean {
    return this.#clock !== undefined && this.#clock.executorTime > deadline;
  }
}

/** Gets what a task counts for: a filler's processor time does not. */
export function getCountedDemand(task: JobTask): Resources {
  const { demand, isFiller } = task.step.specification;
  return isFiller ? { ...demand, cpu: 0 } : demand;
}
