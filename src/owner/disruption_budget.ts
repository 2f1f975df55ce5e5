/** The disruption budget of long-running tasks: how many of them planned actions may stop. */

import { type JobTask, TaskState } from "../fleet/job.ts";
import { RunStage } from "../fleet/run.ts";
import type { FleetState } from "./fleet_state.ts";

/** The progress in percent that a long-running task reports once it is available. */
const AVAILABLE_PERCENT = 100;

/** The maximum delay of the report of a run's end, in milliseconds: the wait of a long poll. */
const MAXIMUM_REPORT_DELAY_MILLISECONDS = 1_000;

/** Gets whether a long-running task is available: it reports so, and its executor answers. */
export function isAvailable(state: FleetState, task: JobTask): boolean {
  const { run } = task;
  if (task.state !== TaskState.Assigned || run === undefined) return false;
  const executor = state.executors.get(run.executorId);
  return run.stage === RunStage.Running && run.percent >= AVAILABLE_PERCENT &&
    executor !== undefined && executor.pollsFailingSince === undefined;
}

/**
 * Gets whether a task that an earlier owner ordered to stop may still be reported as available.
 *
 * Executors obey an earlier owner until they have seen the new fence, and a stop takes a while.
 */
function mayEarlierStopBePending(state: FleetState): boolean {
  const { stopMilliseconds } = state.limits;
  return state.fence > 1 &&
    state.now < state.startedAt + stopMilliseconds + MAXIMUM_REPORT_DELAY_MILLISECONDS;
}

/** Gets whether a planned action may stop a task: enough other tasks of its step are available. */
export function isDisruptionAllowed(state: FleetState, task: JobTask): boolean {
  const { step } = task;
  if (!step.specification.isLasting || step.specification.mostAway === 0) return true;
  if (mayEarlierStopBePending(state)) return false;
  const unavailable =
    step.tasks.filter((other) => other !== task && !isAvailable(state, other)).length;
  return unavailable < step.specification.mostAway;
}
