/** Tells failing, slow or stalled executors apart from tasks that fail or are slow anywhere. */

import type { AssignedRun, Executor } from "../fleet/executor.ts";
import type { JobTask } from "../fleet/job.ts";
import { RunStage } from "../fleet/run.ts";
import type { FleetState } from "./fleet_state.ts";
import type { RunControl } from "./run_control.ts";

/** The failure score from which an executor gets no starts for a while. */
const AVOIDED_FAILURE_SCORE = 2;
/** How long a failing executor gets no starts before it is tried again, in milliseconds. */
const AVOIDED_MILLISECONDS = 3_000;
/** The minimum fraction of a pool that keeps getting starts, whatever fails. */
const MINIMUM_OPEN_FRACTION = 0.5;
/** The factor that a completed task applies to its executor's failure score. */
const SUCCESS_FACTOR = 0.7;
/** The weight of a new duration in an executor's average slowdown. */
const SLOWDOWN_WEIGHT = 0.1;
/** How many times its expected duration a run must take before it can count as stalled. */
const STALL_DURATION_FACTOR = 2.5;
/** How long a run must make no progress before it can count as stalled, in milliseconds. */
const NO_PROGRESS_MILLISECONDS = 1_500;
/** The maximum number of times that a task is stopped as stalled; after that it is left running. */
const MAXIMUM_STALLS = 3;

/** Detects stalled runs and keeps the failure scores of executors. */
export class RunHealth {
  readonly #state: FleetState;
  readonly #runs: RunControl;

  private constructor(state: FleetState, runs: RunControl) {
    this.#state = state;
    this.#runs = runs;
  }

  /** Creates the health checks of a state's runs. */
  static create(state: FleetState, runs: RunControl): RunHealth {
    return new RunHealth(state, runs);
  }

  /** Stops stalled runs, so that their tasks start on other executors. */
  tick(): void {
    for (const executor of this.#state.executors.values()) {
      if (executor.pollsFailingSince !== undefined) continue;
      for (const assigned of executor.runs.values()) {
        if (this.#isStalled(executor, assigned)) this.#stopStalled(executor, assigned);
      }
    }
  }

  #isStalled(executor: Executor, { run, task }: AssignedRun): boolean {
    const state = this.#state;
    if (run.stage !== RunStage.Running || task.step.specification.isLasting) return false;
    if (task.step.specification.isGang || task.stalls >= MAXIMUM_STALLS) return false;
    const age = state.now - run.orderedAt;
    // Progress is known only up to the last report.
    const noProgress = executor.polledAt - Math.max(run.progressedAt, run.orderedAt);
    return noProgress > NO_PROGRESS_MILLISECONDS &&
      age > STALL_DURATION_FACTOR * state.durationEstimator.estimateMilliseconds(task.step);
  }

  #stopStalled(executor: Executor, assigned: AssignedRun): void {
    assigned.task.stalls += 1;
    assigned.task.lastFailedOn = executor.id;
    countExecutorFailure(this.#state, executor);
    this.#runs.stop(executor, assigned, "no progress");
  }
}

/** Counts a failed run against its executor, unless the task has also failed on another one. */
export function recordRunFailure(state: FleetState, executor: Executor, task: JobTask): void {
  const hasFailedElsewhere = task.lastFailedOn !== undefined && task.lastFailedOn !== executor.id;
  task.lastFailedOn = executor.id;
  if (!hasFailedElsewhere) countExecutorFailure(state, executor);
}

/** Lowers an executor's failure score after a completed task, and updates its average slowdown. */
export function recordRunSuccess(executor: Executor, milliseconds: number, expected: number): void {
  executor.failureScore *= SUCCESS_FACTOR;
  const slowdown = milliseconds / Math.max(1, expected);
  executor.slowdown += (slowdown - executor.slowdown) * SLOWDOWN_WEIGHT;
}

function countExecutorFailure(state: FleetState, executor: Executor): void {
  executor.failureScore += 1;
  if (executor.failureScore < AVOIDED_FAILURE_SCORE || executor.avoidedUntil > state.now) return;
  const pool = [...state.getExecutorsOf(executor.entry.service)];
  const open = pool.filter((other) => other !== executor && other.canStartTasks(state.now)).length;
  if (open < pool.length * MINIMUM_OPEN_FRACTION) return;
  executor.avoidedUntil = state.now + AVOIDED_MILLISECONDS;
  state.log("executor-avoided", {
    executor: executor.id,
    failures: Math.round(executor.failureScore * 10) / 10,
    open,
    pool: pool.length,
  });
}
