/** Decides what to do when the tasks on a worker exceed their reservations or their run time. */

import type { TaskSize } from "./task_size.ts";

/** The multiple of its expected run time after which a task is stopped. */
export const MAXIMUM_RUN_RATIO = 10;

/** The run time below which no task is stopped, however short its expected run time. */
export const MINIMUM_RUN_LIMIT_MILLISECONDS = 60_000;

/** The actions against an overrun. */
export const OverrunAction = {
  /** Limits the task's cores to its reservation. */
  Throttle: "throttle",
  /** Checkpoints the task and resumes it on a worker with enough free capacity. */
  Move: "move",
  /** Stops the task for good. */
  Stop: "stop",
} as const;

/** One of the actions against an overrun. */
export type OverrunAction = (typeof OverrunAction)[keyof typeof OverrunAction];

/** A running task, as last reported by its worker. */
export interface ReportedTask {
  /** The id of the task. */
  taskId: string;
  /** Whether it may run more than once, and so may move to another worker. */
  isIdempotent: boolean;
  /** The resources reserved for it. */
  reserved: TaskSize;
  /** Its expected run time: the larger of the declared and the estimated one. */
  expectedRunMilliseconds: number;
  /** The number of cores in use. */
  cores: number;
  /** The memory in use, in gigabytes. */
  memoryGigabytes: number;
  /** Its run time so far. */
  runMilliseconds: number;
  /** Whether its cores are limited already. */
  isThrottled: boolean;
}

/** The action on one task. */
export interface OverrunDecision {
  /** The id of the task. */
  taskId: string;
  action: OverrunAction;
}

/** Decides the actions on one worker; all reports must be newer than the last action on it. */
export function decideOverruns(
  tasks: readonly ReportedTask[],
  capacity: TaskSize,
): OverrunDecision[] {
  const overdue = tasks.filter(isOverdue);
  const decisions: OverrunDecision[] = overdue.map((task) => ({
    taskId: task.taskId,
    action: OverrunAction.Stop,
  }));
  const others = tasks.filter((task) => !overdue.includes(task));
  const move = chooseMove(others, capacity.memoryGigabytes);
  if (move !== undefined) decisions.push({ taskId: move.taskId, action: OverrunAction.Move });
  const staying = others.filter((task) => task !== move);
  const throttle = chooseThrottle(staying, capacity.cores);
  if (throttle !== undefined) {
    decisions.push({ taskId: throttle.taskId, action: OverrunAction.Throttle });
  }
  return decisions;
}

function isOverdue(task: ReportedTask): boolean {
  const limit = Math.max(
    MINIMUM_RUN_LIMIT_MILLISECONDS,
    task.expectedRunMilliseconds * MAXIMUM_RUN_RATIO,
  );
  return task.runMilliseconds > limit;
}

/** Memory can't be limited without losing work: the task with the largest excess moves away. */
function chooseMove(tasks: readonly ReportedTask[], capacity: number): ReportedTask | undefined {
  const used = tasks.reduce((sum, task) => sum + task.memoryGigabytes, 0);
  if (used <= capacity) return undefined;
  const getExcess = (task: ReportedTask) => task.memoryGigabytes - task.reserved.memoryGigabytes;
  const movable = tasks.filter((task) => task.isIdempotent);
  return movable.sort((first, second) => getExcess(second) - getExcess(first))[0];
}

/** Cores can be limited: the task with the largest excess is throttled to its reservation. */
function chooseThrottle(
  tasks: readonly ReportedTask[],
  capacity: number,
): ReportedTask | undefined {
  const used = tasks.reduce((sum, task) => sum + task.cores, 0);
  if (used <= capacity) return undefined;
  const getExcess = (task: ReportedTask) => task.cores - task.reserved.cores;
  const over = tasks.filter((task) => !task.isThrottled && getExcess(task) > 0);
  return over.sort((first, second) => getExcess(second) - getExcess(first))[0];
}
