/** One service as dispatch sees it: who waits for it, in which order, and on what it can run. */

import { getExecutorResource, getTeamResource } from "../contracts/loans/loan_resource.ts";
import type { Holder } from "../contracts/loans/holder.ts";
import type { Holding } from "../contracts/loans/holding.ts";
import type { ExecutorCandidate } from "../machines/executor_choice.ts";
import type { Host } from "../machines/host.ts";
import type { ProfileData, TeamRights } from "../profiles/profile_data.ts";
import type { Fleet } from "../records/fleet.ts";
import { FairOrder } from "../teams/fair_order.ts";
import type { Access } from "../teams/access.ts";
import { DispatchQueue, type WaitingRequest } from "./dispatch_queue.ts";
import { RefusalReason } from "./refusal.ts";
import { ServiceTimes } from "./dispatch_service_times.ts";

/** An executor of the pool with what this entry host holds of it. */
export interface PoolExecutor extends ExecutorCandidate {
  /** The executor. */
  host: Host;
  /** The slots that this entry host may still use on it. */
  freeSlots: number;
  /** The requests of this entry host that run on it. */
  running: number;
  /** The slots that this entry host holds. */
  holding: Holding;
}

/** A team that waits for the pool or runs on it. */
export interface PoolTeam {
  /** The name. */
  team: string;
  /** The requests that wait. */
  queue: DispatchQueue;
  /** The requests of this entry host that run. */
  running: number;
  /** The slots that the team should have at this entry host, as the pool's keeper said last. */
  part: number | undefined;
}

/** Decides whether a team may start one more request, from what runs and from its part. */
export type BorrowRule = (running: number, part: number) => boolean;

/** Lets teams use what the others leave: the order alone decides. */
export function allowBorrowing(): boolean {
  return true;
}

/** Why a request could never start in time. */
export interface InfeasibleReason {
  /** The reason of the refusal. */
  reason: RefusalReason;
  /** One sentence for the caller. */
  detail: string;
}

/** Options of a `DispatchPool`. */
export interface DispatchPoolOptions {
  /** The name of the service. */
  service: string;
  /** What this entry host holds. */
  holder: Holder;
  /** Notes how many more requests of a team wait. */
  onWaitingChange: (team: string, change: number) => void;
  /** Decides whether a team may start beyond its part. */
  mayBorrow: BorrowRule;
}

/** The queues, the order and the executors of one service. */
export class DispatchPool {
  /** The name of the service. */
  readonly service: string;
  /** The order of the teams. */
  readonly order: FairOrder = FairOrder.create();
  /** The run times. */
  readonly times: ServiceTimes = ServiceTimes.create();
  readonly #holder: Holder;
  readonly #mayBorrow: BorrowRule;
  readonly #noteWaiting: (team: string, change: number) => void;
  readonly #teams = new Map<string, PoolTeam>();
  readonly #waiting = new Set<PoolTeam>();
  readonly #candidates: PoolExecutor[] = [];
  #executors: PoolExecutor[] = [];
  #fleet: Fleet | undefined;
  #slots = 0;
  #waitingCount = 0;

  private constructor(options: DispatchPoolOptions) {
    this.service = options.service;
    this.#holder = options.holder;
    this.#mayBorrow = options.mayBorrow;
    this.#noteWaiting = options.onWaitingChange;
  }

  /** Creates the pool of a service. */
  static create(options: DispatchPoolOptions): DispatchPool {
    return new DispatchPool(options);
  }

  /** Follows the fleet; the executors are looked up once for each. */
  setFleet(fleet: Fleet): void {
    if (fleet === this.#fleet) return;
    this.#fleet = fleet;
    this.#executors = [];
    this.#slots = 0;
    for (const host of fleet.getPool(this.service).getSchedulableExecutors()) {
      const holding = this.#holder.getHolding(getExecutorResource(host.getName()));
      if (holding === undefined) continue;
      this.#executors.push({ host, holding, freeSlots: 0, running: 0 });
      this.#slots += host.getData().slots;
    }
  }

  /** Gets the executors on which new requests may start. */
  getExecutors(): readonly PoolExecutor[] {
    return this.#executors;
  }

  /** Gets the slots of the executors on which new requests may start. */
  getSlots(): number {
    return this.#slots;
  }

  /** Gets the number of requests that wait. */
  getWaitingCount(): number {
    return this.#waitingCount;
  }

  /** Gets the teams with requests that wait. */
  getWaitingTeams(): ReadonlySet<PoolTeam> {
    return this.#waiting;
  }

  /** Gets the teams that have waited or run here. */
  getTeams(): IterableIterator<PoolTeam> {
    return this.#teams.values();
  }

  /** Gets the executors with a free slot; the array is used again by the next call. */
  getCandidates(): readonly PoolExecutor[] {
    const candidates = this.#candidates;
    candidates.length = 0;
    for (const executor of this.#executors) {
      executor.freeSlots = executor.holding.getFree();
      executor.running = executor.holding.getUsed();
      if (executor.freeSlots > 0) candidates.push(executor);
    }
    return candidates;
  }

  /** Adds a request that waits. */
  add(request: WaitingRequest, rights: TeamRights): void {
    const team = this.getTeam(rights.team);
    const isIdle = team.running === 0 && team.queue.getLength() === 0;
    if (isIdle) this.order.setWeight(rights.team, rights.share, true);
    team.queue.add(request);
    this.#waiting.add(team);
    this.#waitingCount += 1;
    this.#noteWaiting(rights.team, 1);
  }

  /** Removes a request that waits. */
  remove(request: WaitingRequest): void {
    if (request.isRemoved) return;
    const team = this.getTeam(request.team);
    team.queue.remove(request);
    this.#waitingCount -= 1;
    this.#noteWaiting(request.team, -1);
    if (team.queue.getLength() === 0) this.#waiting.delete(team);
  }

  /** Gets the team that goes next: the least served of those that have a permit free. */
  findNextTeam(): PoolTeam | undefined {
    let next: PoolTeam | undefined;
    for (const team of this.#waiting) {
      if (!this.#hasPermit(team.team)) continue;
      if (team.part !== undefined && !this.#mayBorrow(team.running, team.part)) continue;
      if (next === undefined || this.order.getTag(team.team) < this.order.getTag(next.team)) {
        next = team;
      }
    }
    return next;
  }

  /** Gets what is known of a team here. */
  getTeam(name: string): PoolTeam {
    const known = this.#teams.get(name);
    if (known !== undefined) return known;
    const team = { team: name, queue: DispatchQueue.create(), running: 0, part: undefined };
    this.#teams.set(name, team);
    return team;
  }

  /** Gets why a request that is added now could never start in time, or undefined if it could. */
  findInfeasibleReason(
    access: Access,
    deadline: number,
    now: number,
  ): InfeasibleReason | undefined {
    const { team } = access.rights;
    if (this.#executors.length === 0) {
      return { reason: RefusalReason.NoHost, detail: `no executor of ${this.service} is open` };
    }
    const limit = this.#holder.getCatalog().resources.get(getTeamResource(team))?.limit ?? 0;
    if (limit === 0) {
      return { reason: RefusalReason.OverLimit, detail: `the upper limit of team ${team} is 0` };
    }
    const width = Math.max(1, Math.min(limit, this.#slots));
    const rounds = 1 + Math.floor(this.getTeam(team).queue.getLength() / width);
    if (now + rounds * this.times.getMedian(now) <= deadline) return undefined;
    const detail = `${this.service} cannot meet its deadline, for what its requests take`;
    return { reason: RefusalReason.DeadlinePassed, detail };
  }

  /** Gets whether the queue of a team is full. */
  isFull(team: string, profile: ProfileData): boolean {
    return this.getTeam(team).queue.getLength() >= profile.queueLength;
  }

  #hasPermit(team: string): boolean {
    const holding = this.#holder.getHolding(getTeamResource(team));
    return holding !== undefined && holding.getFree() > 0;
  }
}
