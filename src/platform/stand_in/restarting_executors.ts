/** Executors that crash and start again under their ids and addresses, and a check of their runs. */

import { setTimeout as delay } from "node:timers/promises";
import { RunEnd } from "../../fleet/run.ts";
import { RunExecutorStandIn } from "./run_executor_stand_in.ts";
import { RunHistory } from "./run_history.ts";
import type { SoakLinks } from "./soak_links.ts";
import type { StoreStandIn } from "./store_stand_in.ts";

/** Options of `RestartingExecutors`. */
export interface RestartingExecutorsOptions {
  /** The store in which they register. */
  store: StoreStandIn;
  /** Gets how long a run of a task lasts, in milliseconds; `Infinity` for a long-running task. */
  getRunMilliseconds: (task: string) => number;
  /** The links to the hosts; they carry everything in time if unset. */
  links?: SoakLinks;
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

/** How an executor leaves for good, and another one comes in its place. */
export interface ExecutorReplacement {
  /** The id of the other one. */
  id: string;
  /** How long the executor reports that it is draining before it ends; 0 for a crash. */
  drainMilliseconds: number;
  /** How long after its end it is still listed, in milliseconds. */
  removalDelayMilliseconds: number;
  /** How long the other one takes to register, in milliseconds. */
  entryDelayMilliseconds: number;
  /** Whether the other one gets its address. */
  keepsAddress: boolean;
}

interface ExecutorLife extends ExecutorStart {
  executor: RunExecutorStandIn;
  port: number;
  entry: Record<string, unknown>;
}

/** Owns executors, one incarnation of each at a time. */
export class RestartingExecutors {
  /** The runs on all executors. */
  readonly history = RunHistory.create();
  readonly #options: RestartingExecutorsOptions;
  readonly #lives = new Map<string, ExecutorLife>();
  readonly #timers = new Set<NodeJS.Timeout>();

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
    this.history.addLoss(executor.incarnation);
    await this.#startLife({ id, service }, restart, port);
  }

  /** Has an executor leave for good, and starts another one of its service. */
  async replace(id: string, replacement: ExecutorReplacement): Promise<void> {
    const { store } = this.#options;
    const { drainMilliseconds, removalDelayMilliseconds, keepsAddress } = replacement;
    const { executor, entry, port, service } = this.#lives.get(id)!;
    if (drainMilliseconds > 0) {
      store.put("keyed.servers", id, { ...entry, state: "draining", seq: 2 });
      await delay(drainMilliseconds);
    }
    executor.close();
    this.history.addLoss(executor.incarnation);
    this.#lives.delete(id);
    this.#schedule(removalDelayMilliseconds, () => store.put("keyed.servers", id, undefined));
    const { entryDelayMilliseconds } = replacement;
    const restart = { entryDelayMilliseconds, muteMilliseconds: 0 };
    await this.#startLife({ id: replacement.id, service }, restart, keepsAddress ? port : 0);
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
    const { store, getRunMilliseconds, links } = this.#options;
    const executor: RunExecutorStandIn = RunExecutorStandIn.create({
      id,
      service,
      zone: "zl-a",
      planRun: (task) => ({ durationMilliseconds: getRunMilliseconds(task), end: RunEnd.Done }),
      onStart: (run) => this.history.addStart(executor.incarnation, run),
      onEnd: (run, end) => this.history.addEnd(executor.incarnation, run, end),
      onAcknowledged: (end) => this.history.addAcknowledgement(executor.incarnation, end),
      getLateness: links && ((sender) => links.getLateness(sender, id)),
      isAnswerLost: links && ((sender) => links.isAnswerLost(sender, id)),
    });
    executor.isMute = muteMilliseconds > 0;
    const entry = await executor.listen(port);
    this.#lives.set(id, {
      id,
      service,
      executor,
      entry,
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
}
