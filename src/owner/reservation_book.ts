/** Records which steps hold which room until when. */

import type { Executor } from "../fleet/executor.ts";
import type { JobStep } from "../fleet/job.ts";
import { addResources, fitsCapacity, NO_RESOURCES, type Resources } from "../fleet/resources.ts";

/** Room on an executor that is held for tasks of a step. */
export interface HeldRoom {
  executor: Executor;
  /** The number of tasks. */
  count: number;
  /** The demand of all of them. */
  demand: Resources;
  /** When there is expected to be room for them, on the monotonic clock. */
  at: number;
  /** What is expected to be free beside them at that time, less what was started meanwhile. */
  spare: Resources;
}

/** The room that a step holds. */
export interface Reservation {
  readonly step: JobStep;
  readonly service: string;
  /** When it was made, on the monotonic clock. */
  readonly madeAt: number;
  /** When it was last planned, on the monotonic clock. */
  plannedAt: number;
  /** Since when it has kept a task from starting, on the monotonic clock; undefined if it has not. */
  heldEmptySince: number | undefined;
  /** The held room by executor id. */
  readonly rooms: Map<string, HeldRoom>;
}

/**
 * The reservations of all services. A reservation counts from the turn of its step on in each pass:
 * steps that come before it in rank order don't see it.
 */
export class ReservationBook {
  readonly #reservations = new Map<JobStep, Reservation>();
  /** The reservations that count in this pass, by executor id. */
  readonly #active = new Map<string, Reservation[]>();

  private constructor() {}

  /** Creates a book without reservations. */
  static create(): ReservationBook {
    return new ReservationBook();
  }

  /** Gets the number of reservations. */
  get size(): number {
    return this.#reservations.size;
  }

  /** Starts a pass, in which no reservation counts yet. */
  beginPass(): void {
    this.#active.clear();
  }

  /** Gets a step's reservation. */
  get(step: JobStep): Reservation | undefined {
    return this.#reservations.get(step);
  }

  /** Gets all reservations. */
  getAll(): Iterable<Reservation> {
    return this.#reservations.values();
  }

  /** Counts the reservations of a service. */
  countOf(service: string): number {
    let count = 0;
    for (const reservation of this.#reservations.values()) {
      if (reservation.service === service) count += 1;
    }
    return count;
  }

  /** Adds a reservation, or replaces that of the same step. */
  set(reservation: Reservation): void {
    this.#reservations.set(reservation.step, reservation);
  }

  /** Makes a reservation count for the rest of the pass. */
  activate(reservation: Reservation): void {
    for (const id of reservation.rooms.keys()) {
      const others = this.#active.get(id);
      if (others === undefined) this.#active.set(id, [reservation]);
      else if (!others.includes(reservation)) others.push(reservation);
    }
  }

  /** Removes a step's reservation. */
  remove(step: JobStep): void {
    const reservation = this.#reservations.get(step);
    if (reservation === undefined) return;
    this.#reservations.delete(step);
    for (const id of reservation.rooms.keys()) {
      const others = this.#active.get(id)?.filter((other) => other !== reservation);
      if (others !== undefined) this.#active.set(id, others);
    }
  }

  /** Gets the room that other steps hold on an executor. */
  getHeld(executor: Executor, step: JobStep): Resources {
    const held = { ...NO_RESOURCES };
    for (const reservation of this.#reservations.values()) {
      const room = reservation.rooms.get(executor.id);
      if (room !== undefined && reservation.step !== step) addResources(held, room.demand);
    }
    return held;
  }

  /**
   * Finds a reservation that keeps a task from starting on an executor: the task would not end
   * before the reserved start, and does not fit beside it.
   */
  findBlocking(executor: Executor, demand: Resources, endsAt: number): Reservation | undefined {
    return this.#active.get(executor.id)?.find((reservation) => {
      const room = reservation.rooms.get(executor.id);
      return room !== undefined && endsAt > room.at &&
        !fitsCapacity(NO_RESOURCES, demand, room.spare);
    });
  }

  /** Records that a task was started on an executor beside the reservations of other steps. */
  recordStart(executor: Executor, step: JobStep, demand: Resources, endsAt: number): void {
    for (const reservation of this.#active.get(executor.id) ?? []) {
      const room = reservation.rooms.get(executor.id);
      if (room === undefined || reservation.step === step || endsAt <= room.at) continue;
      addResources(room.spare, demand, -1);
    }
  }

  /**
   * Reduces what a step holds to the number of tasks that still wait, first on the executor on which
   * one was started, then where room is expected last.
   */
  reduce(reservation: Reservation, count: number, startedOn: readonly Executor[]): void {
    const { rooms } = reservation;
    let excess = -count;
    for (const room of rooms.values()) excess += room.count;
    const latestFirst = [...rooms.values()].sort((first, second) => second.at - first.at);
    const order = [
      ...startedOn.flatMap(({ id }) => rooms.get(id) ?? []),
      ...latestFirst.flatMap((room) => Array.from({ length: room.count }, () => room)),
    ];
    for (const room of order) {
      if (excess <= 0) return;
      if (room.count === 0) continue;
      excess -= 1;
      addResources(room.demand, room.demand, -1 / room.count);
      room.count -= 1;
      if (room.count === 0) rooms.delete(room.executor.id);
    }
  }

  /** Gets the CPU that is free and held, in thousandths of a core. */
  getEmptyCpu(): number {
    let empty = 0;
    for (const { rooms } of this.#reservations.values()) {
      for (const { executor, demand } of rooms.values()) {
        const free = executor.entry.capacity.cpu - executor.getReserved().cpu;
        empty += Math.max(0, Math.min(free, demand.cpu));
      }
    }
    return empty;
  }
}
