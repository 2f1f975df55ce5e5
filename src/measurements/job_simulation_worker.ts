/** A worker of a virtual run: it may restart, be cut off and show the faults of its model. */

import type { WorkerCall, WorkerResult } from "../jobs/worker_protocol.ts";
import { type MayStart, WorkerFault, WorkerModel } from "../stand_ins/worker_model.ts";
import type { JobSimulation } from "./job_simulation.ts";

/** How long a call waits for its answer. */
const CALL_TIMEOUT_MILLISECONDS = 2_000;

/** How long after a zone was taken out a start in it is a broken promise. */
const ZONE_OUT_BOUND_MILLISECONDS = 6_000;

/** Options of a `JobRunWorker`. */
export interface JobSimulationWorkerOptions {
  /** The run. */
  run: JobSimulation;
  /** The name of the worker. */
  worker: string;
  /** The zone. */
  zone: string;
  /** The fence. */
  mayStart: MayStart;
}

/** Owns the model of one worker, and the runs of the processes that it replaced. */
export class JobSimulationWorker {
  readonly #options: JobSimulationWorkerOptions;
  readonly #runs = new Map<string, number>();
  #model: WorkerModel;
  #processes = 0;
  #cutUntil = 0;

  private constructor(options: JobSimulationWorkerOptions) {
    this.#options = options;
    this.#model = this.#createModel();
  }

  /** Creates the worker. */
  static create(options: JobSimulationWorkerOptions): JobSimulationWorker {
    return new JobSimulationWorker(options);
  }

  /** Replaces the process: all that ran is gone. */
  restart(): void {
    for (const [key, count] of this.getRuns()) this.#runs.set(key, count);
    this.#model = this.#createModel();
  }

  /** Cuts the worker off until a time. */
  disconnectUntil(milliseconds: number): void {
    this.#cutUntil = milliseconds;
  }

  /** Orders a fault. */
  setFault(fault: WorkerFault): void {
    this.#model.setFault(fault);
  }

  /** Gets the model of the process that runs now. */
  getModel(): WorkerModel {
    return this.#model;
  }

  /** Gets how often each attempt was run, by task id and attempt number. */
  getRuns(): Map<string, number> {
    const runs = new Map(this.#runs);
    if (this.#model === undefined) return runs;
    for (const [key, count] of this.#model.getRunCounts()) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
    return runs;
  }

  /** Takes a call over the network, which may lose or delay it and its answer. */
  call(call: WorkerCall, reply: (result: WorkerResult) => void): void {
    const { run } = this.#options;
    const { schedule } = run;
    let isOver = false;
    const settle = (result: WorkerResult) => {
      if (!isOver) reply(result);
      isOver = true;
    };
    schedule.add(
      CALL_TIMEOUT_MILLISECONDS,
      () => settle({ outcome: "failed", reason: "no answer in time" }),
    );
    if (!run.isNetworkReliable && run.draw(0, 19) === 0) return;
    const isLate = !run.isNetworkReliable && run.draw(0, 49) === 0;
    schedule.add(isLate ? run.draw(5_000, 40_000) : this.#drawDelay(), () => {
      if (schedule.getNow() < this.#cutUntil) return;
      const answer = this.#handle(call, isLate);
      const isLost = this.#model.getFault() === WorkerFault.LoseAnswers ||
        (!run.isNetworkReliable && run.draw(0, 9) === 0);
      if (isLost) return;
      schedule.add(this.#drawDelay(), () => settle({ outcome: "answered", answer }));
    });
  }

  /** Handles a call; a late one stands for a sender that was paused between decision and sending. */
  #handle(call: WorkerCall, isLate: boolean) {
    const now = this.#options.run.schedule.getNow();
    const before = countRuns(this.#model);
    const answer = this.#model.handle(call, now);
    if (countRuns(this.#model) === before || call.kind !== "start") return answer;
    const { firstRunTimes: firstRuns } = this.#options.run;
    if (!firstRuns.has(call.taskId)) firstRuns.set(call.taskId, now);
    if (!isLate) this.#checkZone(now);
    return answer;
  }

  #checkZone(now: number): void {
    const { run, zone } = this.#options;
    const outAt = run.getZoneOutAt(zone);
    if (outAt !== undefined && now - outAt > ZONE_OUT_BOUND_MILLISECONDS) {
      run.log.addViolation("a task was started in a zone seconds after it was taken out");
    }
  }

  #drawDelay(): number {
    const { run } = this.#options;
    if (run.isNetworkReliable) return 2;
    return run.draw(0, 19) === 0 ? run.draw(100, 1_500) : run.draw(2, 20);
  }

  #createModel(): WorkerModel {
    this.#processes += 1;
    const { worker, mayStart } = this.#options;
    return WorkerModel.create({
      incarnation: `${worker}-${this.#processes}`,
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
