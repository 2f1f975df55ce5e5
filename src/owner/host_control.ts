/** Tracks the provider's hosts, and empties them for moves and maintenance. */

import { type Executor, ExecutorRecordState } from "../fleet/executor.ts";
import { type Host, HostState } from "../fleet/host.ts";
import type { FleetState } from "./fleet_state.ts";
import { isDisruptionAllowed } from "./disruption_budget.ts";
import { isEligible } from "./placement.ts";
import { createHostOrderEntry, type EarlierHostOrders } from "./host_order_records.ts";
import type { JournalEntry } from "./owner_ports.ts";
import type { RunControl } from "./run_control.ts";

/** The number of short runs that a long-running task equals in the cost of emptying a host. */
const LONG_RUNNING_TASK_COST = 10;

export interface HostControlOptions {
  state: FleetState;
  runs: RunControl;
  /** The orders for hosts that earlier owners sent. */
  earlierOrders: EarlierHostOrders;
  /**
   * Until when, on the monotonic clock, runs of an earlier owner may exist on executors that have
   * not answered this one.
   */
  inDoubtUntil: number;
}

/** Reserves, empties and releases single hosts for planned actions. */
export class HostControl {
  readonly #state: FleetState;
  readonly #runs: RunControl;
  readonly #earlierOrders: EarlierHostOrders;
  readonly #inDoubtUntil: number;
  #hosts = new Map<string, Host>();
  #listRequestedAt = -Infinity;
  /** The purpose of the planned action that has reserved a host, by host. */
  readonly #reservations = new Map<string, string>();

  private constructor(options: HostControlOptions) {
    this.#state = options.state;
    this.#runs = options.runs;
    this.#earlierOrders = options.earlierOrders;
    this.#inDoubtUntil = options.inDoubtUntil;
  }

  static create(options: HostControlOptions): HostControl {
    return new HostControl(options);
  }

  /** Gets whether an order for a host may be sent: no order of an earlier owner blocks the host. */
  mayOrder(name: string): boolean {
    const { now, executors } = this.#state;
    return !this.#earlierOrders.isBlocked(name, now, executors);
  }

  /**
   * Creates the journal entry that must be stored immediately before each order for a host.
   *
   * A new owner fences the journal before it reads it. It therefore sees an entry for each host for
   * which an earlier owner may still send an order, and leaves that host alone for a while.
   */
  createOrderEntry(name: string): JournalEntry {
    const { fence, renewal, executors, now } = this.#state;
    return createHostOrderEntry({
      host: name,
      epoch: fence,
      renewal,
      executors: executors.values(),
      now,
    });
  }

  /** Sets the provider's list. A list that was requested before the current one is ignored. */
  setHosts(hosts: readonly Host[], requestedAt: number): void {
    if (requestedAt < this.#listRequestedAt) return;
    const previous = this.#hosts;
    this.#hosts = new Map(hosts.map((host) => [host.name, host]));
    this.#logChanges(previous);
    this.#listRequestedAt = requestedAt;
  }

  /** Gets when the list was requested, on the monotonic clock. It may lack any later change. */
  getListRequestedAt(): number {
    return this.#listRequestedAt;
  }

  getHosts(): ReadonlyMap<string, Host> {
    return this.#hosts;
  }

  /** Gets whether a host's executor is listed. Such a host exists even if the provider omits it. */
  hasListedExecutor(name: string): boolean {
    for (const { entry, isListed } of this.#state.executors.values()) {
      if (isListed && entry.host === name) return true;
    }
    return false;
  }

  getExecutor(host: Host): Executor | undefined {
    const named = this.#state.executors.get(host.executorId);
    if (named !== undefined) return named;
    for (const executor of this.#state.executors.values()) {
      if (executor.entry.host === host.name) return executor;
    }
    return undefined;
  }

  /**
   * Gets whether an executor has ended, according to the list: its host is moving, under
   * maintenance or has another executor.
   */
  hasLostHost(executor: Executor): boolean {
    const host = this.#hosts.get(executor.entry.host ?? "");
    switch (host?.state) {
      case HostState.Moving:
      case HostState.Maintenance:
        return true;
      case HostState.Up:
        return host.executorId !== "" && host.executorId !== executor.id;
      default:
        return false;
    }
  }

  /**
   * Marks the executors that their hosts no longer run, according to the list. A host that the list
   * omits runs none if its executor is not listed either.
   */
  markLostHosts(): void {
    for (const executor of this.#state.executors.values()) {
      const { host: name } = executor.entry;
      if (name === undefined) continue;
      const host = this.#hosts.get(name);
      const isDown = host === undefined ? !executor.isListed : host.state === HostState.Down;
      const isLost = isDown || this.hasLostHost(executor);
      executor.hostLostAsOf = isLost ? this.#listRequestedAt : -Infinity;
    }
  }

  /** Reserves a host for a planned action. Returns false if it is already reserved. */
  reserve(host: Host, purpose: string): boolean {
    if (this.#reservations.has(host.name)) return false;
    this.#reservations.set(host.name, purpose);
    return true;
  }

  isReserved(host: Host): boolean {
    return this.#reservations.has(host.name);
  }

  /** Ends the reservation of a host, and uncordons it. */
  release(name: string): void {
    this.#reservations.delete(name);
    const host = this.#hosts.get(name);
    const executor = host && this.getExecutor(host);
    if (executor === undefined || !executor.isCordoned) return;
    executor.isCordoned = false;
    this.#state.needsDispatch = true;
  }

  /**
   * Marks a host as one with pending maintenance, so that long-running tasks prefer other hosts.
   */
  markPendingMaintenance(host: Host): void {
    const executor = this.getExecutor(host);
    if (executor !== undefined) executor.hasPendingMaintenance = true;
  }

  /**
   * Gets whether each long-running task on a host is allowed on another executor of its service,
   * which may lack free capacity for now.
   */
  canMoveLongRunningTasks(host: Host): boolean {
    const state = this.#state;
    const executor = this.getExecutor(host);
    if (executor === undefined) return true;
    const rules = { evacuatedZones: state.evacuatedZones, now: state.now };
    const others = [...state.getExecutorsOf(executor.entry.service)]
      .filter((other) => other !== executor);
    return [...executor.runs.values()].every(({ task }) =>
      !task.step.specification.isLasting || others.some((other) => isEligible(other, task, rules))
    );
  }

  /** Cordons a host: no tasks start there. */
  cordon(host: Host): void {
    const executor = this.getExecutor(host);
    if (executor !== undefined) executor.isCordoned = true;
  }

  /** Cordons a host, and stops its long-running tasks as disruption budgets allow. */
  empty(host: Host): void {
    const executor = this.getExecutor(host);
    if (executor === undefined) return;
    executor.isCordoned = true;
    for (const assigned of executor.runs.values()) {
      if (!assigned.task.step.specification.isLasting) continue;
      if (isDisruptionAllowed(this.#state, assigned.task)) {
        this.#runs.stop(executor, assigned, "host is being emptied");
      }
    }
  }

  /** Stops the remaining runs on a host that disruption budgets allow to be stopped. */
  stopRemainingRuns(host: Host): void {
    const executor = this.getExecutor(host);
    if (executor === undefined) return;
    for (const assigned of executor.runs.values()) {
      if (isDisruptionAllowed(this.#state, assigned.task)) {
        this.#runs.stop(executor, assigned, "emptying grace period expired");
      }
    }
  }

  /**
   * Gets whether a host has no runs, and no run of an earlier owner can be there or still start.
   */
  isEmpty(host: Host): boolean {
    const executor = this.getExecutor(host);
    if (executor === undefined) return true;
    return this.#areRunsKnown(executor) && executor.runs.size === 0 &&
      executor.orphanRunCount === 0;
  }

  /**
   * Gets the cost of emptying a host, in runs. Long-running tasks are stopped one at a time and
   * count more.
   */
  getEmptyingCost(host: Host): number {
    let cost = 0;
    for (const { task } of this.getExecutor(host)?.runs.values() ?? []) {
      cost += task.step.specification.isLasting ? LONG_RUNNING_TASK_COST : 1;
    }
    return cost;
  }

  isUp(host: Host): boolean {
    return host.state === HostState.Up;
  }

  /** Logs the hosts that appeared or disappeared since the previous list, if there was one. */
  #logChanges(previous: ReadonlyMap<string, Host>): void {
    if (this.#listRequestedAt === -Infinity) return;
    const listAge = Math.round(this.#state.now - this.#listRequestedAt);
    const fields = { listed: this.#hosts.size, listAge };
    for (const { name, pool, state } of this.#hosts.values()) {
      if (!previous.has(name)) {
        this.#state.log("host-listed", { host: name, pool, state, ...fields });
      }
    }
    for (const { name, pool, state } of previous.values()) {
      if (this.#hosts.has(name)) continue;
      this.#state.log("host-not-listed", { host: name, pool, state, ...fields });
    }
  }

  /** Gets whether an executor has reported the runs of earlier owners, or can't have any. */
  #areRunsKnown(executor: Executor): boolean {
    const mayHaveRuns = executor.record === ExecutorRecordState.Stored;
    return executor.hasReportedAll || !mayHaveRuns || this.#state.now >= this.#inDoubtUntil;
  }
}
