/** Plans which room steps hold, within the limits on what a service may hold. */

import { type Executor, getReservedDemand } from "../fleet/executor.ts";
import type { JobStep, JobTask } from "../fleet/job.ts";
import { addResources, NO_RESOURCES } from "../fleet/resources.ts";
import { countUnderCeiling } from "./customer_ceiling.ts";
import type { FleetState } from "./fleet_state.ts";
import { isEligible, isPenalized, type PlacementRules } from "./placement.ts";
import type { HeldRoom, ReservationBook } from "./reservation_book.ts";
import { planReservation, type ReservationPlan } from "./reservation_planner.ts";
import { createEndExpectation, RoomForecast } from "./room_forecast.ts";

/** The maximum number of steps of a service that hold room at a time. */
const MAXIMUM_RESERVATIONS = 4;
/** The maximum fraction of a service's executors on which room is held. */
const MAXIMUM_HELD_FRACTION = 0.25;
/** The maximum number of plans for a service in a pass. */
const MAXIMUM_PLANS = 4;
/** The maximum number of executors that a plan considers: those with the most free CPU. */
const MAXIMUM_PLANNED_EXECUTORS = 64;
/** The minimum interval between the passes that plan for a service, in milliseconds. */
export const PLAN_INTERVAL_MILLISECONDS = 25;
/**
 * How long a step may hold room empty, and how long reservations may hold back a step, in
 * milliseconds.
 */
export const MAXIMUM_HOLD_MILLISECONDS = 1_000;

/** Options of a `RoomPlanner`. */
export interface RoomPlannerOptions {
  state: FleetState;
  /** The reservations. */
  book: ReservationBook;
  /** Gets the adviser's ticket, as for `DispatchControl`. */
  getTicket: (step: JobStep, executor: Executor) => string | undefined;
}

/** Options of `plan`. */
export interface PlanOptions {
  step: JobStep;
  service: string;
  /** The tasks of the step that wait. */
  waiting: readonly JobTask[];
  /** The executors of the service, those with the most free CPU first. */
  pool: readonly Executor[];
}

/** A plan, with the room to hold for it by executor id. */
export interface PlannedRooms {
  plan: ReservationPlan;
  rooms: Map<string, HeldRoom>;
}

/** The planning of a service's reservations. */
interface ServicePlanning {
  /** When a pass last planned, on the monotonic clock. */
  plannedAt: number;
  /** The number of plans of that pass. */
  plans: number;
}

/** Plans reservations from the forecasts of executors. */
export class RoomPlanner {
  readonly #options: RoomPlannerOptions;
  readonly #planning = new Map<string, ServicePlanning>();
  /** The forecasts of this pass, by executor. */
  #forecasts = new Map<Executor, RoomForecast>();
  #rules: PlacementRules = { evacuatedZones: new Set(), now: 0 };

  private constructor(options: RoomPlannerOptions) {
    this.#options = options;
  }

  /** Creates a planner that has planned nothing yet. */
  static create(options: RoomPlannerOptions): RoomPlanner {
    return new RoomPlanner(options);
  }

  /** Starts a pass, which makes new forecasts. */
  beginPass(rules: PlacementRules): void {
    this.#rules = rules;
    this.#forecasts = new Map();
  }

  /** Gets whether another step of a service may reserve room in this pass. */
  mayPlan(service: string): boolean {
    const { now } = this.#options.state;
    const planning = this.#planning.get(service);
    if (planning === undefined) return true;
    const isDue = now - planning.plannedAt >= PLAN_INTERVAL_MILLISECONDS ||
      (planning.plannedAt === now && planning.plans < MAXIMUM_PLANS);
    return isDue && this.#options.book.countOf(service) < MAXIMUM_RESERVATIONS;
  }

  /** Gets whether room may be held for a task on an executor: its host is not about to leave. */
  isUsable(executor: Executor, task: JobTask): boolean {
    return this.#options.state.executors.get(executor.id) === executor &&
      !executor.hasPendingMaintenance && isEligible(executor, task, this.#rules);
  }

  /**
   * Plans where the waiting tasks of a step start soonest. Gets undefined if no room comes free in
   * time, if holding it brings no start forward, or if too many executors would hold room.
   */
  plan({ step, service, waiting, pool }: PlanOptions): PlannedRooms | undefined {
    const { state, book } = this.#options;
    const { isGang } = step.specification;
    const most = Math.max(1, Math.floor(pool.length * MAXIMUM_HELD_FRACTION));
    const wanted = isGang ? waiting.length : Math.min(waiting.length, most);
    const count = countUnderCeiling(state, waiting[0]!, wanted);
    if (count === 0 || (isGang && count < step.tasks.length)) return undefined;
    this.#countPlan(service);
    const tasks = waiting.slice(0, count);
    const limit = Math.max(MAXIMUM_PLANNED_EXECUTORS, 2 * count);
    const plan = planReservation({
      tasks,
      executors: this.#getExecutors(step, pool, limit),
      getForecast: (executor) => this.#getForecast(executor),
      getHeld: (executor) => book.getHeld(executor, step),
      until: state.now + MAXIMUM_HOLD_MILLISECONDS,
    });
    if (plan === undefined) return undefined;
    const held = new Set(plan.starts.map(({ executor }) => executor.id));
    for (const other of book.getAll()) {
      if (other.service !== service || other.step === step) continue;
      for (const id of other.rooms.keys()) held.add(id);
    }
    if (held.size > Math.max(most, plan.starts.length)) return undefined;
    return { plan, rooms: this.#createRooms(step, plan) };
  }

  #countPlan(service: string): void {
    const { now } = this.#options.state;
    const planning = this.#planning.get(service);
    if (planning?.plannedAt === now) planning.plans += 1;
    else this.#planning.set(service, { plannedAt: now, plans: 1 });
  }

  /** Gets the first executors of a pool on which room may be held for a step, up to a limit. */
  #getExecutors(step: JobStep, pool: readonly Executor[], limit: number): Executor[] {
    const { getTicket } = this.#options;
    const task = step.tasks[0]!;
    const { rack } = step.specification;
    const executors: Executor[] = [];
    for (const executor of pool) {
      if (executors.length >= limit) break;
      if (!this.isUsable(executor, task) || isPenalized(executor, task)) continue;
      if (rack !== undefined && !executor.entry.labels.includes(rack)) continue;
      if (getTicket(step, executor) !== undefined) executors.push(executor);
    }
    return executors;
  }

  #createRooms(step: JobStep, plan: ReservationPlan): Map<string, HeldRoom> {
    const demand = getReservedDemand(step.tasks[0]!);
    const rooms = new Map<string, HeldRoom>();
    for (const { executor, at } of plan.starts) {
      const room = rooms.get(executor.id) ??
        { executor, count: 0, demand: { ...NO_RESOURCES }, at, spare: { ...NO_RESOURCES } };
      room.count += 1;
      room.at = Math.max(room.at, at);
      addResources(room.demand, demand);
      rooms.set(executor.id, room);
    }
    for (const room of rooms.values()) {
      room.spare = this.#getForecast(room.executor).getFreeAt(room.at);
      addResources(room.spare, this.#options.book.getHeld(room.executor, step), -1);
      addResources(room.spare, room.demand, -1);
    }
    return rooms;
  }

  #getForecast(executor: Executor): RoomForecast {
    let forecast = this.#forecasts.get(executor);
    if (forecast === undefined) {
      const { state } = this.#options;
      forecast = RoomForecast.create(executor, state.now, createEndExpectation(state));
      this.#forecasts.set(executor, forecast);
    }
    return forecast;
  }
}
