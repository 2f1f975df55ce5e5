/** How many tasks of a lasting step may be stopped on purpose. */

import { type JobTask, TaskState } from "../fleet/job.ts";
import { RunStage } from "../fleet/run.ts";

/** The percentage that a lasting task reports once it is at work. */
const AT_WORK_PERCENT = 100;

/** Gets whether a lasting task is at work. */
export function isAtWork(task: JobTask): boolean {
  return task.state === TaskState.Assigned && task.run !== undefined &&
    task.run.stage === RunStage.Running && task.run.percent >= AT_WORK_PERCENT;
}

/** Gets whether a task may be stopped on purpose while enough others of its step are at work. */
export function mayBeStopped(task: JobTask): boolean {
  const { step } = task;
  if (!step.specification.isLasting || step.specification.mostAway === 0) return true;
  const away = step.tasks.filter((other) => other !== task && !isAtWork(other)).length;
  return away < step.specification.mostAway;
}
