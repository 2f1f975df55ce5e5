/** Executors that crash and start again under their ids and addresses, and a check of their runs. */

import { RunEnd } from "../../fleet/run.ts";
import { RunExecutorStandIn } from "./run_executor_stand_in.ts";
import type { StoreStandIn } from "./store_stand_in.ts";

/** Options of `RestartingExecutors`. */
export interface RestartingExecutorsOptions {
  /** The store in which they register. */
  store: StoreStandIn;
  /** Gets how long a run of a task lasts, in milliseconds; `Infinity` for a long-running task. */
  getRunMilliseconds: (task: string) => number;
}

/** The start of an executor. */
export interface ExecutorStart {
  /** The id. */
  id: string;
  /** The service whose tasks it runs. */
  service: string;
}

/** How an executor restarts. */
export interface ExecutorRestart {
  /** How long it takes to register, in milliseconds. */
  entryDelayMilliseconds: number;
  /** How long it carries out orders and answers none, in milliseconds. */
  muteMilliseconds: number;
}

interface ExecutorLife extends ExecutorStart {
  executor: RunExecutorStandIn;
  port: number;
}

/** Owns executors, one incarnation of each at a time. */
export class RestartingExecutors {
  /** The tasks that ran on two executors at the same time. */
  readonly violations: string[] = [];
  /** The tasks that were started. */
  readonly started = new Set<string>();
  /** The tasks of which a run has ended as done. */
  readonly done = new Set<string>();
  readonly #options: RestartingExecutorsOptions;
  readonly #lives = new Map<string, ExecutorLife>();
  readonly #timers = new Set<NodeJS.Timeout>();
  /** The executors on which each task runs. */
  readonly #running = new Map<string, Set<RunExecutorStandIn>>();

  private constructor(options: RestartingExecutorsOptions) {
    this.#options = options;
  }

  /** Creates the owner of executors, none of which is started. */
  static create(options: RestartingExecutorsOptions): RestartingExecutors {
    return new RestartingExecutors(options);
  }

  /** Starts an executor and registers it. */
  async start(start: ExecutorStart): Promise<void> {
    await this.#startLife(start, { entryDelayMilliseconds: 0, muteMilliseconds: 0 });
  }

  /** Ends an executor with all of its runs, and starts its next incarnation at the same address. */
  async restart(id: string, restart: ExecutorRestart): Promise<void> {
    const { executor, port, service } = this.#lives.get(id)!;
    executor.close();
    for (const executors of this.#running.values()) executors.delete(executor);
    await this.#startLife({ id, service }, restart, port);
  }

  /** Gets whether a task runs on any executor. */
  isRunning(task: string): boolean {
    return (this.#running.get(task)?.size ?? 0) > 0;
  }

  /** Closes all executors. */
  close(): void {
    for (const timer of this.#timers) clearTimeout(timer);
    for (const { executor } of this.#lives.values()) executor.close();
  }

  async #startLife(
    { id, service }: ExecutorStart,
    { entryDelayMilliseconds, muteMilliseconds }: ExecutorRestart,
    port?: number,
  ): Promise<void> {
    const { store, getRunMilliseconds } = this.#options;
    const executor: RunExecutorStandIn = RunExecutorStandIn.create({
      id,
      service,
      zone: "zl-a",
      planRun: (task) => ({ durationMilliseconds: getRunMilliseconds(task), end: RunEnd.Done }),
      onStart: (task) => this.#handleStart(task, executor),
      onEnd: (task, end) => this.#handleEnd(task, end, executor),
    });
    executor.isMute = muteMilliseconds > 0;
    const entry = await executor.listen(port);
    this.#lives.set(id, {
      id,
      service,
      executor,
      port: Number(String(entry["addr"]).split(":")[1]),
    });
    this.#schedule(muteMilliseconds, () => executor.isMute = false);
    this.#schedule(entryDelayMilliseconds, () => store.put("keyed.servers", id, entry));
  }

  #schedule(milliseconds: number, act: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      act();
    }, milliseconds);
    this.#timers.add(timer);
  }

  #handleStart(task: string, executor: RunExecutorStandIn): void {
    const executors = this.#running.get(task) ?? new Set();
    this.#running.set(task, executors);
    for (const other of executors) {
      this.violations.push(`${task} on ${other.id} and ${executor.id}`);
    }
    executors.add(executor);
    this.started.add(task);
  }

  #handleEnd(task: string, end: RunEnd, executor: RunExecutorStandIn): void {
    this.#running.get(task)?.delete(executor);
    if (end === RunEnd.Done) this.done.add(task);
  }
}
