/** The data of a host in the fleet. */

/** The kinds of hosts: executors run requests, workers run tasks of jobs. */
export const HostKind = { Executor: "executor", Worker: "worker" } as const;

export type HostKind = (typeof HostKind)[keyof typeof HostKind];

/** The states of a host in a pool. */
export const HostState = {
  /** New work may start on it. */
  Serving: "serving",
  /**
   * The state of a drained host: it gets no new work, and counts against the budgets of its pool, zone
   * and rack. Work that was started before may still run until the host is idle.
   */
  Draining: "draining",
  /** It was moved and has not served its new pool yet; it counts against zone and rack only. */
  Joining: "joining",
} as const;

export type HostState = (typeof HostState)[keyof typeof HostState];

/** The properties of a host that do not change while it is enrolled. */
export interface HostDescription {
  host: string;
  /** Whether it is an executor or a worker. */
  kind: HostKind;
  /** The availability zone. */
  zone: string;
  /** The rack, whose hosts fail together. */
  rack: string;
  /** The IP address and port of its service. */
  address: string;
  /** The maximum number of requests that it executes at once. */
  slots: number;
  /** The maximum number of connections that it accepts. */
  connections: number;
  /** The number of processor cores. */
  cores: number;
  memoryGigabytes: number;
  /** The number of accelerators. */
  accelerators: number;
}

/** Why a host is drained; recorded so that any entry host can continue the procedure. */
export interface HostDrain {
  /** The maintenance for which it reboots, if any. */
  maintenance?: string | undefined;
  /** The boot count before the reboot; the host returns to work only after another boot. */
  boots?: number | undefined;
  /** The pool to which it moves, if any. */
  destination?: string | undefined;
}

/** The value of `maintainedAt` of a host that was never maintained. */
export const NEVER_MAINTAINED = -1;

/** The data of a host in the fleet. */
export interface HostData extends HostDescription {
  /** The one pool to which the host belongs. */
  pool: string;
  /** Its state in that pool. */
  state: HostState;
  /** The offset of the record that last changed it. */
  changedAt: number;
  /** The offset of its last return from maintenance, or `NEVER_MAINTAINED`. */
  maintainedAt: number;
  /** Why it is drained; absent while it is serving. */
  drain?: HostDrain | undefined;
}
