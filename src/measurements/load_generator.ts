/** Generates HTTP load: a closed loop over connections, or arrivals at a constant rate. */

import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";

/** Options for `runLoad`. */
export interface LoadOptions {
  /** Addresses of the servers, used round-robin. */
  addresses: readonly string[];
  /** Path of each request. */
  path: string;
  /** Number of connections; also the number of concurrent requests in a closed loop. */
  connections: number;
  /** Arrivals per second; a closed loop if undefined. */
  ratePerSecond?: number;
  /** Duration of the load. */
  durationMilliseconds: number;
  /** Called at the end of each request, with the time since the start of the load. */
  onEnd?: (isAnswered: boolean, atMilliseconds: number) => void;
}

/** Result of `runLoad`. */
export interface LoadResult {
  /** Number of responses with status 200. */
  answered: number;
  /** Number of responses with another status. */
  refused: number;
  /** Number of requests without a response. */
  failed: number;
  /** Responses with status 200 per second. */
  responsesPerSecond: number;
  /** Latencies of responses with status 200, in microseconds. */
  responseTimes: Histogram;
  /** Latencies of responses with another status, in microseconds. */
  refusalTimes: Histogram;
}

/** Generates the load, and resolves when its last request has ended. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const { addresses, path, connections, durationMilliseconds } = options;
  const perAddress = Math.ceil(connections / addresses.length);
  const agent = new Agent({ connections: perAddress, pipelining: 1 });
  const result = createResult();
  const start = performance.now();
  let next = 0;
  const send = async () => {
    const address = addresses[next % addresses.length]!;
    next += 1;
    const isAnswered = await sendOne(agent, `http://${address}${path}`, result);
    options.onEnd?.(isAnswered, performance.now() - start);
  };
  const isOver = () => performance.now() - start >= durationMilliseconds;
  if (options.ratePerSecond === undefined) await runClosedLoop(connections, send, isOver);
  else await runConstantRate(options.ratePerSecond, send, isOver);
  result.responsesPerSecond = Math.round(result.answered / ((performance.now() - start) / 1_000));
  await agent.close();
  return result;
}

/** Gets a percentile in milliseconds, rounded to two decimals. */
export function getMilliseconds(times: Histogram, percentile: number): number {
  return Math.round(times.getValueAtPercentile(percentile) / 10) / 100;
}

function createResult(): LoadResult {
  return {
    answered: 0,
    refused: 0,
    failed: 0,
    responsesPerSecond: 0,
    responseTimes: build({ numberOfSignificantValueDigits: 3 }),
    refusalTimes: build({ numberOfSignificantValueDigits: 3 }),
  };
}

async function sendOne(agent: Agent, url: string, result: LoadResult): Promise<boolean> {
  const start = performance.now();
  try {
    const response = await request(url, { dispatcher: agent });
    await response.body.dump();
    const microseconds = Math.max(1, Math.round((performance.now() - start) * 1_000));
    if (response.statusCode === 200) {
      result.answered += 1;
      result.responseTimes.recordValue(microseconds);
      return true;
    }
    result.refused += 1;
    result.refusalTimes.recordValue(microseconds);
  } catch {
    result.failed += 1;
  }
  return false;
}

async function runClosedLoop(
  count: number,
  send: () => Promise<void>,
  isOver: () => boolean,
): Promise<void> {
  const sendUntilOver = async () => {
    while (!isOver()) await send();
  };
  await Promise.all(Array.from({ length: count }, sendUntilOver));
}

/** Sends requests at a constant rate, regardless of how many are still open. */
async function runConstantRate(
  ratePerSecond: number,
  send: () => Promise<void>,
  isOver: () => boolean,
): Promise<void> {
  const open = new Set<Promise<void>>();
  const start = performance.now();
  let sent = 0;
  while (!isOver()) {
    const due = Math.floor((performance.now() - start) / 1_000 * ratePerSecond);
    for (; sent < due; sent += 1) {
      const sending: Promise<void> = send().finally(() => open.delete(sending));
      open.add(sending);
    }
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  await Promise.all(open);
}
