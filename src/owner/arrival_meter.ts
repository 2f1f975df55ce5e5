/** Measures the work that arrives for each service, and foretells it for the time that a move takes. */

/** The shortest time over which the work of a job is spread, in milliseconds. */
const SHORTEST_SPREAD_MILLISECONDS = 1_000;
/** How far back the trend looks, in milliseconds. */
const TREND_MILLISECONDS = 1_000;
/** How far ahead the trend is followed, in milliseconds: a move and the listing of its executor. */
const HORIZON_MILLISECONDS = 1_500;
/** The most that the trend adds, as a part of what arrives now. */
const MOST_GROWTH = 0.7;

interface Arrival {
  at: number;
  /** Until when the work counts. */
  until: number;
  /** The processor time that it keeps busy meanwhile, in thousandths of a core. */
  cpu: number;
}

/** Options of `add`. */
export interface ArrivalOptions {
  /** The service. */
  service: string;
  /** The work, in thousandths of a core times milliseconds. */
  work: number;
  /** The longest chain of the work, in milliseconds. */
  chainMilliseconds: number;
  /** When it arrived, on the steady clock. */
  now: number;
}

/** The work that arrived of late, by service. */
export class ArrivalMeter {
  readonly #arrivals = new Map<string, Arrival[]>();

  private constructor() {}

  /** Creates a meter. */
  static create(): ArrivalMeter {
    return new ArrivalMeter();
  }

  /** Adds work, spread over the time that it takes at least. */
  add(options: ArrivalOptions): void {
    const { service, work, chainMilliseconds, now } = options;
    const spread = Math.max(SHORTEST_SPREAD_MILLISECONDS, chainMilliseconds);
    const arrivals = this.#arrivals.get(service) ?? [];
    arrivals.push({ at: now, until: now + spread, cpu: work / spread });
    this.#arrivals.set(service, arrivals);
  }

  /** Gets the processor time that the arrivals will keep busy, in thousandths of a core. */
  getForecastCpu(service: string, now: number): number {
    const earlier = now - TREND_MILLISECONDS;
    const arrivals = (this.#arrivals.get(service) ?? []).filter(({ until }) => until > earlier);
    this.#arrivals.set(service, arrivals);
    const current = sumAt(arrivals, now);
    const slope = (current - sumAt(arrivals, earlier)) / TREND_MILLISECONDS;
    const growth = Math.min(Math.max(0, slope) * HORIZON_MILLISECONDS, current * MOST_GROWTH);
    return current + growth;
  }
}

function sumAt(arrivals: readonly Arrival[], time: number): number {
  let cpu = 0;
  for (const arrival of arrivals) {
    if (arrival.at <= time && time < arrival.until) cpu += arrival.cpu;
  }
  return cpu;
}
