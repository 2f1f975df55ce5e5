/** The metrics of requests: counts by outcome, and times as quantiles. */

import { build, type Histogram } from "hdr-histogram-js";
import { Task } from "../tasks/mod.ts";

/** The highest time that a histogram can record. */
const MAXIMUM_TIME_MILLISECONDS = 3_600_000;

/** A request whose outcome is final for its caller. */
export interface SettledRequest {
  /** The name of the service. */
  service: string;
  /** The outcome for the caller: `answered`, `left`, or the reason of a refusal. */
  told: string;
  /** The time since the arrival of the request. */
  milliseconds: number;
}

/** The messages that a `MetricsTask` takes. */
export type MetricsMessage = { kind: "request-settled"; settled: SettledRequest };

/** The counts and times of one service. */
export interface ServiceMetrics {
  /** The name of the service. */
  service: string;
  /** The number of requests by outcome. */
  counts: Readonly<Record<string, number>>;
  /** The time of answered requests by quantile, in milliseconds. */
  quantiles: Readonly<Record<string, number>>;
}

interface ServiceRecorder {
  counts: Map<string, number>;
  times: Histogram;
}

/** Owns the metrics of requests. */
export class MetricsTask extends Task<MetricsMessage> {
  readonly #services = new Map<string, ServiceRecorder>();

  private constructor() {
    super({ name: "metrics" });
  }

  /** Creates the task. */
  static create(): MetricsTask {
    return new MetricsTask();
  }

  protected override receive(message: MetricsMessage): void {
    const { service, told, milliseconds } = message.settled;
    const recorder = this.#getRecorder(service);
    recorder.counts.set(told, (recorder.counts.get(told) ?? 0) + 1);
    if (told === "answered") recorder.times.recordValue(Math.max(1, Math.round(milliseconds)));
  }

  override getState(): unknown {
    return this.getMetrics();
  }

  /** Gets the metrics of every service. */
  getMetrics(): ServiceMetrics[] {
    return [...this.#services].map(([service, { counts, times }]) => ({
      service,
      counts: Object.fromEntries(counts),
      quantiles: {
        "0.5": times.getValueAtPercentile(50),
        "0.99": times.getValueAtPercentile(99),
        "1": times.maxValue,
      },
    }));
  }

  #getRecorder(service: string): ServiceRecorder {
    const recorder = this.#services.get(service) ?? {
      counts: new Map<string, number>(),
      times: build({
        highestTrackableValue: MAXIMUM_TIME_MILLISECONDS,
        numberOfSignificantValueDigits: 2,
      }),
    };
    this.#services.set(service, recorder);
    return recorder;
  }
}
