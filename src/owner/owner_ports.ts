/** What the owner of the fleet needs from the world: orders out, reports in. */

import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { RunEnd } from "../fleet/run.ts";

/** An order to start a run. */
export interface StartOrder {
  /** The executor. */
  executor: ExecutorEntry;
  /** The task's name. */
  task: string;
  /** The number of the run. */
  run: number;
  /** What the task is told to do. */
  text: string;
  /** The end of the lease, on the executor's clock. */
  deadline: number;
  /** The fence of the owner. */
  fence: number;
  /** The checkpoint to go on from, or empty. */
  checkpoint: string;
  /** The adviser's ticket, where one is needed. */
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

/** An order to let a run work at a part of its speed. */
export interface PaceOrder extends StopOrder {
  /** The part, in percent. */
  percent: number;
}

/** An order to extend the lease and report. */
export interface LookOrder {
  /** The executor. */
  executor: ExecutorEntry;
  /** The fence of the owner. */
  fence: number;
  /** The last end that may be forgotten. */
  acknowledged: number;
  /** The end of the lease on the executor's clock; 0 extends nothing. */
  deadline: number;
  /** How long the report may wait for an end, in milliseconds. */
  waitMilliseconds: number;
}

/** What became of an order. */
export const OrderOutcome = {
  /** It was carried out. */
  Done: "done",
  /** No answer came: it may be carried out, also later. */
  Unanswered: "unanswered",
  /** A higher fence was seen. */
  Fenced: "fenced",
  /** The run is not higher than one that was stopped or ended there. */
  Old: "old",
  /** The deadline had passed. */
  Late: "late",
  /** There was no room. */
  NoRoom: "no-room",
  /** The ticket was not valid. */
  NoTicket: "no-ticket",
  /** The executor is unwell and did nothing. */
  Unwell: "unwell",
  /** Another executor answers at the address. */
  Gone: "gone",
  /** The order was malformed. */
  Malformed: "malformed",
} as const;
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/** The answer to an order. */
export interface OrderAnswer {
  /** What became of it. */
  outcome: OrderOutcome;
  /** The executor's clock, in milliseconds, where the answer tells it. */
  executorTime?: number | undefined;
}

/** One row of what runs. */
export interface RunningRow {
  /** The task's name. */
  task: string;
  /** The number of the run. */
  run: number;
  /** The newest checkpoint, or empty. */
  checkpoint: string;
  /** The percentage of the work done. */
  percent: number;
  /** The tail of response times of a serving task in milliseconds, or the cpu in use. */
  usage: number;
}

/** One row of what has ended. */
export interface EndedRow {
  /** The number of the end in this life of the executor. */
  number: number;
  /** The task's name. */
  task: string;
  /** The number of the run. */
  run: number;
  /** How it ended. */
  end: RunEnd;
  /** The checkpoint it left, or empty. */
  checkpoint: string;
}

/** An executor's report. */
export interface LookReport {
  /** The start of the life that answered, in milliseconds since 1970; 0 where it does not say. */
  born: number;
  /** The executor's clock, in milliseconds. */
  executorTime: number;
  /** What runs. */
  running: readonly RunningRow[];
  /** What has ended and was not acknowledged. */
  ended: readonly EndedRow[];
}

/** The answer to a look. */
export type LookAnswer =
  | { outcome: typeof OrderOutcome.Done; report: LookReport }
  | { outcome: Exclude<OrderOutcome, typeof OrderOutcome.Done> };

/** One entry of the journal: the newest value of a key counts, and none drops the key. */
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
  /** The service whose pool it goes to. */
  pool: string;
  /** The fence of the owner. */
  fence: number;
}

/** What the owner's decisions do to the world. */
export interface OwnerPorts {
  /** Sends an order to start. */
  start: (order: StartOrder) => void;
  /** Sends an order to stop. */
  stop: (order: StopOrder) => void;
  /** Sends an order to change the pace. */
  pace: (order: PaceOrder) => void;
  /** Sends a look. */
  look: (order: LookOrder) => void;
  /** Asks the adviser which executors may run a step. */
  askAdvice: (step: string, executors: readonly string[]) => void;
  /** Asks for the provider's list of hosts. */
  listHosts: () => void;
  /** Sends an order to maintain a host. */
  maintain: (order: MaintainOrder) => void;
  /** Sends an order to move a host. */
  move: (order: MoveOrder) => void;
  /** Tells operators how far a wave is. */
  writeStatus: (wave: number, isCompleted: boolean) => void;
  /** Stores entries, all or nothing, and tells when they are stored. */
  write: (entries: JournalEntry[], onStored: () => void) => void;
}
