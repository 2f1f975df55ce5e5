/** Worker of a job simulation: can be restarted, disconnected and given the faults of `WorkerModel`. */

import type { WorkerCall, WorkerResult } from "../jobs/worker_protocol.ts";
import { type MayStart, WorkerFault, WorkerModel } from "../stand_ins/worker_model.ts";
import type { JobSimulation } from "./job_simulation.ts";

/** Timeout of a call. */
const CALL_TIMEOUT_MILLISECONDS = 2_000;

/** How long after a zone was taken out starts in it may still occur. */
const MAXIMUM_START_LAG_MILLISECONDS = 6_000;

/** Options for `JobSimulationWorker`. */
export interface JobSimulationWorkerOptions {
  /** The simulation. */
  run: JobSimulation;
  /** Name of the worker. */
  worker: string;
  /** Zone of the worker. */
  zone: string;
  /** Fence: decides whether an attempt may start. */
  mayStart: MayStart;
}

/** Owns the model of one worker, and the run counts of its former processes. */
export class JobSimulationWorker {
  readonly #options: JobSimulationWorkerOptions;
  readonly #formerRuns = new Map<string, number>();
  #model: WorkerModel;
  #processCount = 0;
  #disconnectedUntil = 0;

  private constructor(options: JobSimulationWorkerOptions) {
    this.#options = options;
    this.#model = this.#createModel();
  }

  /** Creates the worker. */
  static create(options: JobSimulationWorkerOptions): JobSimulationWorker {
    return new JobSimulationWorker(options);
  }

  /** Replaces the process; running tasks are lost. */
  restart(): void {
    for (const [key, count] of this.getRuns()) this.#formerRuns.set(key, count);
    this.#model = this.#createModel();
  }

  /** Disconnects the worker until a time. */
  disconnectUntil(milliseconds: number): void {
    this.#disconnectedUntil = milliseconds;
  }

  /** Injects a fault. */
  setFault(fault: WorkerFault): void {
    this.#model.setFault(fault);
  }

  /** Gets the model of the current process. */
  getModel(): WorkerModel {
    return this.#model;
  }

  /** Gets the number of runs of each attempt, by task id and attempt number. */
  getRuns(): Map<string, number> {
    const runs = new Map(this.#formerRuns);
    if (this.#model === undefined) return runs;
    for (const [key, count] of this.#model.getRunCounts()) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
    return runs;
  }

  /** Handles a call over a network that may lose or delay the call and its answer. */
  call(call: WorkerCall, reply: (result: WorkerResult) => void): void {
    const { run } = this.#options;
    const { schedule } = run;
    let isDone = false;
    const complete = (result: WorkerResult) => {
      if (!isDone) reply(result);
      isDone = true;
    };
    schedule.add(
      CALL_TIMEOUT_MILLISECONDS,
      () => complete({ outcome: "failed", reason: "no answer in time" }),
    );
    if (!run.isNetworkReliable && run.draw(0, 19) === 0) return;
    const isLate = !run.isNetworkReliable && run.draw(0, 49) === 0;
    schedule.add(isLate ? run.draw(5_000, 40_000) : this.#drawDelay(), () => {
      if (schedule.getNow() < this.#disconnectedUntil) return;
      const answer = this.#handle(call, isLate);
      const isLost = this.#model.getFault() === WorkerFault.LoseAnswers ||
        (!run.isNetworkReliable && run.draw(0, 9) === 0);
      if (isLost) return;
      schedule.add(this.#drawDelay(), () => complete({ outcome: "answered", answer }));
    });
  }

  /** Handles a call; a late one models a sender that was paused between its decision and the send. */
  #handle(call: WorkerCall, isLate: boolean) {
    const now = this.#options.run.schedule.getNow();
    const before = countRuns(this.#model);
    const answer = this.#model.handle(call, now);
    if (countRuns(this.#model) === before || call.kind !== "start") return answer;
    const { firstRunTimes } = this.#options.run;
    if (!firstRunTimes.has(call.taskId)) firstRunTimes.set(call.taskId, now);
    if (!isLate) this.#checkZone(now);
    return answer;
  }

  #checkZone(now: number): void {
    const { run, zone } = this.#options;
    const outAt = run.getZoneOutAt(zone);
    if (outAt !== undefined && now - outAt > MAXIMUM_START_LAG_MILLISECONDS) {
      run.log.addViolation("a task was started in a zone seconds after it was taken out");
    }
  }

  #drawDelay(): number {
    const { run } = this.#options;
    if (run.isNetworkReliable) return 2;
    return run.draw(0, 19) === 0 ? run.draw(100, 1_500) : run.draw(2, 20);
  }

  #createModel(): WorkerModel {
    this.#processCount += 1;
    const { worker, mayStart } = this.#options;
    return WorkerModel.create({
      incarnation: `${worker}-${this.#processCount}`,
      usageLagMilliseconds: 1_000,
      checkpointMilliseconds: 60_000,
      mayStart,
    });
  }
}

function countRuns(model: WorkerModel): number {
  let sum = 0;
  for (const count of model.getRunCounts().values()) sum += count;
  return sum;
}
