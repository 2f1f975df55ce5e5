/** The owner's ports: the orders that it sends and the answers that it gets. */

import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { RunEnd } from "../fleet/run.ts";

/** An order to start a run. */
export interface StartOrder {
  /** The executor. The order is sent to no other incarnation than `executor.born`. */
  executor: ExecutorEntry;
  /** The task's name. */
  task: string;
  /** The number of the run. */
  run: number;
  /** The job's text, passed to the task. */
  text: string;
  /** The end of the lease on the executor's clock, in milliseconds. */
  deadline: number;
  /** The fence of the owner. */
  fence: number;
  /** The checkpoint to resume from, or empty. */
  checkpoint: string;
  /** The adviser's ticket, if the start requires one. */
  ticket?: string | undefined;
}

/** An order to stop a run. */
export interface StopOrder {
  /** The executor. */
  executor: ExecutorEntry;
  /** The task's name. */
  task: string;
  /** The number of the run. */
  run: number;
  /** The fence of the owner. */
  fence: number;
}

/** An order to set the pace of a run. */
export interface PaceOrder extends StopOrder {
  /** The pace, in percent of full speed. */
  percent: number;
}

/** An order to extend the lease and return a report. */
export interface PollOrder {
  /** The executor. */
  executor: ExecutorEntry;
  /** The fence of the owner. */
  fence: number;
  /**
   * The number of the last end that the executor may discard. It reaches only the incarnation
   * `executor.born`, and is left out where the port can't tell which one would get it.
   */
  acknowledged: number;
  /** The end of the lease on the executor's clock, in milliseconds; 0 leaves the lease as it is. */
  deadline: number;
  /** How long the executor may hold its answer while no run ends, in milliseconds. */
  waitMilliseconds: number;
}

/** The outcome of an order. */
export const OrderOutcome = {
  /** The order was carried out. */
  Done: "done",
  /** No answer was received; the order may have been or may still be carried out. */
  Unanswered: "unanswered",
  /** No connection was made in time, so that the order was not sent and never will be. */
  NotSent: "not-sent",
  /** The executor has seen a higher fence. */
  Fenced: "fenced",
  /** The run number is not higher than that of a run that was stopped or ended there. */
  StaleRun: "old",
  /** The deadline had passed. */
  DeadlinePassed: "late",
  /** The executor had no free capacity. */
  NoCapacity: "no-room",
  /** The ticket was not valid. */
  NoTicket: "no-ticket",
  /** The executor is unhealthy and did nothing. */
  Unhealthy: "unwell",
  /** Another executor answers at the address. */
  WrongIncarnation: "gone",
  /** The order was malformed. */
  Malformed: "malformed",
} as const;
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/** The answer to an order. */
export interface OrderAnswer {
  /** The outcome of the order. */
  outcome: OrderOutcome;
  /** The executor's clock, in milliseconds, if the answer contains it. */
  executorTime?: number | undefined;
}

/** A running run in an executor's report. */
export interface ReportedRun {
  /** The task's name. */
  task: string;
  /** The number of the run. */
  run: number;
  /** The newest checkpoint, or empty. */
  checkpoint: string;
  /** The percentage of the work that is done. */
  percent: number;
  /** The tail latency of a serving task in milliseconds, or the CPU usage of any other task. */
  usage: number;
}

/** An ended run in an executor's report. */
export interface ReportedEnd {
  /** The sequence number of the end within this incarnation of the executor. */
  number: number;
  /** The task's name. */
  task: string;
  /** The number of the run. */
  run: number;
  /** How the run ended. */
  end: RunEnd;
  /** The checkpoint that the run left, or empty. */
  checkpoint: string;
}

/** The report that an executor returns to a poll. */
export interface ExecutorReport {
  /** When the answering incarnation started, in milliseconds since 1970; 0 if it is not reported. */
  born: number;
  /** The executor's clock, in milliseconds. */
  executorTime: number;
  /** The runs that are running. */
  running: readonly ReportedRun[];
  /** The runs that have ended and were not acknowledged yet, the earliest first. */
  ended: readonly ReportedEnd[];
  /** Whether `ended` has all of them; otherwise a run that is not reported may have ended. */
  hasAllEnds: boolean;
}

/** The answer to a poll. */
export type PollAnswer =
  | {
    outcome: typeof OrderOutcome.Done;
    /** The number of the last end that was acknowledged; 0 if the acknowledgement was left out. */
    acknowledged: number;
    report: ExecutorReport;
  }
  | { outcome: Exclude<OrderOutcome, typeof OrderOutcome.Done> };

/** A journal entry. The newest value of a key applies; an entry without a value deletes the key. */
export interface JournalEntry {
  /** The key. */
  key: string;
  /** The value. */
  value?: Uint8Array | undefined;
}

/** An order to maintain a host. */
export interface MaintainOrder {
  /** The host. */
  host: string;
  /** The wave. */
  wave: number;
  /** The fence of the owner. */
  fence: number;
}

/** An order to move a host to another pool. */
export interface MoveOrder {
  /** The host. */
  host: string;
  /** The service to whose pool the host moves. */
  pool: string;
  /** The fence of the owner. */
  fence: number;
}

/** Carries out the owner's decisions. */
export interface OwnerPorts {
  /** Sends a start order. */
  start: (order: StartOrder) => void;
  /** Sends a stop order. */
  stop: (order: StopOrder) => void;
  /** Sends a pace order. */
  pace: (order: PaceOrder) => void;
  /** Sends a poll. */
  poll: (order: PollOrder) => void;
  /** Asks the adviser which executors may run a step. */
  askAdvice: (step: string, executors: readonly string[]) => void;
  /** Requests the provider's host list. */
  listHosts: () => void;
  /** Sends a host maintenance order. */
  maintain: (order: MaintainOrder) => void;
  /** Sends a host move order. */
  move: (order: MoveOrder) => void;
  /** Writes the status of a wave for operators. */
  writeStatus: (wave: number, isCompleted: boolean) => void;
  /** Stores entries atomically, and calls back when they are stored or if they can't be. */
  write: (entries: JournalEntry[], onStored: () => void, onRejected?: () => void) => void;
}
