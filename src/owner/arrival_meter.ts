/** Measures the arriving work of each service, and forecasts it over the time of a host move. */

/** The minimum time over which the work of a job is spread, in milliseconds. */
const MINIMUM_SPREAD_MILLISECONDS = 1_000;
/** The window over which the trend is measured, in milliseconds. */
const TREND_WINDOW_MILLISECONDS = 1_000;
/**
 * How far ahead the trend is extrapolated, in milliseconds: the time for a host move and the listing
 * of the host's new executor.
 */
const FORECAST_HORIZON_MILLISECONDS = 1_500;
/** The maximum growth that the trend adds, as a fraction of the current load. */
const MAXIMUM_GROWTH_FRACTION = 0.7;

interface Arrival {
  /** When the work arrived, on the monotonic clock. */
  at: number;
  /** When the work is assumed to be done, on the monotonic clock. */
  endsAt: number;
  /** The CPU that the work uses in between, in thousandths of a core. */
  cpu: number;
}

/** Options of `add`. */
export interface ArrivalOptions {
  /** The service. */
  service: string;
  /** The work, in thousandths of a core times milliseconds. */
  cpuMilliseconds: number;
  /** The critical path of the job, in milliseconds. */
  criticalPathMilliseconds: number;
  /** When the work arrived, on the monotonic clock. */
  now: number;
}

/** Keeps the recently arrived work of each service. */
export class ArrivalMeter {
  readonly #arrivals = new Map<string, Arrival[]>();

  private constructor() {}

  /** Creates an empty meter. */
  static create(): ArrivalMeter {
    return new ArrivalMeter();
  }

  /** Adds the work of a job, spread over its critical path. */
  add(options: ArrivalOptions): void {
    const { service, cpuMilliseconds: work, criticalPathMilliseconds: criticalPath, now } = options;
    const spread = Math.max(MINIMUM_SPREAD_MILLISECONDS, criticalPath);
    const arrivals = this.#arrivals.get(service) ?? [];
    arrivals.push({ at: now, endsAt: now + spread, cpu: work / spread });
    this.#arrivals.set(service, arrivals);
  }

  /** Forecasts the CPU that arriving work will use, in thousandths of a core. */
  getForecastCpu(service: string, now: number): number {
    const earlier = now - TREND_WINDOW_MILLISECONDS;
    const arrivals = (this.#arrivals.get(service) ?? []).filter(({ endsAt }) => endsAt > earlier);
    this.#arrivals.set(service, arrivals);
    const current = sumCpuAt(arrivals, now);
    const slope = (current - sumCpuAt(arrivals, earlier)) / TREND_WINDOW_MILLISECONDS;
    const growth = Math.min(
      Math.max(0, slope) * FORECAST_HORIZON_MILLISECONDS,
      current * MAXIMUM_GROWTH_FRACTION,
    );
    return current + growth;
  }
}

function sumCpuAt(arrivals: readonly Arrival[], time: number): number {
  let cpu = 0;
  for (const arrival of arrivals) {
    if (arrival.at <= time && time < arrival.endsAt) cpu += arrival.cpu;
  }
  return cpu;
}
