/** The graceful stop of an entry host: the steps in their order, and how each one ends early. */

import type { EventLog } from "../events/mod.ts";

/** The longest time in which the leave is recorded and what is held is handed over. */
const LEAVE_TIMEOUT_MILLISECONDS = 3_000;

/** Why a stop did not wait for its requests. */
export const StopCause = {
  /** Every request had ended. */
  Drained: "drained",
  /** The drain limit passed. */
  DrainLimit: "drain-limit",
  /** A second signal came. */
  SecondSignal: "second-signal",
} as const;

/** One of the causes for which a stop goes on. */
export type StopCause = (typeof StopCause)[keyof typeof StopCause];

/** What a stop does, one function for each step. */
export interface StopSteps {
  /** Says "not ready" and asks callers to connect elsewhere. */
  markUnready: () => void;
  /** Closes the listener for callers, and resolves when no request is open. */
  drainRequests: () => Promise<void>;
  /** Logs the requests that are cut. */
  logAbortedRequests: () => void;
  /** Records that the host leaves the roster. */
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
  /** How long the balancer needs to see that the host is not ready. */
  balancerDelayMilliseconds: number;
  /** The longest time from now until requests are cut. */
  drainLimitMilliseconds: number;
  /** Cuts the rest short. */
  signal?: AbortSignal | undefined;
  /** The log of events. */
  log: EventLog;
  /** Waits; the runtime's clock when left out. */
  wait?: (milliseconds: number) => Promise<void>;
}

/** Stops: unready, the balancer's delay, the end of running requests, the leave, the hand-over. */
export async function stopGracefully(options: GracefulStopOptions): Promise<StopCause> {
  const { steps, log } = options;
  const pause = options.wait ?? wait;
  const cut = createCut(options, pause(options.drainLimitMilliseconds));
  log("stopping", {
    balancerDelay: options.balancerDelayMilliseconds,
    drainLimit: options.drainLimitMilliseconds,
  });
  steps.markUnready();
  await Promise.race([pause(options.balancerDelayMilliseconds), cut]);
  const drained = steps.drainRequests().then((): StopCause => StopCause.Drained);
  const cause = await Promise.race([drained, cut]);
  if (cause !== StopCause.Drained) steps.logAbortedRequests();
  if (cause !== StopCause.SecondSignal) await leave(options);
  steps.close();
  log("stopped", { cause });
  return cause;
}

async function leave(options: GracefulStopOptions): Promise<void> {
  const { steps, log } = options;
  const hasLeft = steps.publishLeave().then(() => steps.handOver()).then(() => true);
  const deadline = (options.wait ?? wait)(LEAVE_TIMEOUT_MILLISECONDS).then(() => false);
  const late = options.signal === undefined ? deadline : Promise.race([
    deadline,
    once(options.signal).then(() => false),
  ]);
  if (!await Promise.race([hasLeft, late])) log("leave-unfinished");
}

/** Gets what cuts the requests that still run: the drain limit or a second signal. */
function createCut(options: GracefulStopOptions, limit: Promise<void>): Promise<StopCause> {
  const atLimit = limit.then((): StopCause => StopCause.DrainLimit);
  const { signal } = options;
  if (signal === undefined) return atLimit;
  return Promise.race([atLimit, once(signal).then((): StopCause => StopCause.SecondSignal)]);
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds).unref());
}

function once(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) =>
    signal.addEventListener("abort", () => resolve(), { once: true })
  );
}
