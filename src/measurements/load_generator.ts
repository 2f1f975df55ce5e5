/** Load on entry hosts or executors: a closed loop over connections, or arrivals at a steady rate. */

import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";

/** Options of `runLoad`. */
export interface LoadOptions {
  /** The addresses, used in turn. */
  addresses: readonly string[];
  /** The path. */
  path: string;
  /** The connections: in a closed loop, as many requests are open at once. */
  connections: number;
  /** The arrivals a second; a closed loop if undefined. */
  ratePerSecond?: number;
  /** How long the load lasts. */
  durationMilliseconds: number;
  /** Called at the end of each request, with the time since the start of the load. */
  onEnd?: (isAnswered: boolean, atMilliseconds: number) => void;
}

/** What the load came to. */
export interface LoadResult {
  /** The requests that were answered with status 200. */
  answered: number;
  /** The requests that were refused with a problem document. */
  refused: number;
  /** The requests that ended in any other way. */
  failed: number;
  /** The answers a second. */
  responsesPerSecond: number;
  /** The times of the answers, in microseconds. */
  responseTimes: Histogram;
  /** The times of the refusals, in microseconds. */
  refusalTimes: Histogram;
}

/** Creates the load, and resolves when its last request has ended. */
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
  if (options.ratePerSecond === undefined) await loop(connections, send, isOver);
  else await pace(options.ratePerSecond, send, isOver);
  result.responsesPerSecond = Math.round(result.answered / ((performance.now() - start) / 1_000));
  await agent.close();
  return result;
}

/** Gets a quantile in milliseconds, to two places. */
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

async function loop(
  count: number,
  send: () => Promise<void>,
  isOver: () => boolean,
): Promise<void> {
  const one = async () => {
    while (!isOver()) await send();
  };
  await Promise.all(Array.from({ length: count }, one));
}

/** Sends what has fallen due every few milliseconds, whatever is still open. */
async function pace(
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
