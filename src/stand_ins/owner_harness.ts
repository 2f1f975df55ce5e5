/** An owner by itself for tests: its orders are kept, and its entries are stored at the next step. */

import type { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { Job } from "../fleet/job.ts";
import { FleetOwner } from "../owner/fleet_owner.ts";
import { EarlierHostOrders } from "../owner/host_order_records.ts";
import {
  type MoveOrder,
  OrderOutcome,
  type OwnerPorts,
  type StartOrder,
} from "../owner/owner_ports.ts";
import { DEFAULT_CAPACITY_POLICY } from "../owner/pool_need.ts";

/** How far time goes at a step, in milliseconds: the owner's own. */
const STEP_MILLISECONDS = 25;

/** Options of `createLoneOwner`. */
export interface OwnerHarnessOptions {
  /** The configuration. */
  configuration: Configuration;
  /** The executors that are listed. */
  executors: readonly ExecutorEntry[];
  /** The jobs that earlier owners stored. */
  jobs?: readonly Job[];
  /** What earlier owners stored, by key. */
  stored?: readonly (readonly [string, Uint8Array])[];
  /** How long an earlier owner's starts may still run, in milliseconds. */
  inDoubtMilliseconds?: number;
}

/** An owner, and what it has ordered. */
export interface OwnerHarness {
  /** The owner. */
  owner: FleetOwner;
  /** The starts. */
  starts: readonly StartOrder[];
  /** The moves of hosts. */
  moves: readonly MoveOrder[];
  /** The steps that the adviser was asked for. */
  adviceRequests: readonly string[];
  /** What is stored, by key. */
  journal: ReadonlyMap<string, Uint8Array>;
  /** Lets something happen, and a step of time pass. */
  advance: (act?: () => void) => void;
  /** Lets an executor answer that nothing runs there. */
  reportNoRuns: (executor: ExecutorEntry) => void;
}

/** Creates an owner whose orders go nowhere. */
export function createOwnerHarness(options: OwnerHarnessOptions): OwnerHarness {
  const ignore = () => {};
  const starts: StartOrder[] = [];
  const moves: MoveOrder[] = [];
  const adviceRequests: string[] = [];
  const journal = new Map(options.stored);
  let callbacks: (() => void)[] = [];
  const ports: OwnerPorts = {
    start: (order) => starts.push(order),
    stop: ignore,
    pace: ignore,
    poll: ignore,
    askAdvice: (step) => adviceRequests.push(step),
    listHosts: ignore,
    maintain: ignore,
    move: (order) => moves.push(order),
    writeStatus: ignore,
    write: (entries, onStored) => {
      for (const { key, value } of entries) {
        if (value === undefined) journal.delete(key);
        else journal.set(key, value);
      }
      callbacks.push(onStored);
    },
  };
  const stored = options.stored ?? [];
  const owner = FleetOwner.create({
    fence: 1,
    limits: {
      retentionMilliseconds: 1_000,
      stopMilliseconds: 900,
      earlierLeaseMilliseconds: 0,
      offRackFactor: 1,
    },
    ports,
    log: ignore,
    startedAt: 0,
    timeOfDay: 0,
    configuration: options.configuration,
    jobs: options.jobs ?? [],
    executors: options.executors,
    stored,
    capacityPolicy: DEFAULT_CAPACITY_POLICY,
    earlierHostOrders: EarlierHostOrders.create({
      stored,
      previousClaim: undefined,
      leaseMilliseconds: 1,
      startedAt: 0,
    }),
    maintenanceMilliseconds: 0,
    inDoubtMilliseconds: options.inDoubtMilliseconds ?? 0,
  });
  let now = 0;
  const advance = (act = ignore) => {
    now += STEP_MILLISECONDS;
    owner.setContext({
      now,
      timeOfDay: now,
      renewal: 1,
      mayStart: true,
      mayExtend: true,
      leaseMilliseconds: 3_000,
    });
    act();
    owner.tick();
    owner.flush();
    const due = callbacks;
    callbacks = [];
    for (const callback of due) callback();
  };
  const reportNoRuns = ({ id, born }: ExecutorEntry) => {
    const report = { born, executorTime: now, running: [], ended: [] };
    advance(() => owner.handlePollAnswer(id, now, { outcome: OrderOutcome.Done, report }));
  };
  return {
    owner,
    starts,
    moves,
    adviceRequests: adviceRequests,
    journal,
    advance,
    reportNoRuns: reportNoRuns,
  };
}
