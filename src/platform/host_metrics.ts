/** Counters, gauges and duration histograms of one process, served in the Prometheus text format. */

import { createServer, type Server } from "node:http";
import { build, type Histogram } from "hdr-histogram-js";
import { formatPrometheusText, type Metric } from "../links/prometheus_text.ts";
import { listen } from "../links/listen.ts";
import type { SocketAddress } from "../links/socket_address.ts";

/** The highest duration that a histogram records, in milliseconds; longer ones count as this. */
const MAXIMUM_DURATION_MILLISECONDS = 600_000;
/** The maximum number of connections to the metrics. */
const MAXIMUM_CONNECTIONS = 64;
const QUANTILES = [0.5, 0.9, 0.99, 1];

/** Collects the metrics of a process and serves them over HTTP. */
export class HostMetrics {
  readonly #counters = new Map<string, number>();
  readonly #histograms = new Map<string, Histogram>();
  readonly #getGauges: () => Readonly<Record<string, number>>;
  #server: Server | undefined;

  private constructor(getGauges: () => Readonly<Record<string, number>>) {
    this.#getGauges = getGauges;
  }

  /** Creates empty metrics; gauges are read each time that the metrics are served. */
  static create(getGauges: () => Readonly<Record<string, number>>): HostMetrics {
    return new HostMetrics(getGauges);
  }

  /** Increments the counter of an event. */
  count(event: string): void {
    this.#counters.set(event, (this.#counters.get(event) ?? 0) + 1);
  }

  /** Records a duration. */
  recordDuration(name: string, milliseconds: number): void {
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      histogram = build({
        highestTrackableValue: MAXIMUM_DURATION_MILLISECONDS,
        numberOfSignificantValueDigits: 2,
      });
      this.#histograms.set(name, histogram);
    }
    histogram.recordValue(
      Math.min(MAXIMUM_DURATION_MILLISECONDS, Math.max(0, Math.round(milliseconds))),
    );
  }

  /** Gets all metrics in the Prometheus text format. */
  getText(): string {
    const metrics: Metric[] = [
      {
        name: "tanagerpin_events_total",
        type: "counter",
        help: "Events by their name.",
        samples: [...this.#counters].map(([event, value]) => ({ labels: { event }, value })),
      },
      {
        name: "tanagerpin_milliseconds",
        type: "summary",
        help: "Times by their name, in milliseconds.",
        samples: [...this.#histograms].flatMap(([name, histogram]) =>
          QUANTILES.map((quantile) => ({
            labels: { name, quantile: String(quantile) },
            value: histogram.getValueAtPercentile(quantile * 100),
          }))
        ),
      },
      {
        name: "tanagerpin_state",
        type: "gauge",
        help: "What the process holds now.",
        samples: Object.entries(this.#getGauges()).map(([name, value]) => ({
          labels: { name },
          value,
        })),
      },
    ];
    return formatPrometheusText(metrics);
  }

  /** Serves the metrics on any path, and gets the address in use. */
  listen(address: SocketAddress): Promise<string> {
    this.#server = createServer((_request, response) => {
      response.setHeader("content-type", "text/plain; version=0.0.4");
      response.end(this.getText());
    });
    this.#server.maxConnections = MAXIMUM_CONNECTIONS;
    return listen(this.#server, address);
  }

  /** Closes the listener. */
  close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}
