/** An executor as its protocol describes it, without clock or socket: for tests and stand-ins. */

import type { Resources } from "../../fleet/resources.ts";
import { RunEnd } from "../../fleet/run.ts";
import { type ExecutorReport, OrderOutcome } from "../../owner/owner_ports.ts";

/** How a run goes, if nothing stops it. */
export interface RunPlan {
  /** How long it works, in milliseconds; infinity for a lasting one. */
  durationMilliseconds: number;
  /** How it ends. */
  end: typeof RunEnd.Done | typeof RunEnd.Failed;
}

/** A run in the model. */
export interface ModelRun {
  /** The task's name. */
  task: string;
  /** The number of the run. */
  run: number;
  /** When it started. */
  startedAt: number;
  /** How it goes. */
  plan: RunPlan;
  /** When it is gone after a stop, if one was ordered. */
  stopCompletesAt?: number | undefined;
}

/** Options of an `ExecutorModel`. */
export interface ExecutorModelOptions {
  /** What it has in all. */
  capacity: Resources;
  /** When it was born, in milliseconds since 1970. */
  born: number;
  /** When it started, on the clock of the test. */
  startedAt: number;
  /** How long a stop takes, in milliseconds. */
  stopMilliseconds: number;
  /** How long a lasting task takes until it is at work, in milliseconds. */
  startupMilliseconds: number;
  /** Decides how a run goes. */
  planRun: (task: string, run: number) => RunPlan;
  /** Sees every start. */
  onStart: (run: ModelRun) => void;
  /** Sees every end, and whether a lasting run was at work. */
  onEnd: (run: ModelRun, end: RunEnd, isAtWork: boolean) => void;
}

/** An order to start, as the model takes it. */
export interface ModelStartOrder {
  /** The task's name. */
  task: string;
  /** The number of the run. */
  run: number;
  /** The end of the lease, on the executor's clock. */
  deadline: number;
  /** The owner's fence. */
  fence: number;
}

/** One life of an executor. */
export class ExecutorModel {
  /** What runs, by the task's name. */
  readonly running = new Map<string, ModelRun>();
  readonly #options: ExecutorModelOptions;
  readonly #ended: { number: number; task: string; run: number; end: RunEnd }[] = [];
  /** The highest run of each task that was stopped or has ended here. */
  readonly #highest = new Map<string, number>();
  #fence = 0;
  #deadline = 0;
  #lastEnd = 0;

  private constructor(options: ExecutorModelOptions) {
    this.#options = options;
  }

  /** Creates an executor that runs nothing. */
  static create(options: ExecutorModelOptions): ExecutorModel {
    return new ExecutorModel(options);
  }

  /** Gets the executor's clock. */
  getExecutorTime(now: number): number {
    return Math.floor(now - this.#options.startedAt);
  }

  /** Starts a run. */
  start(order: ModelStartOrder, now: number): OrderOutcome {
    this.advance(now);
    if (!this.#acceptFence(order.fence)) return OrderOutcome.Fenced;
    if (this.getExecutorTime(now) > order.deadline) return OrderOutcome.DeadlinePassed;
    this.#deadline = Math.max(this.#deadline, order.deadline);
    const known = this.running.get(order.task);
    if (known?.run === order.run) return OrderOutcome.Done;
    if (known !== undefined || order.run <= (this.#highest.get(order.task) ?? 0)) {
      return OrderOutcome.StaleRun;
    }
    const plan = this.#options.planRun(order.task, order.run);
    const run = { task: order.task, run: order.run, startedAt: now, plan };
    this.running.set(order.task, run);
    this.#options.onStart(run);
    return OrderOutcome.Done;
  }

  /** Stops a run, or makes one that has not come yet impossible. */
  stop(task: string, run: number, fence: number, now: number): OrderOutcome {
    this.advance(now);
    if (!this.#acceptFence(fence)) return OrderOutcome.Fenced;
    this.#highest.set(task, Math.max(run, this.#highest.get(task) ?? 0));
    const known = this.running.get(task);
    if (known?.run === run) known.stopCompletesAt ??= now + this.#options.stopMilliseconds;
    return OrderOutcome.Done;
  }

  /** Extends the lease, forgets acknowledged ends, and reports. */
  poll(
    order: { fence: number; acknowledged: number; deadline: number },
    now: number,
  ): ExecutorReport | undefined {
    this.advance(now);
    if (!this.#acceptFence(order.fence)) return undefined;
    this.#deadline = Math.max(this.#deadline, order.deadline);
    while (this.#ended.length > 0 && this.#ended[0]!.number <= order.acknowledged) {
      this.#ended.shift();
    }
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
      ended: this.#ended.map((end) => ({ ...end, checkpoint: "" })),
    };
  }

  /** Gets whether the lease has run out. */
  isLeaseExpired(now: number): boolean {
    return this.getExecutorTime(now) > this.#deadline;
  }

  /** Gets the tasks whose ends nobody has taken note of; a crash loses them. */
  getUnacknowledgedTasks(): string[] {
    return this.#ended.map(({ task }) => task);
  }

  /** Gets the part of its work that a run has done; a lasting one has all of it once it is at work. */
  getPercent(run: ModelRun, now: number): number {
    const age = now - run.startedAt;
    if (run.plan.durationMilliseconds === Infinity) {
      return age >= this.#options.startupMilliseconds ? 100 : 0;
    }
    return Math.floor(100 * age / run.plan.durationMilliseconds);
  }

  /** Gets whether a lasting run is at work. */
  isAvailable(run: ModelRun, now: number): boolean {
    return run.plan.durationMilliseconds === Infinity && this.getPercent(run, now) === 100;
  }

  /** Ends what is over at a time. */
  advance(now: number): void {
    const isLapsed = this.isLeaseExpired(now);
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
    const isAtWork = this.isAvailable(run, now);
    this.running.delete(run.task);
    this.#highest.set(run.task, Math.max(run.run, this.#highest.get(run.task) ?? 0));
    this.#lastEnd += 1;
    this.#ended.push({ number: this.#lastEnd, task: run.task, run: run.run, end });
    this.#options.onEnd(run, end, isAtWork);
  }

  #acceptFence(fence: number): boolean {
    if (fence < this.#fence) return false;
    this.#fence = fence;
    return true;
  }
}
