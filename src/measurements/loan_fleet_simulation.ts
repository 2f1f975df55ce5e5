/** Simulates entry hosts in virtual time: real dispatchers and keepers, connected by links with a delay. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Keeper } from "../contracts/loans/keeper.ts";
import type { LoanPeerMessage } from "../contracts/loans/loan_messages.ts";
import { createLoanCatalog, findKeeper } from "../contracts/loans/loan_resource.ts";
import type { LoanRules } from "../contracts/loans/loan_rules.ts";
import type { RosterView } from "../contracts/roster_messages.ts";
import { Standing } from "../contracts/standing.ts";
import { type DivideShares, ShareAllocator } from "../teams/share_allocator.ts";
import type { SharePeerMessage } from "../teams/share_messages.ts";
import { divideMaxMin } from "../teams/weighted_max_min.ts";
import { encodePeerFrame } from "../links/peer_frame.ts";
import { chooseLeastLoadedExecutor } from "../machines/executor_choice.ts";
import type { Fleet } from "../records/fleet.ts";
import { Ending } from "../requests/dispatch_messages.ts";
import { allowExceeding, type MayExceedAllotment } from "../requests/dispatch_pool.ts";
import { isReleasedBy } from "../requests/dispatch_running.ts";
import { Dispatcher } from "../requests/dispatcher.ts";

/** Delay of a link between zones, rounded up to the step. */
const LINK_DELAY_MILLISECONDS = 2;

/** Intervals of the periodic tasks, as in the real tasks. */
const STATEMENT_INTERVAL_MILLISECONDS = 10;
const EXPIRY_INTERVAL_MILLISECONDS = 50;
const WINDOW_MILLISECONDS = 300;
const KEEPER_INTERVAL_MILLISECONDS = 5;

/** Options for `LoanFleetSimulation`. */
export interface LoanFleetSimulationOptions {
  /** The fleet that all entry hosts have applied. */
  fleet: Fleet;
  /** Number of entry hosts. */
  hosts: number;
  /** Loan rules of the keepers. */
  rules: LoanRules;
  /** Divides a full pool among teams; defaults to `divideMaxMin`. */
  divide?: DivideShares;
  /** Decides whether a team may exceed its share; defaults to `borrowFreely`. */
  mayExceedAllotment?: MayExceedAllotment;
  /** Mean run time of a request. */
  serviceMilliseconds: number;
  /** Seed of all random sources. */
  seed: number;
}

/** A request that was submitted to an entry host. */
export interface FleetRequest {
  /** Index of the host that received it. */
  host: number;
  /** The team. */
  team: string;
  /** The service. */
  service: string;
  /** The key that the caller presents. */
  presentedKey: string;
}

type LoanFleetMessage = LoanPeerMessage | SharePeerMessage;

interface SimulatedHost {
  shares: ShareAllocator;
  memberId: string;
  dispatcher: Dispatcher;
  keeper: Keeper;
  sentBytes: number;
}

/** Called when a request was answered or refused. */
export type OnOutcome = (request: FleetRequest, outcome: "answered" | "refused") => void;

/** Simulates entry hosts in steps of one millisecond. */
export class LoanFleetSimulation {
  readonly #options: LoanFleetSimulationOptions;
  readonly #hosts: SimulatedHost[] = [];
  readonly #requests = new Map<string, FleetRequest>();
  readonly #ends = new Map<number, { host: number; requestId: string }[]>();
  readonly #network = new Map<number, { from: string; to: string; message: LoanFleetMessage }[]>();
  readonly #running = new Map<string, number>();
  readonly #lost = new Set<string>();
  readonly #random: (from: number, to: number) => number;
  #roster: RosterView;
  #now = 0;
  #count = 0;

  private constructor(options: LoanFleetSimulationOptions) {
    this.#options = options;
    const generator = xoroshiro128plus(options.seed);
    this.#random = (from, to) => uniformInt(generator, from, to);
    const members = Array.from({ length: options.hosts }, (_, index) => `entry-${index + 1}`);
    const roster = this.#roster = { offset: 1, members, departing: [] };
    for (const memberId of members) {
      const dispatcher = Dispatcher.create({
        memberId,
        zone: "zone-0",
        chooseExecutor: chooseLeastLoadedExecutor,
        isReleasedBy,
        mayExceedAllotment: options.mayExceedAllotment ?? allowExceeding,
        random: () => this.#random(0, 999) / 1_000,
      });
      const keeper = Keeper.create({ memberId, rules: options.rules });
      dispatcher.setFleet(options.fleet, 0);
      dispatcher.setRoster(roster, 0);
      dispatcher.setStanding({ standing: Standing.Current, validUntil: Infinity }, 0);
      keeper.setCatalog(createLoanCatalog(options.fleet), 0);
      keeper.setRoster(roster, 0);
      const shares = ShareAllocator.create({ divide: options.divide ?? divideMaxMin });
      this.#hosts.push({ memberId, dispatcher, keeper, shares, sentBytes: 0 });
    }
  }

  /** Creates the entry hosts. */
  static create(options: LoanFleetSimulationOptions): LoanFleetSimulation {
    return new LoanFleetSimulation(options);
  }

  /** Gets the virtual time in milliseconds. */
  getNow(): number {
    return this.#now;
  }

  /** Gets the number of running requests of a team. */
  getRunningCount(team: string): number {
    return this.#running.get(team) ?? 0;
  }

  /** Gets the bytes sent to peers by each host. */
  getSentBytes(): number[] {
    return this.#hosts.map((host) => host.sentBytes);
  }

  /** Submits a request to its host. */
  arrive(request: FleetRequest, deadlineMilliseconds = 3_600_000): void {
    const requestId = `r${this.#count += 1}`;
    this.#requests.set(requestId, request);
    const { service, presentedKey } = request;
    const deadline = this.#now + deadlineMilliseconds;
    const arrival = { requestId, service, presentedKey, deadline, triedExecutors: [] };
    this.#hosts[request.host]!.dispatcher.arrive(arrival, this.#now);
  }

  /** Gets the index of the host that keeps a resource. */
  getKeeperIndex(resource: string): number {
    return this.#roster.members.indexOf(findKeeper(this.#roster.members, resource)!);
  }

  /** Gets the number of permits that a host holds of a resource. */
  getHeldPermits(host: number, resource: string): number {
    return this.#hosts[host]!.dispatcher.getHolder().getHolding(resource)?.getHeld() ?? 0;
  }

  /** Stops a host without notice to the others. */
  crash(host: number): void {
    this.#lost.add(this.#hosts[host]!.memberId);
  }

  /** Lets all live hosts adopt a roster without the lost hosts. */
  removeLost(isInForce: boolean): void {
    const departing = [...this.#lost].map((memberId) => ({
      memberId,
      entryHost: memberId,
      removedAt: 2,
      isInForce,
    }));
    const members = this.#roster.members.filter((memberId) => !this.#lost.has(memberId));
    this.#roster = { offset: 2, members, departing };
    for (const { memberId, dispatcher, keeper } of this.#hosts) {
      if (this.#lost.has(memberId)) continue;
      dispatcher.setRoster(this.#roster, this.#now);
      keeper.setRoster(this.#roster, this.#now);
    }
  }

  /** Advances by one millisecond. */
  step(onOutcome: OnOutcome): void {
    this.#now += 1;
    this.#endRequests(onOutcome);
    this.#deliver();
    for (const [index, host] of this.#hosts.entries()) {
      if (this.#lost.has(host.memberId)) continue;
      this.#act(host, index);
      this.#takeDecisions(host, index, onOutcome);
    }
  }

  #act(host: SimulatedHost, index: number): void {
    const now = this.#now + index;
    const { dispatcher, keeper } = host;
    if (now % EXPIRY_INTERVAL_MILLISECONDS === 0) dispatcher.expire(this.#now);
    if (now % WINDOW_MILLISECONDS === 0) {
      for (const { to, message } of dispatcher.endWindow(this.#now)) this.#send(host, to, message);
    }
    if (now % STATEMENT_INTERVAL_MILLISECONDS === 0) {
      for (const { to, statement } of dispatcher.getHolder().takeStatements(this.#now)) {
        this.#send(host, to, statement);
      }
    }
    if (now % KEEPER_INTERVAL_MILLISECONDS !== 0) return;
    for (const { to, message } of keeper.takeMessages(this.#now)) this.#send(host, to, message);
    const { members } = this.#roster;
    const { fleet } = this.#options;
    for (const { to, message } of host.shares.takeAllotments(fleet, members, this.#now)) {
      this.#send(host, to, message);
    }
  }

  #send(host: SimulatedHost, to: string, message: LoanFleetMessage): void {
    const isLocal = host.memberId === to;
    if (!isLocal) host.sentBytes += encodePeerFrame(message).length;
    const at = this.#now + (isLocal ? 1 : LINK_DELAY_MILLISECONDS);
    const due = this.#network.get(at) ?? [];
    due.push({ from: host.memberId, to, message });
    this.#network.set(at, due);
  }

  #deliver(): void {
    const due = this.#network.get(this.#now) ?? [];
    this.#network.delete(this.#now);
    for (const { from, to, message } of due) {
      const host = this.#hosts.find(({ memberId }) => memberId === to)!;
      if (this.#lost.has(to)) continue;
      if (message.kind === "loan-statement") host.keeper.receiveStatement(from, message, this.#now);
      else if (message.kind === "share-demand") host.shares.setDemand(from, message, this.#now);
      else host.dispatcher.receiveLoan(from, message, this.#now);
    }
  }

  #endRequests(onOutcome: OnOutcome): void {
    const due = this.#ends.get(this.#now) ?? [];
    this.#ends.delete(this.#now);
    for (const { host, requestId } of due) {
      const request = this.#requests.get(requestId)!;
      this.#requests.delete(requestId);
      this.#running.set(request.team, this.getRunningCount(request.team) - 1);
      this.#hosts[host]!.dispatcher.end(requestId, Ending.Completed, this.#now);
      onOutcome(request, "answered");
    }
  }

  #takeDecisions(host: SimulatedHost, index: number, onOutcome: OnOutcome): void {
    for (const { requestId, result } of host.dispatcher.takeDecisions()) {
      const request = this.#requests.get(requestId)!;
      if (result.outcome === "refused") {
        this.#requests.delete(requestId);
        onOutcome(request, "refused");
        continue;
      }
      this.#running.set(request.team, this.getRunningCount(request.team) + 1);
      const { serviceMilliseconds } = this.#options;
      const at = this.#now + this.#random(1, 2 * serviceMilliseconds - 1);
      const due = this.#ends.get(at) ?? [];
      due.push({ host: index, requestId });
      this.#ends.set(at, due);
    }
  }
}
