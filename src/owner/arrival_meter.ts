/** Measures the work that arrives for each service, and foretells it for the time that a move takes. */

/** The time over which work is added up, in milliseconds. */
const WINDOW_MILLISECONDS = 1_000;
/** How far ahead the trend is followed, in milliseconds: a move and the listing of its executor. */
const HORIZON_MILLISECONDS = 1_500;

interface Arrival {
  at: number;
  /** Thousandths of a core times milliseconds. */
  work: number;
}

/** The work that arrived of late, by service. */
export class ArrivalMeter {
  readonly #arrivals = new Map<string, Arrival[]>();

  private constructor() {}

  /** Creates a meter. */
  static create(): ArrivalMeter {
    return new ArrivalMeter();
  }

  /** Adds work. */
  add(service: string, work: number, now: number): void {
    const arrivals = this.#arrivals.get(service) ?? [];
    arrivals.push({ at: now, work });
    this.#arrivals.set(service, arrivals);
  }

  /** Gets the processor time that the arrivals will keep busy, in thousandths of a core. */
  getForecastCpu(service: string, now: number): number {
    const arrivals = this.#arrivals.get(service) ?? [];
    while (arrivals.length > 0 && arrivals[0]!.at < now - 2 * WINDOW_MILLISECONDS) arrivals.shift();
    let newer = 0;
    let older = 0;
    for (const { at, work } of arrivals) {
      if (at >= now - WINDOW_MILLISECONDS) newer += work;
      else older += work;
    }
    const slope = (newer - older) / WINDOW_MILLISECONDS;
    const forecast = newer + Math.max(0, slope) * HORIZON_MILLISECONDS;
    return forecast / WINDOW_MILLISECONDS;
  }
}
