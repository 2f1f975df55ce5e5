/** Decides which requests start on which executors, which wait and which are refused. */

import type { Holding } from "../contracts/loans/holding.ts";
import type { Host } from "../machines/host.ts";
import { Holder } from "../contracts/loans/holder.ts";
import type { LoanLend, LoanStatementRequest } from "../contracts/loans/loan_messages.ts";
import {
  createLoanCatalog,
  getExecutorResource,
  getTeamResource,
} from "../contracts/loans/loan_resource.ts";
import type { RosterView } from "../contracts/roster_messages.ts";
import type { StandingGrant } from "../contracts/standing.ts";
import { type Fleet, NO_OFFSET } from "../records/fleet.ts";
import { type Access, decideAccess } from "../teams/access.ts";
import type { ShareAllotment, ShareDemand } from "../teams/share_messages.ts";
import type { Arrival, BusyHosts, Ending } from "./dispatch_messages.ts";
import { DispatchGate } from "./dispatch_gate.ts";
import type { DispatchPool, PoolTeam } from "./dispatch_pool.ts";
import { DispatchPools } from "./dispatch_pools.ts";
import type { WaitingRequest } from "./dispatch_queue.ts";
import { type RunningRequest, RunningRequests } from "./dispatch_running.ts";
import type { DispatchDecision, DispatcherOptions } from "./dispatcher_options.ts";
import { createNotRunRefusal, RefusalReason } from "./refusal.ts";

/** The retry delay for callers whose request was refused. */
const RETRY_AFTER_MILLISECONDS = 1_000;

interface StartingRequest {
  request: WaitingRequest;
  pool: DispatchPool;
  team: PoolTeam;
  host: Host;
  executorHolding: Holding;
  teamHolding: Holding;
  now: number;
}

/** Keeps the running and waiting requests and the permits of an entry host. Times are passed as arguments. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #gate: DispatchGate;
  readonly #holder: Holder;
  readonly #pools: DispatchPools;
  readonly #running = RunningRequests.create();
  readonly #waiting = new Map<string, { request: WaitingRequest; pool: DispatchPool }>();
  #decisions: DispatchDecision[] = [];

  private constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#gate = DispatchGate.create(options);
    this.#holder = Holder.create(options);
    this.#pools = DispatchPools.create({ ...options, holder: this.#holder });
  }

  /** Creates a dispatcher without requests. */
  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** Gets the holdings of this entry host: the permits of teams and the slots of executors. */
  getHolder(): Holder {
    return this.#holder;
  }

  /** Gets the requests that are running or may be running. */
  getRunning(): RunningRequests {
    return this.#running;
  }

  getPools(): DispatchPools {
    return this.#pools;
  }

  /** Gets the number of waiting requests. */
  getWaitingCount(): number {
    return this.#waiting.size;
  }

  /** Gets and removes the decisions since the last call. */
  takeDecisions(): DispatchDecision[] {
    if (this.#decisions.length === 0) return [];
    const decisions = this.#decisions;
    this.#decisions = [];
    return decisions;
  }

  /** Sets the fleet, and starts requests that can start under it. */
  setFleet(fleet: Fleet, now: number): void {
    this.#gate.fleet = fleet;
    this.#holder.setCatalog(createLoanCatalog(fleet));
    this.#pools.setFleet(fleet);
    this.#startAll(now);
  }

  setRoster(roster: RosterView, now: number): void {
    this.#gate.roster = roster;
    this.#holder.setRoster(roster, now);
  }

  /** Sets the standing of this member, and starts requests that can start under it. */
  setStanding(grant: StandingGrant, now: number): void {
    this.#gate.grant = grant;
    this.#startAll(now);
  }

  /** Handles a message from a keeper. */
  receiveLoan(
    from: string,
    message: LoanLend | LoanStatementRequest | ShareAllotment,
    now: number,
  ): void {
    if (message.kind === "share-allotment") return this.#pools.setAllotment(message, now);
    if (message.kind === "loan-statement-wanted") {
      return this.#holder.receiveStatementRequest(from, message);
    }
    this.#holder.receiveLend(from, message);
    this.#startAll(now);
  }

  /** Ends a demand window, and gets the demand messages to the keepers of full pools. */
  endWindow(now: number): { to: string; message: ShareDemand }[] {
    return this.#pools.endWindow(this.#gate.roster?.members ?? [], now);
  }

  /** Starts, queues or refuses a request. */
  arrive(arrival: Arrival, now: number): void {
    const { requestId, service, presentedKey } = arrival;
    const closed = this.#gate.findClosedReason(now);
    if (closed !== undefined) return this.#refuse(requestId, closed.reason, closed.detail);
    const fleet = this.#gate.fleet!;
    const decision = decideAccess({ fleet, service, presentedKey });
    if (decision.outcome === "refused") {
      this.#decisions.push({ requestId, result: decision });
      return;
    }
    const pool = this.#pools.get(service);
    this.#enqueue(arrival, decision.access, pool, now);
  }

  /** Removes a waiting request. A started request keeps its permit. */
  cancel(requestId: string, now: number): void {
    const waiting = this.#waiting.get(requestId);
    if (waiting === undefined) return;
    this.#waiting.delete(requestId);
    waiting.pool.remove(waiting.request);
    this.#updateDemand(waiting.request.team, waiting.pool, now);
  }

  /**
   * Handles the result of a request's attempt. Its permit and slot stay in use while the executor may
   * be running it.
   */
  end(requestId: string, ending: Ending, now: number, isFault = false): void {
    const request = this.#running.get(requestId);
    if (request !== undefined && this.#gate.fleet !== undefined) {
      const pool = this.#gate.fleet.getPool(request.service);
      this.#options.handleAttemptResult?.({
        pool,
        executor: request.executor,
        ending,
        isFault,
        now,
      });
    }
    if (request === undefined || !this.#options.isReleasedBy(ending)) return;
    this.#release(request, now);
  }

  /** Gets the hosts on which requests are running or may be running, with their number, as of the newest fleet. */
  getBusyHosts(): BusyHosts {
    const running = new Map<string, number>();
    for (const { executor } of this.#running.getAll()) {
      running.set(executor, (running.get(executor) ?? 0) + 1);
    }
    return { offset: this.#gate.fleet?.offset ?? NO_OFFSET, running };
  }

  /**
   * Refuses requests that can no longer meet their deadlines, and releases the permits of those that
   * have certainly ended.
   */
  expire(now: number): void {
    for (const request of this.#running.getExpired(now)) this.#release(request, now);
    const closed = this.#waiting.size === 0 ? undefined : this.#gate.findClosedReason(now);
    for (const { request, pool } of [...this.#waiting.values()]) {
      if (closed !== undefined) {
        this.#refuseWaiting(request, pool, closed.reason, closed.detail, now);
        continue;
      }
      if (now + pool.times.getMedian(now) <= request.deadline) continue;
      const detail =
        `the request of team ${request.team} waited until it could no longer meet its deadline`;
      this.#refuseWaiting(request, pool, RefusalReason.DeadlinePassed, detail, now);
    }
  }

  #enqueue(arrival: Arrival, access: Access, pool: DispatchPool, now: number): void {
    const { requestId } = arrival;
    const { rights } = access;
    const profile = access.service.getProfile().getData();
    const deadline = arrival.deadline ?? now + profile.deadlineMilliseconds;
    const refusal = pool.findInfeasibleReason(access, deadline, now);
    if (refusal !== undefined) return this.#refuse(requestId, refusal.reason, refusal.detail);
    const wasFull = pool.isFull(rights.team, profile);
    const { team } = rights;
    const checkedFleet = this.#gate.fleet!;
    const request = { arrival, team, deadline, checkedFleet, isRemoved: false };
    this.#waiting.set(requestId, { request, pool });
    pool.add(request, rights);
    this.#start(pool, now);
    this.#pools.updateTeamDemand(team);
    if (request.isRemoved || !wasFull) return;
    const reason = profile.queueLength === 0 ? RefusalReason.OverLimit : RefusalReason.QueueFull;
    this.#refuseWaiting(request, pool, reason, `the queue of team ${team} is full`, now);
  }

  #startAll(now: number): void {
    if (this.#waiting.size === 0) return;
    for (const pool of this.#pools.getWaiting()) this.#start(pool, now);
  }

  #start(pool: DispatchPool, now: number): void {
    if (this.#gate.findClosedReason(now) === undefined) {
      let team = pool.findNextTeam();
      while (team !== undefined && this.#startNext(pool, team, now)) team = pool.findNextTeam();
    }
    this.#pools.updateSlotDemand(pool, now);
  }

  /** Starts or refuses the first request of a team, and returns false if it cannot start now. */
  #startNext(pool: DispatchPool, team: PoolTeam, now: number): boolean {
    const request = team.queue.getFirst()!;
    if (!this.#hasAccess(request, pool)) return true;
    const host = this.#chooseExecutor(request, pool, now);
    if (host === undefined) return false;
    const executorHolding = this.#holder.getHolding(getExecutorResource(host.getName()))!;
    const teamHolding = this.#holder.getHolding(getTeamResource(team.team))!;
    if (!executorHolding.take()) return false;
    if (!teamHolding.take()) {
      this.#holder.release(executorHolding);
      return false;
    }
    this.#removeWaiting(request, pool);
    this.#addRunning({ request, pool, team, host, executorHolding, teamHolding, now });
    return true;
  }

  #chooseExecutor(request: WaitingRequest, pool: DispatchPool, now: number): Host | undefined {
    const candidates = pool.getCandidates();
    if (candidates.length === 0) return undefined;
    const { zone, random } = this.#options;
    const { triedExecutors } = request.arrival;
    const { fleet } = this.#gate;
    const triedZones = triedExecutors.flatMap((name) => fleet?.getHost(name)?.getZoneName() ?? []);
    const choice = { candidates, zone, triedExecutors, triedZones, now, random };
    return this.#options.chooseExecutor(choice)?.host;
  }

  #addRunning(starting: StartingRequest): void {
    const { request, pool, team, host, executorHolding, teamHolding, now } = starting;
    const { requestId } = request.arrival;
    const { deadline } = request;
    const [executor, address] = [host.getName(), host.getAddress()];
    const profile = this.#gate.fleet!.getService(pool.service)!.getProfile().getData();
    const { longestRunMilliseconds } = profile;
    team.running += 1;
    this.#running.add({
      requestId,
      service: pool.service,
      team: team.team,
      executor,
      teamHolding,
      executorHolding,
      startedAt: now,
      heldUntilMonotonic: this.#running.getHeldUntil(now, longestRunMilliseconds),
      charged: pool.order.charge(team.team, pool.times.getMedian(now)),
    });
    const start = { executor, address, deadline, longestRunMilliseconds };
    this.#decisions.push({ requestId, result: { outcome: "started", start } });
  }

  /** Checks access again if the fleet has changed while the request waited. */
  #hasAccess(request: WaitingRequest, pool: DispatchPool): boolean {
    const fleet = this.#gate.fleet!;
    if (request.checkedFleet === fleet) return true;
    request.checkedFleet = fleet;
    const { requestId, service, presentedKey } = request.arrival;
    const decision = decideAccess({ fleet, service, presentedKey });
    if (decision.outcome === "granted") return true;
    this.#removeWaiting(request, pool);
    this.#decisions.push({ requestId, result: decision });
    return false;
  }

  #removeWaiting(request: WaitingRequest, pool: DispatchPool): void {
    this.#waiting.delete(request.arrival.requestId);
    pool.remove(request);
  }

  #release(request: RunningRequest, now: number): void {
    this.#running.remove(request.requestId);
    this.#holder.release(request.teamHolding);
    this.#holder.release(request.executorHolding);
    this.#pools.recordRelease(request, now);
    this.#startAll(now);
  }

  #refuseWaiting(
    request: WaitingRequest,
    pool: DispatchPool,
    reason: RefusalReason,
    detail: string,
    now: number,
  ): void {
    this.#removeWaiting(request, pool);
    this.#refuse(request.arrival.requestId, reason, detail);
    this.#updateDemand(request.team, pool, now);
  }

  #updateDemand(team: string, pool: DispatchPool, now: number): void {
    this.#pools.updateTeamDemand(team);
    this.#pools.updateSlotDemand(pool, now);
  }

  #refuse(requestId: string, reason: RefusalReason, detail: string): void {
    const refusal = createNotRunRefusal(reason, detail, RETRY_AFTER_MILLISECONDS);
    this.#decisions.push({ requestId, result: { outcome: "refused", refusal } });
  }
}
