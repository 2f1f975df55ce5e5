/** One run of a task on an executor. */

/** How far a run has come. */
export const RunStage = {
  /** The start was sent and is not answered. */
  Ordered: "ordered",
  /** The answer to the start is overdue: it may be carried out late. */
  InDoubt: "in-doubt",
  /** The executor has it. */
  Running: "running",
  /** A stop was sent; the run may still be at work. */
  Stopping: "stopping",
} as const;
export type RunStage = typeof RunStage[keyof typeof RunStage];

/** How a run ended. */
export const RunEnd = {
  /** The task is done. */
  Done: "done",
  /** It failed, by its own fault or the executor's. */
  Failed: "failed",
  /** It was told to stop. */
  Stopped: "stopped",
  /** The executor's lease ran out. */
  Lapsed: "lapsed",
  /** Another member of its gang ended. */
  Broken: "broken",
  /** It waited too long for the other members of its gang. */
  Alone: "alone",
} as const;
export type RunEnd = typeof RunEnd[keyof typeof RunEnd];

/** One run. */
export interface Run {
  /** The task's name. */
  task: string;
  /** The number of the run, higher than all earlier ones of the task. */
  number: number;
  /** The executor's id. */
  executorId: string;
  /** How far it has come. */
  stage: RunStage;
  /** When the start was sent, on the steady clock. */
  orderedAt: number;
  /** When the executor was known to have it, on the steady clock. */
  confirmedAt: number;
  /** When a stop was answered, on the steady clock. */
  stopAnsweredAt?: number;
  /** When the last stop was sent, on the steady clock. */
  stopSentAt?: number;
  /** The end of the start's validity on the executor's clock. */
  startDeadline: number;
  /** The percentage of the work done that was last reported; 100 for a lasting task at work. */
  percent: number;
  /** When the percentage last changed, on the steady clock. */
  progressedAt: number;
  /** The share of its speed that a filler was last ordered to work at, in percent. */
  pace: number;
  /** Whether the executor is known to have that pace; an earlier owner may have set another. */
  isPaceKnown: boolean;
  /** When the pace was last ordered, on the steady clock. */
  pacedAt: number;
  /** The tail of response times of a serving task, in milliseconds; of others the cpu in use. */
  usage: number;
}
