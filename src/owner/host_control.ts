/** Empties hosts for planned actions, and knows which are where. */

import { type Executor, ExecutorRecord } from "../fleet/executor.ts";
import { type Host, HostState } from "../fleet/host.ts";
import type { FleetState } from "./fleet_state.ts";
import { mayBeStopped } from "./lasting_budget.ts";
import { createHostOrderEntry, type EarlierHostOrders } from "./host_order_records.ts";
import type { JournalEntry } from "./owner_ports.ts";
import type { RunControl } from "./run_control.ts";

/** How many short runs a lasting one counts for when hosts are chosen to be emptied. */
const LASTING_BURDEN = 10;

/** Options of a `HostControl`. */
export interface HostControlOptions {
  /** The state. */
  state: FleetState;
  /** The decisions about runs. */
  runs: RunControl;
  /** The orders for hosts that earlier owners gave. */
  earlierOrders: EarlierHostOrders;
  /** Until when on the steady clock an earlier owner's starts may run where this one cannot look. */
  doubtUntil: number;
}

/** The decisions about single hosts. */
export class HostControl {
  readonly #state: FleetState;
  readonly #runs: RunControl;
  readonly #earlierOrders: EarlierHostOrders;
  readonly #doubtUntil: number;
  #hosts = new Map<string, Host>();
  #listedAt = -Infinity;
  /** The hosts that a planned action has for itself, with what it is. */
  readonly #reserved = new Map<string, string>();

  private constructor(options: HostControlOptions) {
    this.#state = options.state;
    this.#runs = options.runs;
    this.#earlierOrders = options.earlierOrders;
    this.#doubtUntil = options.doubtUntil;
  }

  /** Creates the decisions on a state. */
  static create(options: HostControlOptions): HostControl {
    return new HostControl(options);
  }

  /** Gets whether a host may be ordered: not soon after an earlier owner ordered the same one. */
  mayOrder(name: string): boolean {
    const { now, executors } = this.#state;
    return !this.#earlierOrders.isBinding(name, now, executors);
  }

  /**
   * Gets the entry that must be stored right before each order for a host.
   *
   * A later owner has fenced the journal before it reads it, so it knows of every host that an
   * earlier one may still order, and leaves those alone for a while.
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

  /** Sets the provider's list, whose reading began at a time; one that was overtaken is dropped. */
  setHosts(hosts: readonly Host[], readSince: number): void {
    if (readSince < this.#listedAt) return;
    const before = this.#hosts;
    this.#hosts = new Map(hosts.map((host) => [host.name, host]));
    this.#logChanges(before);
    this.#listedAt = readSince;
  }

  /** Gets when the reading of the list began, on the steady clock: what came later is not in it. */
  getListedAt(): number {
    return this.#listedAt;
  }

  /** Gets the hosts by name. */
  getHosts(): ReadonlyMap<string, Host> {
    return this.#hosts;
  }

  /** Gets whether an executor of a host is listed: such a host stays, whatever the provider lists. */
  hasListedExecutor(name: string): boolean {
    for (const { entry, isListed } of this.#state.executors.values()) {
      if (isListed && entry.host === name) return true;
    }
    return false;
  }

  /** Gets the executor on a host. */
  getExecutor(host: Host): Executor | undefined {
    const named = this.#state.executors.get(host.executorId);
    if (named !== undefined) return named;
    for (const executor of this.#state.executors.values()) {
      if (executor.entry.host === host.name) return executor;
    }
    return undefined;
  }

  /** Gets whether the list shows that an executor's life is over: its host is away or has another. */
  isTaken(executor: Executor): boolean {
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

  /** Reserves a host for a planned action, unless another one has it. */
  reserve(host: Host, purpose: string): boolean {
    if (this.#reserved.has(host.name)) return false;
    this.#reserved.set(host.name, purpose);
    return true;
  }

  /** Gets whether a planned action has a host. */
  isReserved(host: Host): boolean {
    return this.#reserved.has(host.name);
  }

  /** Ends a planned action: tasks may start on the host again. */
  release(name: string): void {
    this.#reserved.delete(name);
    const host = this.#hosts.get(name);
    const executor = host && this.getExecutor(host);
    if (executor === undefined || !executor.isClosed) return;
    executor.isClosed = false;
    this.#state.needsDispatch = true;
  }

  /** Marks a host that is to be emptied later, so that lasting tasks rather go elsewhere. */
  markDue(host: Host): void {
    const executor = this.getExecutor(host);
    if (executor !== undefined) executor.isDue = true;
  }

  /** Lets nothing more start on a host, and stops the lasting tasks there as their budgets allow. */
  empty(host: Host): void {
    const executor = this.getExecutor(host);
    if (executor === undefined) return;
    executor.isClosed = true;
    for (const assigned of executor.runs.values()) {
      if (!assigned.task.step.specification.isLasting) continue;
      if (mayBeStopped(this.#state, assigned.task)) {
        this.#runs.stop(executor, assigned, "the host is emptied");
      }
    }
  }

  /** Stops everything that is left on a host, as far as budgets allow. */
  clear(host: Host): void {
    const executor = this.getExecutor(host);
    if (executor === undefined) return;
    for (const assigned of executor.runs.values()) {
      if (mayBeStopped(this.#state, assigned.task)) {
        this.#runs.stop(executor, assigned, "the host is cleared");
      }
    }
  }

  /** Gets whether nothing runs on a host, as far as that is known, and nothing can start there. */
  isEmpty(host: Host): boolean {
    const executor = this.getExecutor(host);
    if (executor === undefined) return true;
    return this.#isKnown(executor) && executor.runs.size === 0 && executor.strayCount === 0;
  }

  /** Gets how much work is on a host, in runs; lasting ones count more, since they move one by one. */
  getBurden(host: Host): number {
    let burden = 0;
    for (const { task } of this.getExecutor(host)?.runs.values() ?? []) {
      burden += task.step.specification.isLasting ? LASTING_BURDEN : 1;
    }
    return burden;
  }

  /** Gets whether a host serves in its pool. */
  isUp(host: Host): boolean {
    return host.state === HostState.Up;
  }

  /** Logs which hosts have come and gone since the list before, unless this list is the first. */
  #logChanges(before: ReadonlyMap<string, Host>): void {
    if (this.#listedAt === -Infinity) return;
    const listAge = Math.round(this.#state.now - this.#listedAt);
    const fields = { listed: this.#hosts.size, listAge };
    for (const { name, pool, state } of this.#hosts.values()) {
      if (!before.has(name)) this.#state.log("host-listed", { host: name, pool, state, ...fields });
    }
    for (const { name, pool, state } of before.values()) {
      if (this.#hosts.has(name)) continue;
      this.#state.log("host-not-listed", { host: name, pool, state, ...fields });
    }
  }

  /** Gets whether an executor has told this owner what earlier ones started there, if any did. */
  #isKnown(executor: Executor): boolean {
    const mayBeUsed = executor.record === ExecutorRecord.Stored;
    return executor.isFenced || !mayBeUsed || this.#state.now >= this.#doubtUntil;
  }
}
