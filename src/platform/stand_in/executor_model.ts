/** A model of an executor's protocol, without clock and sockets, for tests and stand-ins. */

import type { ExecutorEntry } from "../../fleet/executor_entry.ts";
import type { Resources } from "../../fleet/resources.ts";
import { RunEnd } from "../../fleet/run.ts";
import { type ExecutorReport, OrderOutcome, type PollOrder } from "../../owner/owner_ports.ts";

/** The maximum lease that an executor accepts, in milliseconds; it shortens longer ones. */
export const MAXIMUM_LEASE_MILLISECONDS = 10_000;

/** The maximum number of ends in a report, unless a model has another. */
const DEFAULT_LISTED_ENDS = 500;

/** The course of a run that is not interrupted. */
export interface RunPlan {
  /** The duration in milliseconds; `Infinity` for a run of a long-running task. */
  durationMilliseconds: number;
  /** How the run ends. */
  end: typeof RunEnd.Done | typeof RunEnd.Failed;
}

/** A run on the executor. */
export interface ModelRun {
  /** The task's name. */
  task: string;
  /** The number of the run. */
  run: number;
  /** When the run started. */
  startedAt: number;
  /** The planned course. */
  plan: RunPlan;
  /** When an ordered stop is complete; undefined if no stop was ordered. */
  stopCompletesAt?: number | undefined;
}

/** The end of a run, as an executor lists it. */
export interface ModelEnd {
  /** The number of the end, counted from 1 in each incarnation. */
  number: number;
  /** The task's name. */
  task: string;
  /** The number of the run. */
  run: number;
  /** How the run ended. */
  end: RunEnd;
  /** Whether the executor's lease has expired since. */
  isLeaseExpiredSince: boolean;
}

/** Options of an `ExecutorModel`. */
export interface ExecutorModelOptions {
  /** The total capacity. */
  capacity: Resources;
  /** When the incarnation started, in milliseconds since 1970. */
  born: number;
  /** When the incarnation started, on the caller's clock. */
  startedAt: number;
  /** How long stopping a run takes, in milliseconds. */
  stopMilliseconds: number;
  /** How long a long-running task takes to become available, in milliseconds. */
  startupMilliseconds: number;
  /** The maximum number of ends in a report. */
  listedEnds?: number | undefined;
  /** Plans the course of a run. */
  planRun: (task: string, run: number) => RunPlan;
  /** Called when a run starts. */
  onStart: (run: ModelRun) => void;
  /** Called when a run ends; `isAvailable` tells whether a long-running task was available. */
  onEnd: (run: ModelRun, end: RunEnd, isAvailable: boolean) => void;
  /** Called when a poll acknowledges an end, which the executor then discards. */
  onAcknowledged?: ((end: ModelEnd) => void) | undefined;
}

/** An order to start a run. */
export interface ModelStartOrder {
  /** The task's name. */
  task: string;
  /** The number of the run. */
  run: number;
  /** The end of the lease, on the executor's clock, in milliseconds. */
  deadline: number;
  /** The fence of the owner. */
  fence: number;
}

/** One incarnation of an executor. */
export class ExecutorModel {
  /** The running runs, by task name. */
  readonly running = new Map<string, ModelRun>();
  readonly #options: ExecutorModelOptions;
  readonly #unacknowledgedEnds: ModelEnd[] = [];
  /** The highest run number of each task that was stopped or has ended here. */
  readonly #highestRuns = new Map<string, number>();
  #fence = 0;
  #deadline = 0;
  #lastEndNumber = 0;

  private constructor(options: ExecutorModelOptions) {
    this.#options = options;
  }

  /** Creates an executor without runs. */
  static create(options: ExecutorModelOptions): ExecutorModel {
    return new ExecutorModel(options);
  }

  /** Gets whether this is the incarnation of an entry; a start is sent to no other. */
  isIncarnationOf({ born }: ExecutorEntry): boolean {
    return born === this.#options.born;
  }

  /**
   * Gets what a poll may acknowledge here: an acknowledgement is sent only over a connection to the
   * incarnation that is meant.
   */
  getDeliveredAcknowledgement({ executor, acknowledged }: PollOrder): number {
    return this.isIncarnationOf(executor) ? acknowledged : 0;
  }

  /** Gets the time on the executor's clock, in milliseconds. */
  getExecutorTime(now: number): number {
    return Math.floor(now - this.#options.startedAt);
  }

  /** Starts a run unless its fence, deadline or run number is outdated. */
  start(order: ModelStartOrder, now: number): OrderOutcome {
    this.advance(now);
    if (!this.#acceptFence(order.fence)) return OrderOutcome.Fenced;
    if (this.getExecutorTime(now) > order.deadline) return OrderOutcome.DeadlinePassed;
    this.#extendLease(order.deadline, now);
    const existing = this.running.get(order.task);
    if (existing?.run === order.run) return OrderOutcome.Done;
    if (existing !== undefined || order.run <= (this.#highestRuns.get(order.task) ?? 0)) {
      return OrderOutcome.StaleRun;
    }
    const plan = this.#options.planRun(order.task, order.run);
    const run = { task: order.task, run: order.run, startedAt: now, plan };
    this.running.set(order.task, run);
    this.#options.onStart(run);
    return OrderOutcome.Done;
  }

  /** Stops a run, or prevents its start if the start order has not arrived yet. */
  stop(task: string, run: number, fence: number, now: number): OrderOutcome {
    this.advance(now);
    if (!this.#acceptFence(fence)) return OrderOutcome.Fenced;
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0));
    const existing = this.running.get(task);
    if (existing?.run === run) existing.stopCompletesAt ??= now + this.#options.stopMilliseconds;
    return OrderOutcome.Done;
  }

  /** Extends the lease, discards acknowledged ends and reports; undefined for an outdated fence. */
  poll(
    order: { fence: number; acknowledged: number; deadline: number },
    now: number,
  ): ExecutorReport | undefined {
    this.advance(now);
    if (!this.#acceptFence(order.fence)) return undefined;
    this.#extendLease(order.deadline, now);
    while (
      this.#unacknowledgedEnds.length > 0 &&
      this.#unacknowledgedEnds[0]!.number <= order.acknowledged
    ) {
      const end = this.#unacknowledgedEnds.shift()!;
      this.#options.onAcknowledged?.(end);
    }
    const { listedEnds = DEFAULT_LISTED_ENDS } = this.#options;
    return {
      born: this.#options.born,
      executorTime: this.getExecutorTime(now),
      running: [...this.running.values()].map((run) => ({
        task: run.task,
        run: run.run,
        checkpoint: "",
        percent: this.getPercent(run, now),
        usage: 0,
      })),
      ended: this.#unacknowledgedEnds.slice(0, listedEnds)
        .map(({ number, task, run, end }) => ({ number, task, run, end, checkpoint: "" })),
      hasAllEnds: this.#unacknowledgedEnds.length < listedEnds,
    };
  }

  /** Gets whether the lease has expired. */
  isLeaseExpired(now: number): boolean {
    return this.getExecutorTime(now) > this.#deadline;
  }

  /** Gets the tasks whose ends were not acknowledged yet. A crash loses these ends. */
  getUnacknowledgedTasks(): string[] {
    return this.#unacknowledgedEnds.map(({ task }) => task);
  }

  /** Gets the progress of a run in percent; 100 for a long-running task that is available. */
  getPercent(run: ModelRun, now: number): number {
    const age = now - run.startedAt;
    if (run.plan.durationMilliseconds === Infinity) {
      return age >= this.#options.startupMilliseconds ? 100 : 0;
    }
    return Math.floor(100 * age / run.plan.durationMilliseconds);
  }

  /** Gets whether a run belongs to a long-running task that is available. */
  isAvailable(run: ModelRun, now: number): boolean {
    return run.plan.durationMilliseconds === Infinity && this.getPercent(run, now) === 100;
  }

  /** Ends the runs that have finished, were stopped or lost their lease by a time. */
  advance(now: number): void {
    const isLapsed = this.isLeaseExpired(now);
    if (isLapsed) { for (const end of this.#unacknowledgedEnds) end.isLeaseExpiredSince = true; }
    for (const run of [...this.running.values()]) {
      if (isLapsed) this.#end(run, RunEnd.LeaseExpired, now);
      else if (now >= run.startedAt + run.plan.durationMilliseconds) {
        this.#end(run, run.plan.end, now);
      } else if (run.stopCompletesAt !== undefined && now >= run.stopCompletesAt) {
        this.#end(run, RunEnd.Stopped, now);
      }
    }
  }

  #end(run: ModelRun, end: RunEnd, now: number): void {
    const isAvailable = this.isAvailable(run, now);
    this.running.delete(run.task);
    this.#highestRuns.set(run.task, Math.max(run.run, this.#highestRuns.get(run.task) ?? 0));
    this.#lastEndNumber += 1;
    this.#unacknowledgedEnds.push({
      number: this.#lastEndNumber,
      task: run.task,
      run: run.run,
      end,
      isLeaseExpiredSince: false,
    });
    this.#options.onEnd(run, end, isAvailable);
  }

  #extendLease(deadline: number, now: number): void {
    const latest = this.getExecutorTime(now) + MAXIMUM_LEASE_MILLISECONDS;
    this.#deadline = Math.max(this.#deadline, Math.min(deadline, latest));
  }

  #acceptFence(fence: number): boolean {
    if (fence < this.#fence) return false;
    this.#fence = fence;
    return true;
  }
}
