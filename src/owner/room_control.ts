/** Holds room for steps that don't fit now, and tells which other tasks may use it meanwhile. */

import { type Executor, getReservedDemand } from "../fleet/executor.ts";
import { type JobStep, type JobTask, TaskState } from "../fleet/job.ts";
import { getDominantShare, type Resources } from "../fleet/resources.ts";
import type { FleetState } from "./fleet_state.ts";
import { isEligible, type PlacementRules } from "./placement.ts";
import { type HeldRoom, type Reservation, ReservationBook } from "./reservation_book.ts";
import { RoomMetrics } from "./room_metrics.ts";
import {
  MAXIMUM_HOLD_MILLISECONDS,
  PLAN_INTERVAL_MILLISECONDS,
  RoomPlanner,
} from "./room_planner.ts";

/** How long a step does not reserve again after it held room empty in vain, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 2_000;
/** The same after a reservation that kept no other task from starting, in milliseconds. */
const IDLE_RETRY_DELAY_MILLISECONDS = 250;
/** The maximum number of executors that a log line lists. */
const MAXIMUM_LISTED_EXECUTORS = 8;
/** The share of an executor's scarcest resource from which a task counts as large. */
const LARGE_TASK_SHARE = 0.25;

/** Options of a `RoomControl`. */
export interface RoomControlOptions {
  state: FleetState;
  /** Gets whether a step may hold room. */
  mayReserve: (step: JobStep) => boolean;
  /** Gets the adviser's ticket, as for `DispatchControl`. */
  getTicket: (step: JobStep, executor: Executor) => string | undefined;
}

/** Decides about reservations. */
export class RoomControl {
  readonly #options: RoomControlOptions;
  readonly #book = ReservationBook.create();
  readonly #metrics: RoomMetrics;
  readonly #planner: RoomPlanner;
  /** Until when a step that gave up does not reserve again, on the monotonic clock. */
  readonly #retryAt = new WeakMap<JobStep, number>();
  /** Since when reservations have held back a step that would otherwise start. */
  readonly #heldBackSince = new WeakMap<JobStep, number>();
  /** The reservations that kept the present step from starting. */
  #blocking = new Set<Reservation>();
  /** The executors on which the present step's tasks were started. */
  #startedOn: Executor[] = [];
  #rules: PlacementRules = { evacuatedZones: new Set(), now: 0 };

  private constructor(options: RoomControlOptions) {
    this.#options = options;
    this.#metrics = RoomMetrics.create();
    const { state, getTicket } = options;
    this.#planner = RoomPlanner.create({ state, book: this.#book, getTicket });
  }

  /** Creates a control without reservations. */
  static create(options: RoomControlOptions): RoomControl {
    return new RoomControl(options);
  }

  /** Starts a pass: gives up the reservations that are void or have lasted too long. */
  beginPass(rules: PlacementRules): void {
    const { state } = this.#options;
    this.#rules = rules;
    this.#planner.beginPass(rules);
    this.#book.beginPass();
    for (const reservation of [...this.#book.getAll()]) {
      const { step, heldEmptySince } = reservation;
      if (!state.ready.has(step)) this.#giveUp(reservation, "step not ready");
      else if (state.getStartService(step.job) !== reservation.service) {
        this.#giveUp(reservation, "service changed");
      } else if (
        heldEmptySince !== undefined && state.now - heldEmptySince >= MAXIMUM_HOLD_MILLISECONDS
      ) this.#giveUp(reservation, "held too long");
    }
  }

  /** Ends a pass. */
  endPass(): void {
    this.#metrics.recordEmptyCpu(this.#options.state.now, this.#book.getEmptyCpu());
  }

  /** Gets whether steps of a service may reserve room in this pass. */
  mayReserveIn(service: string): boolean {
    return this.#planner.mayPlan(service);
  }

  /**
   * Gets whether a step takes a turn in a pass although it doesn't fit now: it holds room, or it is
   * large compared with the largest capacity, and steps of its service may reserve room.
   */
  hasTurn(step: JobStep, largest: Resources, mayReserve: boolean): boolean {
    if (mayReserve && isLarge(step, largest)) return true;
    return this.#book.get(step) !== undefined;
  }

  /** Gets when a task of a step would end if it started now, with a margin. */
  getEnd(step: JobStep): number {
    const { state } = this.#options;
    if (step.specification.isLasting) return Infinity;
    const { durationEstimator } = state;
    return state.now + durationEstimator.estimateMilliseconds(step) +
      durationEstimator.getSpreadMilliseconds(step);
  }

  /** Gets whether a step has been held back for so long that it uses any free room. */
  ignoresHeldRoom(step: JobStep): boolean {
    const since = this.#heldBackSince.get(step);
    return since !== undefined && this.#options.state.now - since >= MAXIMUM_HOLD_MILLISECONDS;
  }

  /** Gets whether reservations leave a task of a step room on an executor. */
  mayUse(step: JobStep, executor: Executor): boolean {
    const demand = getReservedDemand(step.tasks[0]!);
    const blocking = this.#book.findBlocking(executor, demand, this.getEnd(step));
    if (blocking === undefined || this.ignoresHeldRoom(step)) return true;
    if (
      executor.hasCapacityFor(demand) && isEligible(executor, step.tasks[0]!, this.#rules)
    ) this.#blocking.add(blocking);
    return false;
  }

  /** Gets whether the room on an executor that fits the present step is held for others. */
  isHeldBack(): boolean {
    return this.#blocking.size > 0;
  }

  /** Records that a step is held back by the reservations that held back an equal one. */
  recordHeldBack(step: JobStep): void {
    const { now } = this.#options.state;
    if (!this.#heldBackSince.has(step)) this.#heldBackSince.set(step, now);
  }

  /** Records the start of a task. */
  recordStart(task: JobTask, executor: Executor): void {
    const { state } = this.#options;
    const { step } = task;
    const demand = getReservedDemand(task);
    this.#book.recordStart(executor, step, demand, this.getEnd(step));
    this.#startedOn.push(executor);
    this.#heldBackSince.delete(step);
    const share = getDominantShare(demand, executor.entry.capacity);
    this.#metrics.recordStart(share >= LARGE_TASK_SHARE, state.now - step.readyAt);
  }

  /**
   * Ends a step's turn in a pass: updates its reservation, or makes one for what did not start. The
   * pool has the executors with the most free CPU first.
   */
  settle(step: JobStep, service: string, pool: readonly Executor[], largest: Resources): void {
    const { state } = this.#options;
    const reservation = this.#book.get(step);
    const startedOn = this.#startedOn;
    if (startedOn.length > 0) this.#startedOn = [];
    const mayReserve = reservation === undefined && isLarge(step, largest) &&
      this.#planner.mayPlan(service);
    if (reservation === undefined && !mayReserve && this.#blocking.size === 0) return;
    const waiting = state.ready.has(step)
      ? step.tasks.filter((task) => task.state === TaskState.Waiting)
      : [];
    if (waiting.length > 0 && this.#blocking.size > 0) {
      this.recordHeldBack(step);
      for (const blocking of this.#blocking) blocking.heldEmptySince ??= state.now;
    }
    this.#blocking.clear();
    if (reservation === undefined) {
      if (mayReserve && waiting.length > 0) this.#reserve(step, service, waiting, pool);
      return;
    }
    if (waiting.length === 0) return this.#recordUsed(reservation);
    if (startedOn.length > 0) this.#book.reduce(reservation, waiting.length, startedOn);
    if (!this.#options.mayReserve(step)) return this.#giveUp(reservation, "objective missed");
    if (this.#isOutdated(reservation)) this.#replan(reservation, waiting, pool);
    const current = this.#book.get(step);
    if (current !== undefined) this.#book.activate(current);
  }

  /** Gets the figures for the metrics. */
  getSummary(): Readonly<Record<string, number>> {
    return this.#metrics.getSummary(this.#book.size, this.#book.getEmptyCpu());
  }

  #reserve(
    step: JobStep,
    service: string,
    waiting: JobTask[],
    pool: readonly Executor[],
  ): void {
    const { state, mayReserve } = this.#options;
    if ((this.#retryAt.get(step) ?? -Infinity) > state.now || !mayReserve(step)) return;
    const planned = this.#planner.plan({ step, service, waiting, pool });
    if (planned === undefined) return;
    const { plan, rooms } = planned;
    const reservation: Reservation = {
      step,
      service,
      madeAt: state.now,
      plannedAt: state.now,
      heldEmptySince: undefined,
      rooms,
    };
    this.#book.set(reservation);
    this.#book.activate(reservation);
    this.#metrics.recordMade();
    state.log("room-reserved", {
      request: step.job.id,
      service,
      step: step.number,
      tasks: plan.starts.length,
      waiting: waiting.length,
      cpu: step.specification.demand.cpu,
      memory: step.specification.demand.memory,
      executors: formatExecutors(reservation.rooms),
      startsIn: Math.round(plan.starts.at(-1)!.at - state.now),
      otherwiseIn: plan.unheldAt === Infinity ? "unknown" : Math.round(plan.unheldAt - state.now),
      waited: Math.round(state.now - step.readyAt),
    });
  }

  /** Gets whether an executor can't be used any more, or room is late. */
  #isOutdated({ step, rooms, plannedAt }: Reservation): boolean {
    const { now } = this.#rules;
    if (rooms.size === 0) return true;
    for (const { executor, at } of rooms.values()) {
      const isLate = at < now && now - plannedAt >= PLAN_INTERVAL_MILLISECONDS;
      const isUsable = this.#planner.isUsable(executor, step.tasks[0]!);
      if (isLate || !isUsable) return true;
    }
    return false;
  }

  #replan(reservation: Reservation, waiting: JobTask[], pool: readonly Executor[]): void {
    const { state } = this.#options;
    const { step, service } = reservation;
    const planned = this.#planner.plan({ step, service, waiting, pool });
    if (planned === undefined) return this.#giveUp(reservation, "no room in time");
    this.#book.set({ ...reservation, rooms: planned.rooms, plannedAt: state.now });
  }

  #recordUsed(reservation: Reservation): void {
    const { state } = this.#options;
    this.#book.remove(reservation.step);
    this.#metrics.recordUsed();
    state.log("room-used", this.#describe(reservation));
  }

  #giveUp(reservation: Reservation, reason: string): void {
    const { state } = this.#options;
    this.#book.remove(reservation.step);
    const delay = reservation.heldEmptySince === undefined
      ? IDLE_RETRY_DELAY_MILLISECONDS
      : RETRY_DELAY_MILLISECONDS;
    this.#retryAt.set(reservation.step, state.now + delay);
    this.#metrics.recordGivenUp();
    state.log("room-given-up", { ...this.#describe(reservation), reason });
  }

  #describe({ step, service, madeAt, plannedAt, heldEmptySince, rooms }: Reservation) {
    const { now } = this.#options.state;
    return {
      request: step.job.id,
      service,
      step: step.number,
      executors: formatExecutors(rooms),
      age: Math.round(now - madeAt),
      planAge: Math.round(now - plannedAt),
      heldBack: heldEmptySince === undefined ? 0 : Math.round(now - heldEmptySince),
      waited: Math.round(now - step.readyAt),
    };
  }
}

function isLarge(step: JobStep, largest: Resources): boolean {
  return step.specification.isGang ||
    getDominantShare(getReservedDemand(step.tasks[0]!), largest) >= LARGE_TASK_SHARE;
}

function formatExecutors(rooms: ReadonlyMap<string, HeldRoom>): string {
  const ids = [...rooms.keys()];
  const listed = ids.slice(0, MAXIMUM_LISTED_EXECUTORS).join(" ");
  const others = ids.length - MAXIMUM_LISTED_EXECUTORS;
  return others > 0 ? `${listed} and ${others} more` : listed;
}
