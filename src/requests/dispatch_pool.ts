/** The dispatch of one service: its waiting requests, the order of the teams, and its executors. */

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

/** An executor of the pool with the slots that this entry host holds on it. */
export interface PoolExecutor extends ExecutorCandidate {
  /** The host of the executor. */
  host: Host;
  /** The number of free slots that this entry host holds on it. */
  freeSlots: number;
  /** The number of requests of this entry host that run on it. */
  running: number;
  /** The slots that this entry host holds on it. */
  holding: Holding;
}

/** A team with requests that wait for the pool or run on it. */
export interface PoolTeam {
  /** The name of the team. */
  team: string;
  /** The waiting requests. */
  queue: DispatchQueue;
  /** The number of requests of this entry host that run. */
  running: number;
  /** The number of slots that the pool's keeper last allotted to the team at this entry host. */
  part: number | undefined;
}

/** Decides whether a team may start another request, given its running requests and its allotted slots. */
export type MayExceedAllotment = (running: number, allottedSlots: number) => boolean;

/** Lets teams use more than their allotted slots, so that only the order of the teams decides. */
export function allowExceeding(): boolean {
  return true;
}

/**
 * Why a request is refused on arrival: no executor accepts requests, the team's limit is 0, or the
 * deadline cannot be met.
 */
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
  /** The permits that this entry host holds. */
  holder: Holder;
  /** Called with the change in the number of a team's waiting requests. */
  onWaitingChange: (team: string, change: number) => void;
  /** Decides whether a team may start another request under its allotment. */
  mayExceedAllotment: MayExceedAllotment;
}

/** The queues, the order of the teams and the executors of a service. */
export class DispatchPool {
  /** The name of the service. */
  readonly service: string;
  /** The order of the teams. */
  readonly order: FairOrder = FairOrder.create();
  /** The run times of the service's requests. */
  readonly times: ServiceTimes = ServiceTimes.create();
  readonly #holder: Holder;
  readonly #mayExceedAllotment: MayExceedAllotment;
  readonly #onWaitingChange: (team: string, change: number) => void;
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
    this.#mayExceedAllotment = options.mayExceedAllotment;
    this.#onWaitingChange = options.onWaitingChange;
  }

  /** Creates the pool of a service. */
  static create(options: DispatchPoolOptions): DispatchPool {
    return new DispatchPool(options);
  }

  /** Sets the fleet, and looks up the executors if it has changed. */
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

  /** Gets the total number of slots of the executors on which new requests may start. */
  getSlots(): number {
    return this.#slots;
  }

  /** Gets the number of waiting requests. */
  getWaitingCount(): number {
    return this.#waitingCount;
  }

  /** Gets the teams with waiting requests. */
  getWaitingTeams(): ReadonlySet<PoolTeam> {
    return this.#waiting;
  }

  /** Gets the teams that have had requests in this pool. */
  getTeams(): IterableIterator<PoolTeam> {
    return this.#teams.values();
  }

  /** Gets the executors with a free slot. The next call reuses the array. */
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

  /** Adds a waiting request. */
  add(request: WaitingRequest, rights: TeamRights): void {
    const team = this.getTeam(rights.team);
    const isIdle = team.running === 0 && team.queue.getLength() === 0;
    if (isIdle) this.order.setWeight(rights.team, rights.share, true);
    team.queue.add(request);
    this.#waiting.add(team);
    this.#waitingCount += 1;
    this.#onWaitingChange(rights.team, 1);
  }

  /** Removes a waiting request. */
  remove(request: WaitingRequest): void {
    if (request.isRemoved) return;
    const team = this.getTeam(request.team);
    team.queue.remove(request);
    this.#waitingCount -= 1;
    this.#onWaitingChange(request.team, -1);
    if (team.queue.getLength() === 0) this.#waiting.delete(team);
  }

  /** Gets the team whose request starts next: the one with the lowest start tag among those with a free permit. */
  findNextTeam(): PoolTeam | undefined {
    let next: PoolTeam | undefined;
    for (const team of this.#waiting) {
      if (!this.#hasPermit(team.team)) continue;
      if (team.part !== undefined && !this.#mayExceedAllotment(team.running, team.part)) continue;
      if (next === undefined || this.order.getTag(team.team) < this.order.getTag(next.team)) {
        next = team;
      }
    }
    return next;
  }

  /** Gets the state of a team, creating it if needed. */
  getTeam(name: string): PoolTeam {
    const known = this.#teams.get(name);
    if (known !== undefined) return known;
    const team = { team: name, queue: DispatchQueue.create(), running: 0, part: undefined };
    this.#teams.set(name, team);
    return team;
  }

  /** Gets the reason to refuse a request that arrives now, or undefined if it may wait. */
  findInfeasibleReason(
    access: Access,
    deadline: number,
    now: number,
  ): InfeasibleReason | undefined {
    const { team } = access.rights;
    if (this.#executors.length === 0) {
      return {
        reason: RefusalReason.NoHost,
        detail: `no executor of ${this.service} accepts requests`,
      };
    }
    const limit = this.#holder.getCatalog().resources.get(getTeamResource(team))?.limit ?? 0;
    if (limit === 0) {
      return { reason: RefusalReason.OverLimit, detail: `the upper limit of team ${team} is 0` };
    }
    const width = Math.max(1, Math.min(limit, this.#slots));
    const rounds = 1 + Math.floor(this.getTeam(team).queue.getLength() / width);
    if (now + rounds * this.times.getMedian(now) <= deadline) return undefined;
    const detail =
      `${this.service} cannot meet the deadline, given the queue and the median run time`;
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
