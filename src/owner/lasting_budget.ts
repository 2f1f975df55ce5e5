/** How many tasks of a lasting step may be stopped on purpose. */

import { type JobTask, TaskState } from "../fleet/job.ts";
import { RunStage } from "../fleet/run.ts";
import type { FleetState } from "./fleet_state.ts";

/** The percentage that a lasting task reports once it is at work. */
const AT_WORK_PERCENT = 100;

/** How long after an end its report comes at the latest, in milliseconds: the wait of a look. */
const REPORT_MILLISECONDS = 1_000;

/** Gets whether a lasting task is known to be at work, on an executor that answers. */
export function isAtWork(state: FleetState, task: JobTask): boolean {
  const { run } = task;
  if (task.state !== TaskState.Assigned || run === undefined) return false;
  const executor = state.executors.get(run.executorId);
  return run.stage === RunStage.Running && run.percent >= AT_WORK_PERCENT &&
    executor !== undefined && executor.failingSince === undefined;
}

/**
 * Gets whether a run that an earlier owner told to stop may still be listed as at work.
 *
 * The earlier owner's stops count until each executor has seen the new fence, and take a while.
 */
function mayEarlierStopBeUnderWay(state: FleetState): boolean {
  const { stopMilliseconds } = state.limits;
  return state.fence > 1 && state.now < state.startedAt + stopMilliseconds + REPORT_MILLISECONDS;
}

/** Gets whether a task may be stopped on purpose while enough others of its step are at work. */
export function mayBeStopped(state: FleetState, task: JobTask): boolean {
  const { step } = task;
  if (!step.specification.isLasting || step.specification.mostAway === 0) return true;
  if (mayEarlierStopBeUnderWay(state)) return false;
  const away = step.tasks.filter((other) => other !== task && !isAtWork(state, other)).length;
  return away < step.specification.mostAway;
}
