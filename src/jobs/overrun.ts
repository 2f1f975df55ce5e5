/** What is done when the tasks on a worker use more than they reserved, or run far too long. */

import type { TaskSize } from "./task_size.ts";

/** How many times longer than expected a task may run before it is stopped. */
export const MAXIMUM_RUN_RATIO = 10;

/** The shortest run time after which any task is stopped. */
export const MINIMUM_RUN_LIMIT_MILLISECONDS = 60_000;

/** What is done about an overrun. */
export const OverrunAction = {
  /** Its cores are bounded to what it reserved. */
  Throttle: "throttle",
  /** It is checkpointed, and goes on where there is room for it. */
  Move: "move",
  /** It is stopped for good. */
  Stop: "stop",
} as const;

/** One of the actions about an overrun. */
export type OverrunAction = (typeof OverrunAction)[keyof typeof OverrunAction];

/** A running task as its worker last reported it. */
export interface ReportedTask {
  /** The id of the task. */
  taskId: string;
  /** Whether it may be checkpointed and go on elsewhere. */
  isIdempotent: boolean;
  /** What is reserved for it. */
  reserved: TaskSize;
  /** How long it is expected to run: the larger of declared and learned. */
  expectedRunMilliseconds: number;
  /** The cores in use. */
  cores: number;
  /** The memory in use, in gigabytes. */
  memoryGigabytes: number;
  /** How long it has run. */
  runMilliseconds: number;
  /** Whether its cores are bounded already. */
  isThrottled: boolean;
}

/** What is done to one task. */
export interface OverrunDecision {
  /** The id of the task. */
  taskId: string;
  /** The action. */
  action: OverrunAction;
}

/** Decides what is done on one worker, whose reports are all newer than the last action on it. */
export function decideOverruns(
  tasks: readonly ReportedTask[],
  capacity: TaskSize,
): OverrunDecision[] {
  const tooLong = tasks.filter(isTooLong);
  const decisions: OverrunDecision[] = tooLong.map((task) => ({
    taskId: task.taskId,
    action: OverrunAction.Stop,
  }));
  const others = tasks.filter((task) => !tooLong.includes(task));
  const move = chooseMove(others, capacity.memoryGigabytes);
  if (move !== undefined) decisions.push({ taskId: move.taskId, action: OverrunAction.Move });
  const staying = others.filter((task) => task !== move);
  const throttle = chooseThrottle(staying, capacity.cores);
  if (throttle !== undefined) {
    decisions.push({ taskId: throttle.taskId, action: OverrunAction.Throttle });
  }
  return decisions;
}

function isTooLong(task: ReportedTask): boolean {
  const bound = Math.max(
    MINIMUM_RUN_LIMIT_MILLISECONDS,
    task.expectedRunMilliseconds * MAXIMUM_RUN_RATIO,
  );
  return task.runMilliseconds > bound;
}

/** Memory can't be bounded without a loss: the task that is furthest over moves to a larger room. */
function chooseMove(tasks: readonly ReportedTask[], capacity: number): ReportedTask | undefined {
  const used = tasks.reduce((sum, task) => sum + task.memoryGigabytes, 0);
  if (used <= capacity) return undefined;
  const getExcess = (task: ReportedTask) => task.memoryGigabytes - task.reserved.memoryGigabytes;
  const movable = tasks.filter((task) => task.isIdempotent);
  return movable.sort((first, second) => getExcess(second) - getExcess(first))[0];
}

/** Cores can be bounded: the task that is furthest over gets what it reserved. */
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
