/** Plans on which executors the waiting tasks of a step can start soonest. */

import { type Executor, getReservedDemand } from "../fleet/executor.ts";
import type { JobStep, JobTask } from "../fleet/job.ts";
import { fitsCapacity, NO_RESOURCES, type Resources } from "../fleet/resources.ts";
import type { RoomForecast } from "./room_forecast.ts";

/** The minimum time by which holding room must bring a start forward, in milliseconds. */
const MINIMUM_GAIN_MILLISECONDS = 25;

/** An executor on which a task is planned to start. */
export interface PlannedStart {
  executor: Executor;
  /** When there is expected to be room, on the monotonic clock. */
  at: number;
}

/** A plan for the waiting tasks of a step. */
export interface ReservationPlan {
  /** The planned starts, one for each task, in the order of time. */
  starts: readonly PlannedStart[];
  /** When the last of these tasks would start without held room; `Infinity` if not foreseen. */
  unheldAt: number;
}

/** Options of `planReservation`. */
export interface ReservationPlanOptions {
  /** The waiting tasks that may start. */
  tasks: readonly JobTask[];
  /** The executors on which they may start. */
  executors: readonly Executor[];
  /** Gets the forecast of an executor. */
  getForecast: (executor: Executor) => RoomForecast;
  /** Gets the room that is held for other steps on an executor. */
  getHeld: (executor: Executor) => Resources;
  /** The time after which no planned start counts, on the monotonic clock. */
  until: number;
}

/**
 * Plans the soonest starts of a step's tasks, those of a gang all at the same time and on one rack if
 * that is wanted and possible. Gets undefined if no room comes free in time, or if holding it brings
 * no start forward.
 */
export function planReservation(options: ReservationPlanOptions): ReservationPlan | undefined {
  const { step } = options.tasks[0]!;
  if (!step.specification.isGang) return planSingleTasks(options);
  if (step.specification.wantsSameRack) {
    const onRack = planOnRack(options);
    if (onRack !== undefined) return onRack;
  }
  return planGang(options, options.executors);
}

/** Plans the tasks of a gang on the rack that can take them soonest. */
function planOnRack(options: ReservationPlanOptions): ReservationPlan | undefined {
  // The last label of an executor is its rack.
  const racks = new Set(options.executors.map(({ entry }) => entry.labels.at(-1) ?? ""));
  let best: ReservationPlan | undefined;
  for (const rack of racks) {
    const onRack = options.executors.filter(({ entry }) => entry.labels.includes(rack));
    const plan = planGang(options, onRack);
    if (plan === undefined) continue;
    if (best === undefined || plan.starts[0]!.at < best.starts[0]!.at) best = plan;
  }
  return best;
}

function planGang(
  options: ReservationPlanOptions,
  executors: readonly Executor[],
): ReservationPlan | undefined {
  const count = options.tasks.length;
  const starts = getSoonestStarts(options, executors).slice(0, count);
  if (starts.length < count) return undefined;
  const { at } = starts.at(-1)!;
  return { starts: starts.map(({ executor }) => ({ executor, at })), unheldAt: Infinity };
}

function planSingleTasks(options: ReservationPlanOptions): ReservationPlan | undefined {
  const { tasks, executors, getForecast, until } = options;
  const demand = getReservedDemand(tasks[0]!);
  const unheld: number[] = [];
  for (const executor of executors) {
    unheld.push(...getForecast(executor).getUnheldStartTimes(demand, until));
  }
  unheld.sort((first, second) => first - second);
  const starts = getSoonestStarts(options, executors).slice(0, tasks.length);
  while (starts.length > 0) {
    const unheldAt = unheld[starts.length - 1] ?? Infinity;
    if (starts.at(-1)!.at + MINIMUM_GAIN_MILLISECONDS <= unheldAt) return { starts, unheldAt };
    starts.pop();
  }
  return undefined;
}

function getSoonestStarts(
  { tasks, getForecast, getHeld, until }: ReservationPlanOptions,
  executors: readonly Executor[],
): PlannedStart[] {
  const demand = getReservedDemand(tasks[0]!);
  const { step } = tasks[0]!;
  const starts = executors.flatMap((executor) => {
    if (!fitsCapacity(NO_RESOURCES, demand, executor.entry.capacity)) return [];
    const most = Math.min(tasks.length, getMostOn(step, executor));
    const times = getForecast(executor).getStartTimes({
      demand,
      most,
      until,
      held: getHeld(executor),
    });
    return times.map((at) => ({ executor, at }));
  });
  return starts.sort((first, second) => first.at - second.at);
}

/** Gets how many more tasks of a step may run on an executor. */
function getMostOn(step: JobStep, executor: Executor): number {
  const { mostPerExecutor } = step.specification;
  if (mostPerExecutor === 0) return Infinity;
  return mostPerExecutor - (step.runsByExecutor.get(executor.id) ?? 0);
}
