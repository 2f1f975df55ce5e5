/** Tells failing, slow and stalled executors from tasks that fail or take long by themselves. */

import type { AssignedRun, Executor } from "../fleet/executor.ts";
import type { JobTask } from "../fleet/job.ts";
import { RunStage } from "../fleet/run.ts";
import type { FleetState } from "./fleet_state.ts";
import type { RunControl } from "./run_control.ts";

/** The failures of late from which on an executor gets no starts for a while. */
const AVOIDED_SCORE = 2;
/** How long an executor that fails gets no starts, in milliseconds; then it is tried again. */
const AVOIDED_MILLISECONDS = 3_000;
/** The part of a pool that stays open, whatever fails. */
const OPEN_PART = 0.5;
/** What is left of an executor's failures after a task that is done there. */
const DONE_FACTOR = 0.7;
/** How much a new duration counts in an executor's slowness. */
const SLOWNESS_PART = 0.1;
/** How many times its expected duration a run takes before it may count as stalled. */
const STALLED_FACTOR = 2.5;
/** How long a run's progress must stand still for it to count as stalled, in milliseconds. */
const STANDSTILL_MILLISECONDS = 1_500;
/** How often a task is stopped for standing still; after that it may take its time. */
const MOST_STALLS = 3;

/** The judgement on executors by what their runs do. */
export class RunHealth {
  readonly #state: FleetState;
  readonly #runs: RunControl;

  private constructor(state: FleetState, runs: RunControl) {
    this.#state = state;
    this.#runs = runs;
  }

  /** Creates the judgement on a state. */
  static create(state: FleetState, runs: RunControl): RunHealth {
    return new RunHealth(state, runs);
  }

  /** Stops the runs that stand still, so that their tasks go elsewhere. */
  tick(): void {
    for (const executor of this.#state.executors.values()) {
      if (executor.failingSince !== undefined) continue;
      for (const assigned of executor.runs.values()) {
        if (this.#isStalled(executor, assigned)) this.#stopStalled(executor, assigned);
      }
    }
  }

  #isStalled(executor: Executor, { run, task }: AssignedRun): boolean {
    const state = this.#state;
    if (run.stage !== RunStage.Running || task.step.specification.isLasting) return false;
    if (task.step.specification.isGang || task.stalls >= MOST_STALLS) return false;
    const age = state.now - run.orderedAt;
    // Progress is known as of the last report only.
    const standstill = executor.polledAt - Math.max(run.progressedAt, run.orderedAt);
    return standstill > STANDSTILL_MILLISECONDS &&
      age > STALLED_FACTOR * state.durations.getDuration(task.step);
  }

  #stopStalled(executor: Executor, assigned: AssignedRun): void {
    assigned.task.stalls += 1;
    assigned.task.lastFailedOn = executor.id;
    countExecutorFailure(this.#state, executor);
    this.#runs.stop(executor, assigned, "it stands still");
  }
}

/** Counts a failure against an executor, unless the task has failed elsewhere too. */
export function countRunFailure(state: FleetState, executor: Executor, task: JobTask): void {
  const hasFailedElsewhere = task.lastFailedOn !== undefined && task.lastFailedOn !== executor.id;
  task.lastFailedOn = executor.id;
  if (!hasFailedElsewhere) countExecutorFailure(state, executor);
}

/** Takes account of a task that is done: the executor works, and this fast. */
export function countRunDone(executor: Executor, milliseconds: number, expected: number): void {
  executor.failureScore *= DONE_FACTOR;
  const slowness = milliseconds / Math.max(1, expected);
  executor.slowdown += (slowness - executor.slowdown) * SLOWNESS_PART;
}

function countExecutorFailure(state: FleetState, executor: Executor): void {
  executor.failureScore += 1;
  if (executor.failureScore < AVOIDED_SCORE || executor.avoidedUntil > state.now) return;
  const pool = [...state.getPool(executor.entry.service)];
  const open = pool.filter((other) => other !== executor && other.canStartTasks(state.now)).length;
  if (open < pool.length * OPEN_PART) return;
  executor.avoidedUntil = state.now + AVOIDED_MILLISECONDS;
  state.log("executor-avoided", {
    executor: executor.id,
    failures: Math.round(executor.failureScore * 10) / 10,
    open,
    pool: pool.length,
  });
}
