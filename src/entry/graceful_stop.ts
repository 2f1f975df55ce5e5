/**
 * The graceful stop of an entry host: the order of its steps, and how each step can end early.
 *
 * A request is open until its response is complete or its caller has left. It is running until its
 * executor has ended it, which can be later.
 */

import type { EventLog } from "../events/mod.ts";

/** The time-out for recording the leave and handing over claims and loans. */
const LEAVE_TIMEOUT_MILLISECONDS = 3_000;

/** The reason why a stop no longer waits for requests. */
export const StopCause = {
  /** Every request had ended. */
  Drained: "drained",
  /** The drain limit passed. */
  DrainLimit: "drain-limit",
  /** A second signal arrived. */
  SecondSignal: "second-signal",
} as const;

/** One of the reasons why the wait for requests ended. */
export type StopCause = (typeof StopCause)[keyof typeof StopCause];

/** The steps of a stop, one function each. */
export interface StopSteps {
  /** Reports the host as not ready and asks callers to connect to another one. */
  markUnready: () => void;
  /** Closes the listener for callers and resolves when no request is open. */
  drainRequests: () => Promise<void>;
  /** Logs the requests that are aborted. */
  logAbortedRequests: () => void;
  /** Releases the standing, waits for running requests and publishes the leave. */
  publishLeave: () => Promise<unknown>;
  /** Resolves when claims and loans are handed over. */
  handOver: () => Promise<void>;
  /** Closes every socket. */
  close: () => void;
}

/** Options of `stopGracefully`. */
export interface GracefulStopOptions {
  /** The steps. */
  steps: StopSteps;
  /** How long the load balancer needs to notice that the host is not ready. */
  balancerDelayMilliseconds: number;
  /** The time after which requests that are still open are aborted. */
  drainLimitMilliseconds: number;
  /** Aborts the requests that are still open and skips the leave. */
  signal?: AbortSignal | undefined;
  /** The event log. */
  log: EventLog;
  /** Waits; uses the runtime's timers by default. */
  wait?: (milliseconds: number) => Promise<void>;
}

/** Stops: not ready, the balancer's delay, the end of open requests, the leave, the hand-over. */
export async function stopGracefully(options: GracefulStopOptions): Promise<StopCause> {
  const { steps, log } = options;
  const wait = options.wait ?? waitForTimer;
  const aborted = waitForAbort(options, wait(options.drainLimitMilliseconds));
  log("stopping", {
    balancerDelay: options.balancerDelayMilliseconds,
    drainLimit: options.drainLimitMilliseconds,
  });
  steps.markUnready();
  await Promise.race([wait(options.balancerDelayMilliseconds), aborted]);
  const drained = steps.drainRequests().then((): StopCause => StopCause.Drained);
  const cause = await Promise.race([drained, aborted]);
  if (cause !== StopCause.Drained) steps.logAbortedRequests();
  if (cause !== StopCause.SecondSignal) await leave(options);
  steps.close();
  log("stopped", { cause });
  return cause;
}

async function leave(options: GracefulStopOptions): Promise<void> {
  const { steps, log } = options;
  const hasLeft = steps.publishLeave().then(() => steps.handOver()).then(() => true);
  const deadline = (options.wait ?? waitForTimer)(LEAVE_TIMEOUT_MILLISECONDS).then(() => false);
  const timedOut = options.signal === undefined ? deadline : Promise.race([
    deadline,
    waitForAbortSignal(options.signal).then(() => false),
  ]);
  if (!await Promise.race([hasLeft, timedOut])) log("leave-unfinished");
}

/** Waits for the first cause to abort open requests: the drain limit or a second signal. */
function waitForAbort(options: GracefulStopOptions, limit: Promise<void>): Promise<StopCause> {
  const atDrainLimit = limit.then((): StopCause => StopCause.DrainLimit);
  const { signal } = options;
  if (signal === undefined) return atDrainLimit;
  return Promise.race([
    atDrainLimit,
    waitForAbortSignal(signal).then((): StopCause => StopCause.SecondSignal),
  ]);
}

function waitForTimer(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds).unref());
}

function waitForAbortSignal(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) =>
    signal.addEventListener("abort", () => resolve(), { once: true })
  );
}
