/** Follows the recurring demand of services, logs and stores what is learned, and adjusts loads. */

import { type DemandEvent, type ExpectedBurst } from "./demand_history.ts";
import { createDemandEntry, readStoredDemand } from "./demand_records.ts";
import type { FleetState } from "./fleet_state.ts";
import type { PoolLoad } from "./pool_need.ts";

export interface DemandControlOptions {
  state: FleetState;
  /** The journal entries of earlier owners, as key-value pairs. */
  stored: readonly (readonly [string, Uint8Array])[];
}

/** The load of a pool at a foreseen burst. */
export interface ForeseenLoad {
  load: PoolLoad;
  /** Whether hosts must be moved now to be up when it begins. */
  isDue: boolean;
  /** The expected rate, in jobs per millisecond. */
  jobRate: number;
}

/** Tells pools what recurring demand lets expect. Without the feature it changes nothing. */
export class DemandControl {
  readonly #state: FleetState;
  #foreseenCount = 0;
  #missedCount = 0;

  private constructor({ state, stored }: DemandControlOptions) {
    this.#state = state;
    if (!state.features.anticipatesDemand) return;
    const toMonotonic = state.now - state.timeOfDay;
    for (const { service, record } of readStoredDemand(stored)) {
      state.demandHistory.restore(service, { ...record, onset: record.onset + toMonotonic });
    }
  }

  static create(options: DemandControlOptions): DemandControl {
    return new DemandControl(options);
  }

  /** Detects and foresees bursts. */
  tick(): void {
    const { features, demandHistory, configuration, now } = this.#state;
    if (!features.anticipatesDemand) return;
    demandHistory.retain((service) => configuration.services.has(service));
    for (const event of demandHistory.advance(now)) this.#handle(event);
  }

  /** Gets a pool's load with the demand that its arrivals are heading for. */
  adjustLoad(service: string, load: PoolLoad): PoolLoad {
    const { features, demandHistory, arrivals, now } = this.#state;
    if (!features.anticipatesDemand) return load;
    const { heading, isHeightKnown, isAfterBurst } = demandHistory.getDemand(service, now);
    // A known height or end tells more than the trend of the last second.
    const followsTrend = !isHeightKnown && !isAfterBurst;
    const current = arrivals.getCurrent(service, now);
    const cpu = followsTrend ? load.cpu.forecast : current.cpu;
    const memory = followsTrend ? load.memory.forecast : current.memory;
    return {
      ...load,
      cpu: { ...load.cpu, forecast: Math.max(cpu, heading.cpu) },
      memory: { ...load.memory, forecast: Math.max(memory, heading.memory) },
    };
  }

  /**
   * Gets a pool's load at a burst that is foreseen, in proportion to the confidence, if its hosts
   * must be moved within a time.
   */
  foresee(service: string, load: PoolLoad, withinMilliseconds: number): ForeseenLoad | undefined {
    const { features, demandHistory, now } = this.#state;
    if (!features.anticipatesDemand) return undefined;
    const lead = demandHistory.getLeadMilliseconds();
    const expected = demandHistory.getExpected(service, now, lead + withinMilliseconds);
    if (expected === undefined) return undefined;
    const { learned: { height, jobRate }, confidence, at } = expected;
    const { cpu, memory } = load;
    return {
      load: {
        ...load,
        cpu: { ...cpu, forecast: Math.max(cpu.forecast, height.cpu * confidence) },
        memory: { ...memory, forecast: Math.max(memory.forecast, height.memory * confidence) },
      },
      isDue: at - now <= lead,
      jobRate,
    };
  }

  /** Gets whether a burst of a service has reached its learned end. */
  isAfterBurst(service: string): boolean {
    const { features, demandHistory, now } = this.#state;
    return features.anticipatesDemand && demandHistory.getDemand(service, now).isAfterBurst;
  }

  /** Gets the figures for the metrics; none without the feature. */
  getSummary(): Readonly<Record<string, number>> {
    const { features, demandHistory } = this.#state;
    if (!features.anticipatesDemand) return {};
    return {
      burstsUnderWay: demandHistory.countBursts(),
      burstsForeseen: this.#foreseenCount,
      burstsMissed: this.#missedCount,
    };
  }

  #handle(event: DemandEvent): void {
    const { log, now } = this.#state;
    const { service } = event;
    switch (event.kind) {
      case "began": {
        const { burst, expected } = event;
        const age = Math.max(1, Math.round(now - burst.onset));
        log("burst-began", {
          service,
          age,
          jobsPerSecond: getPerSecond(burst.jobs / age),
          ...getExpectedFields(expected, now),
        });
        return;
      }
      case "ended": {
        const { burst, isLearned } = event;
        const duration = Math.round(burst.end! - burst.onset);
        log("burst-ended", {
          service,
          age: Math.round(now - burst.end!),
          milliseconds: duration,
          jobs: burst.jobs,
          cpu: Math.round(burst.resourceMilliseconds.cpu / Math.max(1, duration)),
          isLearned,
        });
        if (isLearned) this.#store(service);
        return;
      }
      case "refuted": {
        const { burst, upperRate, learned } = event;
        log("burst-below-forecast", {
          service,
          age: Math.round(now - burst.onset),
          jobsPerSecondAtMost: getPerSecond(upperRate),
          learnedJobsPerSecond: getPerSecond(learned.jobRate),
        });
        return;
      }
      case "foreseen":
        this.#foreseenCount += 1;
        log("burst-foreseen", { service, ...getExpectedFields(event.expected, now) });
        return;
      case "missed":
        this.#missedCount += 1;
        log("burst-missed", { service, ...getExpectedFields(event.expected, now) });
    }
  }

  /** Stores what was learned of a service. A record that is lost is written again with the next burst. */
  #store(service: string): void {
    const { demandHistory, ports, now, timeOfDay } = this.#state;
    const record = demandHistory.getRecord(service);
    if (record === undefined || !this.#state.mayStart) return;
    const onset = record.onset + timeOfDay - now;
    ports.write([createDemandEntry({ service, record: { ...record, onset } })], () => {});
  }
}

/** Gets the log fields of an expected burst; `in` is negative after the time it was expected. */
function getExpectedFields(
  expected: ExpectedBurst | undefined,
  now: number,
): Record<string, string | number> {
  if (expected === undefined) return { confidence: 0 };
  const { at, confidence, from, learned } = expected;
  return {
    in: Math.round(at - now),
    confidence: Math.round(confidence * 100) / 100,
    after: from.join(" "),
    learnedCpu: Math.round(learned.height.cpu),
    learnedJobsPerSecond: getPerSecond(learned.jobRate),
    learnedFrom: learned.count,
  };
}

/** Converts a rate in jobs per millisecond, rounded. */
function getPerSecond(rate: number): number {
  return Math.round(rate * 10_000) / 10;
}
