/** Measures the demand of the jobs that arrive for each service, and forecasts what they use. */

import { addResources, NO_RESOURCES, type Resources } from "../fleet/resources.ts";

/** The minimum time over which the demand of a job is spread, in milliseconds. */
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
  /** When the job arrived, on the monotonic clock. */
  at: number;
  /** When the job is assumed to end, on the monotonic clock. */
  endsAt: number;
  /** What the job uses in between on average. */
  demand: Resources;
}

/** Options of `add`. */
export interface ArrivalOptions {
  /** The service. */
  service: string;
  /** What the tasks of the job use, times their durations in milliseconds. */
  resourceMilliseconds: Readonly<Resources>;
  /** The critical path of the job, in milliseconds. */
  criticalPathMilliseconds: number;
  /** When the job arrived, on the monotonic clock. */
  now: number;
}

/** Keeps the recent arrivals of each service. */
export class ArrivalMeter {
  readonly #arrivals = new Map<string, Arrival[]>();

  private constructor() {}

  /** Creates an empty meter. */
  static create(): ArrivalMeter {
    return new ArrivalMeter();
  }

  /** Adds the demand of a job, spread over its critical path. */
  add(options: ArrivalOptions): void {
    const { service, resourceMilliseconds, criticalPathMilliseconds: criticalPath, now } = options;
    const spread = Math.max(MINIMUM_SPREAD_MILLISECONDS, criticalPath);
    const arrivals = this.#arrivals.get(service) ?? [];
    const demand = { ...NO_RESOURCES };
    addResources(demand, resourceMilliseconds, 1 / spread);
    arrivals.push({ at: now, endsAt: now + spread, demand });
    this.#arrivals.set(service, arrivals);
  }

  /** Gets what the jobs that have arrived use on average, without a trend. */
  getCurrent(service: string, now: number): Resources {
    return sumDemandAt(this.#arrivals.get(service) ?? [], now);
  }

  /** Forecasts what arriving jobs will use. */
  getForecast(service: string, now: number): Resources {
    const earlier = now - TREND_WINDOW_MILLISECONDS;
    const arrivals = (this.#arrivals.get(service) ?? []).filter(({ endsAt }) => endsAt > earlier);
    this.#arrivals.set(service, arrivals);
    const current = sumDemandAt(arrivals, now);
    const before = sumDemandAt(arrivals, earlier);
    return {
      cpu: extrapolate(current.cpu, before.cpu),
      memory: extrapolate(current.memory, before.memory),
      accelerators: extrapolate(current.accelerators, before.accelerators),
    };
  }
}

/** Continues a trend to the forecast horizon, from an amount and the amount one window before. */
function extrapolate(current: number, before: number): number {
  const slope = (current - before) / TREND_WINDOW_MILLISECONDS;
  const growth = Math.min(
    Math.max(0, slope) * FORECAST_HORIZON_MILLISECONDS,
    current * MAXIMUM_GROWTH_FRACTION,
  );
  return current + growth;
}

function sumDemandAt(arrivals: readonly Arrival[], time: number): Resources {
  const total = { ...NO_RESOURCES };
  for (const arrival of arrivals) {
    if (arrival.at <= time && time < arrival.endsAt) addResources(total, arrival.demand);
  }
  return total;
}
