/** What executors were told to run and how it ended, and a check that no task is repeated. */

import { RunEnd } from "../../fleet/run.ts";
import type { ModelEnd, ModelRun } from "./executor_model.ts";

/** What happened to a run. */
export const RunEventKind = {
  Start: "start",
  End: "end",
  Acknowledgement: "acknowledgement",
  /** The executor's process ended, and the run or its end with it. */
  Loss: "loss",
} as const;
export type RunEventKind = typeof RunEventKind[keyof typeof RunEventKind];

/** An event of a run. */
export interface RunEvent {
  kind: RunEventKind;
  /** When it happened, in milliseconds on the history's clock. */
  at: number;
  /** The incarnation of the executor. */
  executor: string;
  /** The number of the run. */
  run: number;
  /** How the run ended, once it has. */
  end?: RunEnd;
  /** The number of the end, once it is acknowledged. */
  number?: number;
}

/** The runs of all tasks that are not speculative, with the events of each. */
export class RunHistory {
  /** The repetitions that were found, each with the events of its task. */
  readonly violations: string[] = [];
  readonly #getTime: () => number;
  readonly #events = new Map<string, RunEvent[]>();
  /** The incarnations that execute each task. */
  readonly #running = new Map<string, Set<string>>();

  private constructor(getTime: () => number) {
    this.#getTime = getTime;
  }

  /** Creates a history without runs, by default with a clock that starts at its creation. */
  static create(getTime = createClock()): RunHistory {
    return new RunHistory(getTime);
  }

  /** Records the start of a run: no other may be executing, nor may one be acknowledged as done. */
  addStart(executor: string, { task, run }: ModelRun): void {
    const isRepeated = this.#getEvents(task).some(isAcknowledgedAsDone);
    this.#add(task, { kind: RunEventKind.Start, at: this.#getTime(), executor, run });
    const executors = this.#running.get(task) ?? new Set();
    this.#running.set(task, executors);
    for (const other of executors) this.#report(task, `on ${other} and ${executor}`);
    if (isRepeated) this.#report(task, `on ${executor} after its end was acknowledged`);
    executors.add(executor);
  }

  /** Records the end of a run. */
  addEnd(executor: string, { task, run }: ModelRun, end: RunEnd): void {
    this.#running.get(task)?.delete(executor);
    this.#add(task, { kind: RunEventKind.End, at: this.#getTime(), executor, run, end });
  }

  /**
   * Records the acknowledgement of an end. It doesn't count once the executor's lease has expired
   * since the end.
   */
  addAcknowledgement(executor: string, ended: ModelEnd): void {
    if (ended.isLeaseExpiredSince) return;
    const { task, run, end, number } = ended;
    const events = this.#getEvents(task);
    const endedAt = events.findIndex((event) =>
      event.kind === RunEventKind.End && event.executor === executor && event.run === run
    );
    const isRepeated = end === RunEnd.Done &&
      events.slice(endedAt + 1).some(({ kind }) => kind === RunEventKind.Start);
    const kind = RunEventKind.Acknowledgement;
    this.#add(task, { kind, at: this.#getTime(), executor, run, end, number });
    if (isRepeated) this.#report(task, `after run ${run} had ended on ${executor}`);
  }

  /** Records the end of an executor's process with all of its runs. */
  addLoss(executor: string): void {
    for (const [task, executors] of this.#running) {
      if (!executors.delete(executor)) continue;
      const run = this.#getEvents(task).findLast((event) => event.executor === executor)!.run;
      this.#add(task, { kind: RunEventKind.Loss, at: this.#getTime(), executor, run });
    }
  }

  /** Gets whether a task was ever started. */
  isStarted(task: string): boolean {
    return this.#events.has(task);
  }

  /** Gets whether a run of a task has ended as done. */
  isDone(task: string): boolean {
    return this.#getEvents(task).some(({ end }) => end === RunEnd.Done);
  }

  /** Gets whether a task is executing on any executor. */
  isRunning(task: string): boolean {
    return (this.#running.get(task)?.size ?? 0) > 0;
  }

  #getEvents(task: string): RunEvent[] {
    return this.#events.get(task) ?? [];
  }

  #add(task: string, event: RunEvent): void {
    const events = this.#events.get(task);
    if (events === undefined) this.#events.set(task, [event]);
    else events.push(event);
  }

  #report(task: string, description: string): void {
    this.violations.push(
      [`${task} ${description}`, ...this.#getEvents(task).map(formatEvent)].join("\n  "),
    );
  }
}

function isAcknowledgedAsDone({ kind, end }: RunEvent): boolean {
  return kind === RunEventKind.Acknowledgement && end === RunEnd.Done;
}

function formatEvent({ kind, at, executor, run, end, number }: RunEvent): string {
  const details = [end, number === undefined ? undefined : `number ${number}`];
  return [`${Math.round(at)} ms: ${kind} of run ${run} on ${executor}`, ...details.filter(Boolean)]
    .join(", ");
}

function createClock(): () => number {
  const createdAt = performance.now();
  return () => performance.now() - createdAt;
}
