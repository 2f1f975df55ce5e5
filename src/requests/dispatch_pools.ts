/** All services as dispatch sees them, and the permits and slots that their requests could use. */

import type { Holder } from "../contracts/loans/holder.ts";
import { findKeeper, getPoolKeeperKey, getTeamResource } from "../contracts/loans/loan_resource.ts";
import type { Fleet } from "../records/fleet.ts";
import type { ShareAllotment, ShareDemand } from "../teams/share_messages.ts";
import { type BorrowRule, DispatchPool, type PoolExecutor } from "./dispatch_pool.ts";
import { DispatchShares } from "./dispatch_shares.ts";
import type { RunningRequest } from "./dispatch_running.ts";

/** Options of `DispatchPools`. */
export interface DispatchPoolsOptions {
  /** What this entry host holds. */
  holder: Holder;
  /** Decides whether a team may start beyond its part. */
  mayBorrow: BorrowRule;
}

/** The pools by service. */
export class DispatchPools {
  readonly #holder: Holder;
  readonly #mayBorrow: BorrowRule;
  readonly #pools = new Map<string, DispatchPool>();
  readonly #shares = DispatchShares.create();
  readonly #waitingByTeam = new Map<string, number>();
  #fleet: Fleet | undefined;
  #turn = 0;

  private constructor(options: DispatchPoolsOptions) {
    this.#holder = options.holder;
    this.#mayBorrow = options.mayBorrow;
  }

  /** Creates the pools of a fleet that is not known yet. */
  static create(options: DispatchPoolsOptions): DispatchPools {
    return new DispatchPools(options);
  }

  /** Follows the fleet. */
  setFleet(fleet: Fleet): void {
    this.#fleet = fleet;
    for (const pool of this.#pools.values()) pool.setFleet(fleet);
  }

  /** Gets the pool of a service. */
  get(service: string): DispatchPool {
    const known = this.#pools.get(service);
    if (known !== undefined) return known;
    const pool = DispatchPool.create({
      service,
      holder: this.#holder,
      mayBorrow: this.#mayBorrow,
      onWaitingChange: (team, change) => this.#noteWaiting(team, change),
    });
    if (this.#fleet !== undefined) pool.setFleet(this.#fleet);
    this.#pools.set(service, pool);
    return pool;
  }

  /** Gets all pools. */
  getAll(): IterableIterator<DispatchPool> {
    return this.#pools.values();
  }

  /** Gets the pools for which requests wait. */
  getWaiting(): DispatchPool[] {
    return [...this.#pools.values()].filter((pool) => pool.getWaitingCount() > 0);
  }

  /** Tells the holder how many permits the team of a request could use now. */
  reportTeamDemand(team: string): void {
    const holding = this.#holder.getHolding(getTeamResource(team));
    if (holding === undefined) return;
    const waiting = this.#waitingByTeam.get(team) ?? 0;
    this.#holder.setDemand(holding, holding.getUsed() + waiting);
  }

  /** Follows an allotment: the teams' parts are their weights here. */
  setAllotment(allotment: ShareAllotment, now: number): void {
    this.#shares.setAllotment(allotment, now);
    const pool = this.get(allotment.pool);
    for (const [team, part] of allotment.parts) {
      pool.getTeam(team).part = part;
      if (part > 0) pool.order.setWeight(team, part, false);
    }
    this.reportSlotDemand(pool, now);
  }

  /** Tells the holder how many slots the requests of a pool could use now. */
  reportSlotDemand(pool: DispatchPool, now: number): void {
    const executors = pool.getExecutors();
    const allotment = this.#shares.getAllotment(pool.service, now);
    const startable = this.#countStartable(pool);
    if (allotment !== undefined && startable > 0) {
      const { slots, first } = allotment;
      return this.#spread(executors, slots, first, () => 0);
    }
    this.#spread(executors, startable, this.#turn, ({ holding }) => holding.getUsed());
  }

  /** Ends a window of demand: what is wanted beyond what is held is asked of other executors. */
  endWindow(members: readonly string[], now: number): { to: string; message: ShareDemand }[] {
    this.#turn += 1;
    const told: { to: string; message: ShareDemand }[] = [];
    for (const pool of this.#pools.values()) {
      const message = this.#shares.takeDemand(pool, now);
      const to = findKeeper(members, getPoolKeeperKey(pool.service));
      if (message !== undefined && to !== undefined) told.push({ to, message });
      if (pool.getWaitingCount() > 0) this.reportSlotDemand(pool, now);
    }
    this.#holder.endWindow();
    return told;
  }

  /** Notes that a request has ended. */
  handleEnd(request: RunningRequest, now: number): void {
    const pool = this.get(request.service);
    const milliseconds = now - request.startedAt;
    pool.getTeam(request.team).running -= 1;
    pool.order.correct(request.team, request.charged, milliseconds);
    pool.times.add(milliseconds, now);
    this.reportTeamDemand(request.team);
    this.#holder.setDemand(request.slot, request.slot.getUsed());
    if (pool.getWaitingCount() > 0) this.reportSlotDemand(pool, now);
  }

  /** Wants a count of slots, spread over the executors from the first one on. */
  #spread(
    executors: readonly PoolExecutor[],
    count: number,
    first: number,
    getLeast: (executor: PoolExecutor) => number,
  ): void {
    const each = Math.floor(count / executors.length);
    const rest = count - each * executors.length;
    for (const [index, executor] of executors.entries()) {
      const place = (index - first % executors.length + executors.length) % executors.length;
      const wanted = getLeast(executor) + each + (place < rest ? 1 : 0);
      this.#holder.setDemand(executor.holding, wanted);
    }
  }

  /** Counts the requests that wait and that the upper limits of their teams would let start. */
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

  #noteWaiting(team: string, change: number): void {
    const waiting = (this.#waitingByTeam.get(team) ?? 0) + change;
    if (waiting === 0) this.#waitingByTeam.delete(team);
    else this.#waitingByTeam.set(team, waiting);
  }
}
