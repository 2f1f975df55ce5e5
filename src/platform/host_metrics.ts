/** Counters and latency histograms of one process, served as text. */

import { createServer, type Server } from "node:http";
import { build, type Histogram } from "hdr-histogram-js";
import { formatPrometheusText, type Metric } from "../links/prometheus_text.ts";
import { listen } from "../links/listen.ts";
import type { SocketAddress } from "../links/socket_address.ts";

/** The longest time that a histogram tells apart, in milliseconds. */
const LONGEST_MILLISECONDS = 600_000;
const QUANTILES = [0.5, 0.9, 0.99, 1];

/** Counts and measures. */
export class HostMetrics {
  readonly #counts = new Map<string, number>();
  readonly #times = new Map<string, Histogram>();
  readonly #getGauges: () => Readonly<Record<string, number>>;
  #server: Server | undefined;

  private constructor(getGauges: () => Readonly<Record<string, number>>) {
    this.#getGauges = getGauges;
  }

  /** Creates empty metrics; the gauges are read when they are served. */
  static create(getGauges: () => Readonly<Record<string, number>>): HostMetrics {
    return new HostMetrics(getGauges);
  }

  /** Counts an event by its label. */
  count(event: string): void {
    this.#counts.set(event, (this.#counts.get(event) ?? 0) + 1);
  }

  /** Records a time. */
  measure(name: string, milliseconds: number): void {
    let histogram = this.#times.get(name);
    if (histogram === undefined) {
      histogram = build({
        highestTrackableValue: LONGEST_MILLISECONDS,
        numberOfSignificantValueDigits: 2,
      });
      this.#times.set(name, histogram);
    }
    histogram.recordValue(Math.min(LONGEST_MILLISECONDS, Math.max(0, Math.round(milliseconds))));
  }

  /** Gets the text. */
  getText(): string {
    const metrics: Metric[] = [
      {
        name: "tanagerpin_events_total",
        type: "counter",
        help: "Events by their name.",
        samples: [...this.#counts].map(([event, value]) => ({ labels: { event }, value })),
      },
      {
        name: "tanagerpin_milliseconds",
        type: "summary",
        help: "Times by their name, in milliseconds.",
        samples: [...this.#times].flatMap(([name, histogram]) =>
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

  /** Serves the text at an address, whatever the path. */
  listen(address: SocketAddress): Promise<string> {
    this.#server = createServer((_request, response) => {
      response.setHeader("content-type", "text/plain; version=0.0.4");
      response.end(this.getText());
    });
    return listen(this.#server, address);
  }

  /** Closes the listener. */
  close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}
