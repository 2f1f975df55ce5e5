/** The dispatch pools of all services, and their demand for permits and slots. */

import type { Holder } from "../contracts/loans/holder.ts";
import { findKeeper, getPoolKeeperKey, getTeamResource } from "../contracts/loans/loan_resource.ts";
import type { Fleet } from "../records/fleet.ts";
import type { ShareAllotment, ShareDemand } from "../teams/share_messages.ts";
import { DispatchPool, type MayExceedAllotment, type PoolExecutor } from "./dispatch_pool.ts";
import { DispatchShares } from "./dispatch_shares.ts";
import type { RunningRequest } from "./dispatch_running.ts";

/** Options of `DispatchPools`. */
export interface DispatchPoolsOptions {
  /** The permits that this entry host holds. */
  holder: Holder;
  /** Decides whether a team may start another request under its allotment. */
  mayExceedAllotment: MayExceedAllotment;
}

/** The dispatch pools by service. */
export class DispatchPools {
  readonly #holder: Holder;
  readonly #mayExceedAllotment: MayExceedAllotment;
  readonly #pools = new Map<string, DispatchPool>();
  readonly #shares = DispatchShares.create();
  readonly #waitingByTeam = new Map<string, number>();
  #fleet: Fleet | undefined;
  #windowIndex = 0;

  private constructor(options: DispatchPoolsOptions) {
    this.#holder = options.holder;
    this.#mayExceedAllotment = options.mayExceedAllotment;
  }

  /** Creates the set of pools, without a fleet. */
  static create(options: DispatchPoolsOptions): DispatchPools {
    return new DispatchPools(options);
  }

  setFleet(fleet: Fleet): void {
    this.#fleet = fleet;
    for (const pool of this.#pools.values()) pool.setFleet(fleet);
  }

  /** Gets the pool of a service, creating it if needed. */
  get(service: string): DispatchPool {
    const known = this.#pools.get(service);
    if (known !== undefined) return known;
    const pool = DispatchPool.create({
      service,
      holder: this.#holder,
      mayExceedAllotment: this.#mayExceedAllotment,
      onWaitingChange: (team, change) => this.#addWaiting(team, change),
    });
    if (this.#fleet !== undefined) pool.setFleet(this.#fleet);
    this.#pools.set(service, pool);
    return pool;
  }

  getAll(): IterableIterator<DispatchPool> {
    return this.#pools.values();
  }

  /** Gets the pools with waiting requests. */
  getWaiting(): DispatchPool[] {
    return [...this.#pools.values()].filter((pool) => pool.getWaitingCount() > 0);
  }

  /** Updates the holder's demand for permits of a team. */
  updateTeamDemand(team: string): void {
    const holding = this.#holder.getHolding(getTeamResource(team));
    if (holding === undefined) return;
    const waiting = this.#waitingByTeam.get(team) ?? 0;
    this.#holder.setDemand(holding, holding.getUsed() + waiting);
  }

  /** Sets the allotment of a pool. The allotted slots of the teams become their weights. */
  setAllotment(allotment: ShareAllotment, now: number): void {
    this.#shares.setAllotment(allotment, now);
    const pool = this.get(allotment.pool);
    for (const [team, part] of allotment.parts) {
      pool.getTeam(team).part = part;
      if (part > 0) pool.order.setWeight(team, part, false);
    }
    this.updateSlotDemand(pool, now);
  }

  /** Updates the holder's demand for slots on the executors of a pool. */
  updateSlotDemand(pool: DispatchPool, now: number): void {
    const executors = pool.getExecutors();
    const allotment = this.#shares.getAllotment(pool.service, now);
    const startable = this.#countStartable(pool);
    if (allotment !== undefined && startable > 0) {
      const { slots, first } = allotment;
      return this.#spreadDemand(executors, slots, first, () => 0);
    }
    this.#spreadDemand(executors, startable, this.#windowIndex, ({ holding }) => holding.getUsed());
  }

  /** Ends a demand window, and gets the demand messages to the keepers. Unmet demand moves on to other executors. */
  endWindow(members: readonly string[], now: number): { to: string; message: ShareDemand }[] {
    this.#windowIndex += 1;
    const messages: { to: string; message: ShareDemand }[] = [];
    for (const pool of this.#pools.values()) {
      const message = this.#shares.takeDemand(pool, now);
      const to = findKeeper(members, getPoolKeeperKey(pool.service));
      if (message !== undefined && to !== undefined) messages.push({ to, message });
      if (pool.getWaitingCount() > 0) this.updateSlotDemand(pool, now);
    }
    this.#holder.endWindow();
    return messages;
  }

  /** Records the release of a request's permit and slot. */
  recordRelease(request: RunningRequest, now: number): void {
    const pool = this.get(request.service);
    const milliseconds = now - request.startedAt;
    pool.getTeam(request.team).running -= 1;
    pool.order.correct(request.team, request.charged, milliseconds);
    pool.times.add(milliseconds, now);
    this.updateTeamDemand(request.team);
    this.#holder.setDemand(request.executorHolding, request.executorHolding.getUsed());
    if (pool.getWaitingCount() > 0) this.updateSlotDemand(pool, now);
  }

  /** Sets the demand for a number of slots, spread over the executors beginning with the one at index `first`. */
  #spreadDemand(
    executors: readonly PoolExecutor[],
    count: number,
    first: number,
    getMinimum: (executor: PoolExecutor) => number,
  ): void {
    const each = Math.floor(count / executors.length);
    const rest = count - each * executors.length;
    for (const [index, executor] of executors.entries()) {
      const place = (index - first % executors.length + executors.length) % executors.length;
      const demand = getMinimum(executor) + each + (place < rest ? 1 : 0);
      this.#holder.setDemand(executor.holding, demand);
    }
  }

  /** Counts the waiting requests that could start under the upper limits of their teams. */
  #countStartable(pool: DispatchPool): number {
    let count = 0;
    for (const { team, queue } of pool.getWaitingTeams()) {
      const name = getTeamResource(team);
      const limit = this.#holder.getCatalog().resources.get(name)?.limit ?? 0;
      const used = this.#holder.getHolding(name)?.getUsed() ?? 0;
      count += Math.max(0, Math.min(queue.getLength(), limit - used));
    }
    return count;
  }

  #addWaiting(team: string, change: number): void {
    const waiting = (this.#waitingByTeam.get(team) ?? 0) + change;
    if (waiting === 0) this.#waitingByTeam.delete(team);
    else this.#waitingByTeam.set(team, waiting);
  }
}
