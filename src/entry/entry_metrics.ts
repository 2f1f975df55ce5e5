/** The metrics of an entry host. */

import type { Metric } from "../links/prometheus_text.ts";
import type { Fleet } from "../records/fleet.ts";
import type { ServiceMetrics } from "./metrics_task.ts";

/** Options of `createEntryMetrics`. */
export interface EntryMetricsOptions {
  /** The fleet. */
  fleet: Fleet;
  /** The metrics of requests. */
  services: readonly ServiceMetrics[];
  /** Whether the load balancer should send callers to this host. */
  isReady: boolean;
  /** The number of waiting messages by task. */
  waitingByTask: ReadonlyMap<string, number>;
  /** The number of messages that full mailboxes refused, by task. */
  refusedByTask: ReadonlyMap<string, number>;
}

/** Gets the metrics of an entry host. */
export function createEntryMetrics(options: EntryMetricsOptions): Metric[] {
  const { fleet, services, isReady, waitingByTask, refusedByTask } = options;
  return [
    createGauge("tanagerpin_ready", "Whether callers should come here", [[
      "",
      isReady ? 1 : 0,
    ]]),
    createGauge("tanagerpin_offset", "The newest record applied", [["", fleet.offset]]),
    createGauge("tanagerpin_members", "The members of the roster", [
      ["", fleet.getMembers().length],
    ]),
    createGauge(
      "tanagerpin_mailbox_messages",
      "Messages that wait",
      [...waitingByTask],
      "task",
    ),
    createRefusedCounter(refusedByTask),
    createRequestCounter(services),
    createTimeSummary(services),
  ];
}

function createGauge(
  name: string,
  help: string,
  values: readonly (readonly [string, number])[],
  label?: string,
): Metric {
  const samples = values.map(([key, value]) => ({
    labels: label === undefined ? {} : { [label]: key },
    value,
  }));
  return { name, type: "gauge", help, samples };
}

function createRefusedCounter(refusedByTask: ReadonlyMap<string, number>): Metric {
  const name = "tanagerpin_mailbox_refused_total";
  const metric = createGauge(
    name,
    "Messages refused by full mailboxes",
    [...refusedByTask],
    "task",
  );
  return { ...metric, type: "counter" };
}

function createRequestCounter(services: readonly ServiceMetrics[]): Metric {
  const samples = services.flatMap(({ service, counts }) =>
    Object.entries(counts).map(([told, value]) => ({ labels: { service, told }, value }))
  );
  const help = "Requests by what their callers were told";
  return { name: "tanagerpin_requests_total", type: "counter", help, samples };
}

function createTimeSummary(services: readonly ServiceMetrics[]): Metric {
  const samples = services.flatMap(({ service, quantiles }) =>
    Object.entries(quantiles).map(([quantile, value]) => ({ labels: { service, quantile }, value }))
  );
  const help = "Time of answered requests";
  return { name: "tanagerpin_request_milliseconds", type: "summary", help, samples };
}
