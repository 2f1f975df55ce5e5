/** The Prometheus text exposition format. */

/** One metric with its samples. */
export interface Metric {
  /** The metric name, with its unit. */
  name: string;
  /** A counter only increases, a gauge goes up and down, and a summary has quantiles. */
  type: "counter" | "gauge" | "summary";
  /** The description of the metric. */
  help: string;
  samples: readonly MetricSample[];
}

export interface MetricSample {
  labels: Readonly<Record<string, string>>;
  value: number;
}

/** Formats metrics as text. */
export function formatPrometheusText(metrics: readonly Metric[]): string {
  return metrics.map(formatMetric).join("");
}

function formatMetric(metric: Metric): string {
  const { name, type, help, samples } = metric;
  const lines = samples.map((sample) => `${name}${formatLabels(sample.labels)} ${sample.value}`);
  return [`# HELP ${name} ${help}`, `# TYPE ${name} ${type}`, ...lines].join("\n") + "\n";
}

function formatLabels(labels: Readonly<Record<string, string>>): string {
  const pairs = Object.entries(labels).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
}
