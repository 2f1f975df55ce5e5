/** Entry hosts in virtual time: the product's dispatchers and keepers, and links with a delay. */

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
import { allowBorrowing, type BorrowRule } from "../requests/dispatch_pool.ts";
import { isReleasedBy } from "../requests/dispatch_running.ts";
import { Dispatcher } from "../requests/dispatcher.ts";

/** The delay of a link between zones, in milliseconds, rounded up to the step. */
const LINK_MILLISECONDS = 2;

/** The times between the looks of the tasks, as in the tasks themselves. */
const GATHER_MILLISECONDS = 10;
const TICK_MILLISECONDS = 50;
const WINDOW_MILLISECONDS = 300;
const KEEPER_MILLISECONDS = 5;

/** Options of a `LoanFleet`. */
export interface LoanFleetSimulationOptions {
  /** The fleet. */
  fleet: Fleet;
  /** The entry hosts. */
  hosts: number;
  /** The rules of the keepers. */
  rules: LoanRules;
  /** Divides a full pool over teams; by share when undefined. */
  divide?: DivideShares;
  /** Decides whether a team may start beyond its part; always when undefined. */
  mayBorrow?: BorrowRule;
  /** The mean run time of a request. */
  serviceMilliseconds: number;
  /** The seed of every random source. */
  seed: number;
}

/** One request under way. */
export interface FleetRequest {
  /** The host at which it arrived. */
  host: number;
  /** The team. */
  team: string;
  /** The service. */
  service: string;
  /** The text of the team's key. */
  presentedKey: string;
}

type LoanFleetMessage = LoanPeerMessage | SharePeerMessage;

interface FleetHost {
  shares: ShareAllocator;
  memberId: string;
  dispatcher: Dispatcher;
  keeper: Keeper;
  sentBytes: number;
}

/** Takes that a request was answered or refused. */
export type OnOutcome = (request: FleetRequest, outcome: "answered" | "refused") => void;

/** Entry hosts that advance together, a millisecond at a time. */
export class LoanFleetSimulation {
  readonly #options: LoanFleetSimulationOptions;
  readonly #hosts: FleetHost[] = [];
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
        mayBorrow: options.mayBorrow ?? allowBorrowing,
        random: () => this.#random(0, 999) / 1_000,
      });
      const keeper = Keeper.create({ memberId, rules: options.rules });
      dispatcher.setFleet(options.fleet, 0);
      dispatcher.setRoster(roster, 0);
      dispatcher.setStanding({ standing: Standing.Current, validUntil: Infinity }, 0);
      keeper.setCatalog(createLoanCatalog(options.fleet), 0);
      keeper.adoptRoster(roster, 0);
      const shares = ShareAllocator.create({ divide: options.divide ?? divideMaxMin });
      this.#hosts.push({ memberId, dispatcher, keeper, shares, sentBytes: 0 });
    }
  }

  /** Creates the entry hosts. */
  static create(options: LoanFleetSimulationOptions): LoanFleetSimulation {
    return new LoanFleetSimulation(options);
  }

  /** Gets the virtual time. */
  getNow(): number {
    return this.#now;
  }

  /** Gets how many requests of a team run. */
  getRunningCount(team: string): number {
    return this.#running.get(team) ?? 0;
  }

  /** Gets the bytes that each host has sent to its peers. */
  getSentBytes(): number[] {
    return this.#hosts.map((host) => host.sentBytes);
  }

  /** Lets a request arrive. */
  arrive(request: FleetRequest, deadlineMilliseconds = 3_600_000): void {
    const requestId = `r${this.#count += 1}`;
    this.#requests.set(requestId, request);
    const { service, presentedKey } = request;
    const deadline = this.#now + deadlineMilliseconds;
    const arrival = { requestId, service, presentedKey, deadline, triedExecutors: [] };
    this.#hosts[request.host]!.dispatcher.arrive(arrival, this.#now);
  }

  /** Gets the place of the host that keeps a resource. */
  getKeeperIndex(resource: string): number {
    return this.#roster.members.indexOf(findKeeper(this.#roster.members, resource)!);
  }

  /** Gets how many permits of a resource a host holds. */
  getHeldPermits(host: number, resource: string): number {
    return this.#hosts[host]!.dispatcher.getHolder().getHolding(resource)?.getHeld() ?? 0;
  }

  /** Loses a host: it does nothing any more, and nobody knows. */
  crash(host: number): void {
    this.#lost.add(this.#hosts[host]!.memberId);
  }

  /** Lets all hosts that are not lost adopt a roster without those that are. */
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
      keeper.adoptRoster(this.#roster, this.#now);
    }
  }

  /** Advances by a millisecond. */
  step(noteDone: OnOutcome): void {
    this.#now += 1;
    this.#endRequests(noteDone);
    this.#deliver();
    for (const [index, host] of this.#hosts.entries()) {
      if (this.#lost.has(host.memberId)) continue;
      this.#act(host, index);
      this.#takeDecisions(host, index, noteDone);
    }
  }

  #act(host: FleetHost, index: number): void {
    const now = this.#now + index;
    const { dispatcher, keeper } = host;
    if (now % TICK_MILLISECONDS === 0) dispatcher.expire(this.#now);
    if (now % WINDOW_MILLISECONDS === 0) {
      for (const { to, message } of dispatcher.endWindow(this.#now)) this.#send(host, to, message);
    }
    if (now % GATHER_MILLISECONDS === 0) {
      for (const { to, statement } of dispatcher.getHolder().takeStatements(this.#now)) {
        this.#send(host, to, statement);
      }
    }
    if (now % KEEPER_MILLISECONDS !== 0) return;
    for (const { to, message } of keeper.takeMessages(this.#now)) this.#send(host, to, message);
    const { members } = this.#roster;
    const { fleet } = this.#options;
    for (const { to, message } of host.shares.takeAllotments(fleet, members, this.#now)) {
      this.#send(host, to, message);
    }
  }

  #send(host: FleetHost, to: string, message: LoanFleetMessage): void {
    const isLocal = host.memberId === to;
    if (!isLocal) host.sentBytes += encodePeerFrame(message).length;
    const at = this.#now + (isLocal ? 1 : LINK_MILLISECONDS);
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

  #endRequests(noteDone: OnOutcome): void {
    const due = this.#ends.get(this.#now) ?? [];
    this.#ends.delete(this.#now);
    for (const { host, requestId } of due) {
      const request = this.#requests.get(requestId)!;
      this.#requests.delete(requestId);
      this.#running.set(request.team, this.getRunningCount(request.team) - 1);
      this.#hosts[host]!.dispatcher.end(requestId, Ending.Completed, this.#now);
      noteDone(request, "answered");
    }
  }

  #takeDecisions(host: FleetHost, index: number, noteDone: OnOutcome): void {
    for (const { requestId, result } of host.dispatcher.takeDecisions()) {
      const request = this.#requests.get(requestId)!;
      if (result.outcome === "refused") {
        this.#requests.delete(requestId);
        noteDone(request, "refused");
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
