/** A harness that tests an owner in isolation: it records the orders, and stores entries at the end of each step. */

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
  type StopOrder,
} from "../owner/owner_ports.ts";
import { DEFAULT_CAPACITY_POLICY } from "../owner/pool_need.ts";
import type { SchedulingFeatures } from "../owner/scheduling_features.ts";
import { JOB_LIMITS } from "./fleet_fixtures.ts";

/** The time between two steps, in milliseconds: the owner's tick interval. */
const STEP_MILLISECONDS = 25;

/** Options of `createOwnerHarness`. */
export interface OwnerHarnessOptions {
  configuration: Configuration;
  /** The listed executors. */
  executors: readonly ExecutorEntry[];
  /** The jobs stored by earlier owners. */
  jobs?: readonly Job[];
  /** The entries stored by earlier owners, by key. */
  stored?: readonly (readonly [string, Uint8Array])[];
  /** The memory for jobs, in bytes; no limit if unset. */
  maximumJobBytes?: number;
  /** Gets whether the store answers, so that written entries count as stored; it does by default. */
  isStoreUp?: () => boolean;
  /** The scheduling features that are on; none by default. */
  features?: SchedulingFeatures;
  /** How long the starts of earlier owners are in doubt, in milliseconds. */
  inDoubtMilliseconds?: number;
  /** The same at executors that their hosts no longer run, in milliseconds. */
  lostInDoubtMilliseconds?: number;
}

/** An owner with the orders that it has issued. */
export interface OwnerHarness {
  owner: FleetOwner;
  /** The start orders. */
  starts: readonly StartOrder[];
  /** The stop orders. */
  stops: readonly StopOrder[];
  /** The orders to move hosts. */
  moves: readonly MoveOrder[];
  /** The job steps for which advice was requested. */
  adviceRequests: readonly string[];
  /** The stored entries, by key. */
  journal: ReadonlyMap<string, Uint8Array>;
  /** Gets the size of the values that were written and are not stored yet, in bytes. */
  getPendingBytes: () => number;
  /** Advances the time by one step, and runs an action before the owner's tick. */
  advance: (action?: () => void) => void;
  /** Answers a poll of an executor with a report without runs. */
  reportNoRuns: (executor: ExecutorEntry) => void;
}

/** Creates an owner whose orders are recorded but not carried out. */
export function createOwnerHarness(options: OwnerHarnessOptions): OwnerHarness {
  const ignore = () => {};
  const starts: StartOrder[] = [];
  const stops: StopOrder[] = [];
  const moves: MoveOrder[] = [];
  const adviceRequests: string[] = [];
  const journal = new Map(options.stored);
  let callbacks: (() => void)[] = [];
  let pendingBytes = 0;
  const ports: OwnerPorts = {
    start: (order) => starts.push(order),
    stop: (order) => stops.push(order),
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
        pendingBytes += value?.length ?? 0;
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
      longestLeaseMilliseconds: 10_000,
      jobLimits: JOB_LIMITS,
      maximumJobBytes: options.maximumJobBytes,
      earlierLeases: { reckonedMilliseconds: 0, longestMilliseconds: 0 },
      offRackFactor: 1,
    },
    features: options.features,
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
    lostInDoubtMilliseconds: options.lostInDoubtMilliseconds ?? options.inDoubtMilliseconds ?? 0,
  });
  let now = 0;
  const advance = (action = ignore) => {
    now += STEP_MILLISECONDS;
    owner.setContext({
      now,
      timeOfDay: now,
      renewal: 1,
      mayStart: true,
      mayExtend: true,
      leaseMilliseconds: 3_000,
    });
    action();
    owner.tick();
    owner.flush();
    if (options.isStoreUp?.() === false) return;
    const pendingCallbacks = callbacks;
    callbacks = [];
    pendingBytes = 0;
    for (const callback of pendingCallbacks) callback();
  };
  const reportNoRuns = ({ id, born }: ExecutorEntry) => {
    const report = { born, executorTime: now, running: [], ended: [], hasAllEnds: true };
    const answer = { outcome: OrderOutcome.Done, acknowledged: 0, report };
    advance(() => owner.handlePollAnswer(id, now, answer));
  };
  return {
    owner,
    starts,
    stops,
    moves,
    adviceRequests,
    journal,
    getPendingBytes: () => pendingBytes,
    advance,
    reportNoRuns,
  };
}
