/** Runs: single executions of a task on an executor. */

/** The stage of a run. */
export const RunStage = {
  /** The start order was sent and has not been answered. */
  Ordered: "ordered",
  /** The answer to the start order is overdue; the order may still be carried out. */
  StartUnanswered: "in-doubt",
  /** The executor has confirmed the run. */
  Running: "running",
  /** A stop order was sent; the run may still be executing. */
  Stopping: "stopping",
} as const;
export type RunStage = typeof RunStage[keyof typeof RunStage];

/** How a run ended. */
export const RunEnd = {
  /** The task is completed. */
  Done: "done",
  /** It failed, either by itself or because of the executor. */
  Failed: "failed",
  /** It was stopped by an order. */
  Stopped: "stopped",
  /** The executor's lease expired. */
  LeaseExpired: "lapsed",
  /** Another task of its gang ended. */
  GangMemberEnded: "broken",
  /** The wait for the other tasks of its gang timed out. */
  GangWaitTimedOut: "alone",
} as const;
export type RunEnd = typeof RunEnd[keyof typeof RunEnd];

/** A single execution of a task on an executor. */
export interface Run {
  /** The task's name. */
  task: string;
  /** The run number, higher than those of all earlier runs of the task. */
  number: number;
  /** The executor's id. */
  executorId: string;
  /** The stage. */
  stage: RunStage;
  /** When the start order was sent, on the monotonic clock. */
  orderedAt: number;
  /** When the executor confirmed the run, on the monotonic clock; 0 before. */
  confirmedAt: number;
  /**
   * Whether a report of the executor has listed the run. Only a report names its incarnation: an
   * answer to an order may come from the next one.
   */
  isReported: boolean;
  /**
   * Whether an answer shows that the run is in the incarnation whose clock is known, so that its
   * lease ends by that clock.
   */
  isLeaseKnown: boolean;
  /**
   * When the start order was answered or given up, on the monotonic clock; undefined while it may
   * still be sent.
   */
  startSettledAt?: number;
  /** When a stop order was answered, on the monotonic clock. */
  stopAnsweredAt?: number;
  /** When the last stop order was sent, on the monotonic clock. */
  stopSentAt?: number;
  /**
   * The deadline for carrying out the start order, on the executor's clock; `Infinity` if the clock
   * was that of an earlier incarnation.
   */
  startDeadline: number;
  /** The last reported progress, in percent; 100 for a long-running task that is up. */
  percent: number;
  /** When the progress last changed, on the monotonic clock. */
  progressedAt: number;
  /** The last ordered pace of a best-effort run (filler), in percent of full speed. */
  pace: number;
  /** Whether the executor has confirmed `pace`; an earlier owner may have set another. */
  isPaceKnown: boolean;
  /** When a pace was last ordered, on the monotonic clock. */
  pacedAt: number;
  /**
   * What the executor reports: for a serving task (one with `tailMilliseconds`) the tail latency in
   * milliseconds, otherwise the CPU in use.
   */
  usage: number;
}
