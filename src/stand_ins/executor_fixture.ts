/** An executor of an owner that is tested in isolation. */

import { RunEnd } from "../fleet/run.ts";
import { OrderOutcome, type StartOrder } from "../owner/owner_ports.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { OwnerHarness } from "./owner_harness.ts";

/** An executor that carries out orders, and reports the end of each run in the next step. */
export class ExecutorFixture {
  /** The tasks that were started, in order. */
  readonly started: string[] = [];
  readonly #entry: ExecutorEntry;
  #endCount = 0;
  #running: StartOrder[] = [];
  #handledStarts = 0;

  private constructor(entry: ExecutorEntry) {
    this.#entry = entry;
  }

  /** Creates an executor without runs. */
  static create(entry: ExecutorEntry): ExecutorFixture {
    return new ExecutorFixture(entry);
  }

  /** Advances the owner by one step, in which the runs of earlier steps end. */
  advance({ owner, advance, starts }: OwnerHarness): void {
    const ended = this.#running.map(({ task, run }) => {
      this.#endCount += 1;
      return { number: this.#endCount, task, run, end: RunEnd.Done, checkpoint: "" };
    });
    this.#running = starts.slice(this.#handledStarts);
    this.#handledStarts = starts.length;
    this.started.push(...this.#running.map(({ task }) => task));
    const running = this.#running.map(({ task, run }) => ({
      task,
      run,
      checkpoint: "",
      percent: 0,
      usage: 0,
    }));
    const { id, born } = this.#entry;
    const report = { born, executorTime: 0, running, ended, hasAllEnds: true };
    advance(() => {
      for (const { task, run } of this.#running) {
        owner.handleStartAnswer(id, task, run, { outcome: OrderOutcome.Done, executorTime: 0 });
      }
      owner.handlePollAnswer(id, Infinity, {
        outcome: OrderOutcome.Done,
        acknowledged: this.#endCount,
        report,
      });
    });
  }

  /** Advances the owner until it starts nothing any more. */
  finish(owner: OwnerHarness): void {
    const getProgress = () => owner.starts.length + this.#running.length;
    for (let idle = 0; idle < 3;) {
      const before = getProgress();
      this.advance(owner);
      idle = getProgress() === before && this.#running.length === 0 ? idle + 1 : 0;
    }
  }

  /** Continues with the next owner, to which the runs of the earlier one are reported. */
  takeOver(): void {
    this.#handledStarts = 0;
  }
}
