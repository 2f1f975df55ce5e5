/** Schedule of events in virtual time. */

/** Length of a tick; events of the same tick run in the order in which they were added. */
const TICK_MILLISECONDS = 5;

/** Runs events in the order of their times. */
export class VirtualSchedule {
  readonly #ticks = new Map<number, (() => void)[]>();
  #tick = 0;

  private constructor() {}

  /** Creates an empty schedule at time zero. */
  static create(): VirtualSchedule {
    return new VirtualSchedule();
  }

  /** Gets the virtual time in milliseconds. */
  getNow(): number {
    return this.#tick * TICK_MILLISECONDS;
  }

  /** Adds an event after a delay. */
  add(delayMilliseconds: number, event: () => void): void {
    const delayTicks = Math.max(1, Math.ceil(delayMilliseconds / TICK_MILLISECONDS));
    const events = this.#ticks.get(this.#tick + delayTicks);
    if (events === undefined) this.#ticks.set(this.#tick + delayTicks, [event]);
    else events.push(event);
  }

  /** Adds an event that repeats at an interval. */
  addRepeated(intervalMilliseconds: number, event: () => void): void {
    this.add(intervalMilliseconds, () => {
      event();
      this.addRepeated(intervalMilliseconds, event);
    });
  }

  /** Runs all events up to a time. */
  runUntil(milliseconds: number): void {
    const lastTick = Math.ceil(milliseconds / TICK_MILLISECONDS);
    while (this.#tick < lastTick) {
      this.#tick += 1;
      const events = this.#ticks.get(this.#tick);
      this.#ticks.delete(this.#tick);
      for (const event of events ?? []) event();
    }
  }
}
