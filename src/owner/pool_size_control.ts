/** Moves hosts between pools as the demand changes. */

import type { Executor } from "../fleet/executor.ts";
import { type Host, HostOrderOutcome } from "../fleet/host.ts";
import type { DemandControl } from "./demand_control.ts";
import type { FleetState } from "./fleet_state.ts";
import type { HostControl } from "./host_control.ts";
import { ORDER_RECORD_TIMEOUT_MILLISECONDS } from "./host_order_records.ts";
import type { MaintenanceControl } from "./maintenance_control.ts";
import type { MoveOrder } from "./owner_ports.ts";
import {
  type CapacityPolicy,
  getEssentialHosts,
  getHostsNeeded,
  type PoolLoad,
} from "./pool_need.ts";
import { measurePoolLoad } from "./pool_load.ts";

/** How long the peak need of a pool is kept, in milliseconds: several times the cost of a move. */
const PEAK_RETENTION_MILLISECONDS = 1_800;
/** The same after the learned end of a burst, in milliseconds: the need does not return soon. */
const PEAK_RETENTION_AFTER_BURST_MILLISECONDS = 200;
/**
 * How long surplus hosts wait in their pool for the next foreseen burst, in milliseconds: less than
 * a move to the spare pool and back.
 */
const DIRECT_MOVE_WAIT_MILLISECONDS = 1_000;
/** How long a host may take to become empty before its move is abandoned, in milliseconds. */
const EMPTYING_TIMEOUT_MILLISECONDS = 4_000;
/** How long an unanswered order may still be carried out, in milliseconds. */
const LATE_ORDER_TIMEOUT_MILLISECONDS = 13_000;
/** The interval between decisions on pool sizes, in milliseconds. */
const DECISION_INTERVAL_MILLISECONDS = 100;
/** How long the new executor may take to be listed and answer after a move, in milliseconds. */
const ARRIVAL_TIMEOUT_MILLISECONDS = 3_000;

/**
 * How long a host still counts while its executor is unlisted or does not answer, in milliseconds.
 * A failure of the platform's store may remove entries from the list for about two seconds.
 */
const UNUSABLE_GRACE_MILLISECONDS = 2_500;

/** By how much pending maintenance lowers the cost at which a host is taken out of its pool. */
const PENDING_MAINTENANCE_CREDIT = 15;

/** The stage of a move. */
const MoveStage = {
  /** The host is being emptied. */
  Emptying: "emptying",
  /** The order is being stored, or has been sent and is not known to be done. */
  Ordered: "ordered",
  /** The order is done. The host's new executor has yet to be listed and to answer. */
  Arriving: "moving",
} as const;
type MoveStage = typeof MoveStage[keyof typeof MoveStage];

/** The move of a host to another pool. */
interface HostMove {
  host: string;
  /** The pool that the host leaves. */
  from: string;
  /** The pool that the host joins. */
  to: string;
  /** The executor of the host before the move. */
  executorId: string;
  stage: MoveStage;
  /**
   * When the stage began, on the monotonic clock. If the order was unanswered and the list shows
   * that it is done, the time of the order is kept.
   */
  since: number;
}

/** The hosts that a pool has and needs. */
interface PoolPlan {
  service: string;
  /** The hosts that are up, usable and not reserved. */
  hosts: Host[];
  hostsNeeded: number;
  /** The number of hosts with those for a foreseen burst that is due; at least the needed ones. */
  hostsForeseen: number;
  /** The number of further hosts for a foreseen burst that is not due yet. */
  hostsForeseenLater: number;
  /** The rate at which the jobs of the foreseen burst are expected, in jobs per millisecond. */
  foreseenJobRate: number;
  /** The number of hosts that the pool gets before other pools get theirs for their load. */
  essentialHosts: number;
  /** The number of hosts that are being moved to the pool. */
  incomingHosts: number;
}

export interface PoolSizeControlOptions {
  state: FleetState;
  /** The forecast of recurring demand. */
  demand: DemandControl;
  hosts: HostControl;
  /** The maintenance waves, which rank hosts by whether they have maintenance pending. */
  maintenance: MaintenanceControl;
  /** The policy by which pools are sized. */
  policy: CapacityPolicy;
  /** Handles that the provider reports the move of an executor's host as ordered. */
  handleHostOrderDone: (executor: Executor, reason: string) => void;
}

/**
 * Decides how many hosts each pool has, and moves hosts between pools. Each service has one pool of
 * the same name.
 */
export class PoolSizeControl {
  readonly #options: PoolSizeControlOptions;
  readonly #moves = new Map<string, HostMove>();
  /** The peak need within the retention time, by service. */
  readonly #peaks = new Map<string, { need: number; at: number }>();
  /** When a host was first seen without a listed executor that answers, by host. */
  readonly #unusableSince = new Map<string, number>();
  #decidedAt = -Infinity;

  private constructor(options: PoolSizeControlOptions) {
    this.#options = options;
  }

  static create(options: PoolSizeControlOptions): PoolSizeControl {
    return new PoolSizeControl(options);
  }

  /** Advances the moves under way, and decides on new ones. */
  tick(): void {
    const { state, hosts } = this.#options;
    if (!state.mayStart || hosts.getListRequestedAt() < state.startedAt) return;
    for (const move of this.#moves.values()) this.#advance(move);
    if (state.now - this.#decidedAt < DECISION_INTERVAL_MILLISECONDS) return;
    this.#decidedAt = state.now;
    this.#decide();
  }

  /** Handles the provider's answer to an order. */
  handleAnswer(order: MoveOrder, outcome: HostOrderOutcome): void {
    const { state } = this.#options;
    const move = this.#moves.get(order.host);
    state.log("move-answered", { host: order.host, pool: order.pool, outcome });
    if (move === undefined || move.stage !== MoveStage.Ordered) return;
    switch (outcome) {
      case HostOrderOutcome.Accepted:
        this.#handleOrderDone(move);
        move.stage = MoveStage.Arriving;
        move.since = state.now;
        return;
      case HostOrderOutcome.Unanswered:
        // The order may still be carried out: the host stays cordoned until the list shows the move.
        return;
      default:
        this.#finish(move);
    }
  }

  #advance(move: HostMove): void {
    const { state, hosts } = this.#options;
    const host = hosts.getHosts().get(move.host);
    if (host === undefined) return this.#finish(move);
    const age = state.now - move.since;
    switch (move.stage) {
      case MoveStage.Emptying:
        hosts.empty(host);
        if (hosts.isEmpty(host)) return this.#order(move);
        if (age > EMPTYING_TIMEOUT_MILLISECONDS) this.#finish(move);
        return;
      case MoveStage.Ordered:
        if (host.pool === move.to) {
          move.stage = MoveStage.Arriving;
          return;
        }
        // The order may be carried out late, so an executor that is listed again is cordoned as well.
        hosts.empty(host);
        if (age > LATE_ORDER_TIMEOUT_MILLISECONDS) this.#finish(move);
        return;
      case MoveStage.Arriving: {
        const hasArrived = host.pool === move.to && hosts.isUp(host) &&
          (this.#isSpare(move.to) ||
            state.executors.get(host.executorId)?.hasAcceptedFence === true);
        if (hasArrived || age > ARRIVAL_TIMEOUT_MILLISECONDS) this.#finish(move);
      }
    }
  }

  #order(move: HostMove): void {
    const { state, hosts } = this.#options;
    move.stage = MoveStage.Ordered;
    move.since = state.now;
    const { host, from, to } = move;
    state.ports.write([hosts.createOrderEntry(host)], () => {
      if (!state.mayStart || state.now - move.since > ORDER_RECORD_TIMEOUT_MILLISECONDS) {
        return this.#finish(move);
      }
      state.log("host-moved", { host, from, to });
      state.ports.move({ host, pool: to, fence: state.fence });
    });
  }

  #handleOrderDone(move: HostMove): void {
    const { state, handleHostOrderDone } = this.#options;
    const executor = state.executors.get(move.executorId);
    if (executor !== undefined) handleHostOrderDone(executor, "host moved to another pool");
  }

  #finish(move: HostMove): void {
    const { hosts } = this.#options;
    this.#moves.delete(move.host);
    hosts.release(move.host);
  }

  #decide(): void {
    const { state } = this.#options;
    const plans = this.#getPlans();
    const spares = this.#getSpareHosts();
    const spareService = [...state.configuration.services.values()].find((service) =>
      service.isSpare
    );
    this.#fill(
      plans,
      getEssentialShortfall,
      () => spares.pop() ?? this.#takeSurplus(plans) ?? this.#takeInessential(plans),
    );
    this.#fill(plans, getShortfall, () => spares.pop() ?? this.#takeSurplus(plans));
    this.#fill(
      plans.filter(({ hostsForeseen, hostsNeeded }) => hostsForeseen > hostsNeeded),
      getForeseenShortfall,
      () => this.#takeIdleSurplus(plans) ?? spares.pop() ?? this.#takeForeseenSurplus(plans),
      getLateJobRate,
    );
    if (spareService === undefined) return;
    let awaited = plans.reduce((sum, plan) => sum + getLaterShortfall(plan), 0);
    for (const plan of plans) {
      const unneeded = Math.max(0, -getForeseenShortfall(plan));
      const kept = Math.min(unneeded, awaited);
      awaited -= kept;
      for (let surplus = unneeded - kept; surplus > 0; surplus -= 1) {
        const host = this.#takeCheapestHost(plan);
        if (host === undefined) break;
        this.#begin(host, spareService.name);
      }
    }
  }

  /** Moves hosts to the pools with a shortfall, the most urgent first, while there are any to take. */
  #fill(
    plans: readonly PoolPlan[],
    getLack: (plan: PoolPlan) => number,
    takeHost: () => Host | undefined,
    getUrgency = getLack,
  ): void {
    const undersized = plans.filter((plan) => getLack(plan) > 0);
    undersized.sort((first, second) => getUrgency(second) - getUrgency(first));
    for (const plan of undersized) {
      while (getLack(plan) > 0) {
        const host = takeHost();
        if (host === undefined) return;
        this.#begin(host, plan.service);
        plan.incomingHosts += 1;
      }
    }
  }

  #begin(host: Host, to: string): void {
    const { state, hosts } = this.#options;
    if (!hosts.reserve(host, "move")) return;
    const stage = MoveStage.Emptying;
    const executorId = hosts.getExecutor(host)?.id ?? "";
    const move = {
      host: host.name,
      from: host.pool,
      to,
      executorId,
      stage,
      since: state.now,
    };
    this.#moves.set(host.name, move);
    this.#advance(move);
  }

  #getPlans(): PoolPlan[] {
    const { state, hosts, demand, policy } = this.#options;
    const plans = new Map<string, PoolPlan>();
    for (const service of state.configuration.services.values()) {
      if (service.isSpare) continue;
      const { name } = service;
      const load = demand.adjustLoad(
        name,
        measurePoolLoad(state, name, hosts.getHosts().values()),
      );
      const hostsNeeded = this.#getNeed(name, load);
      const foreseen = demand.foresee(name, load, DIRECT_MOVE_WAIT_MILLISECONDS);
      const hostsForeseen = foreseen === undefined ? 0 : getHostsNeeded(foreseen.load, policy);
      plans.set(name, {
        service: name,
        hosts: [],
        hostsNeeded,
        hostsForeseen: foreseen?.isDue ? Math.max(hostsNeeded, hostsForeseen) : hostsNeeded,
        hostsForeseenLater: hostsForeseen,
        foreseenJobRate: foreseen?.jobRate ?? 0,
        essentialHosts: getEssentialHosts(load),
        incomingHosts: 0,
      });
    }
    for (const host of hosts.getHosts().values()) {
      const move = this.#moves.get(host.name);
      const plan = plans.get(move?.to ?? host.pool);
      if (plan === undefined) continue;
      if (move !== undefined) plan.incomingHosts += 1;
      else if (hosts.isUp(host) && !hosts.isReserved(host) && this.#isUsable(host)) {
        plan.hosts.push(host);
      }
    }
    return [...plans.values()];
  }

  /** Gets whether tasks can start on a host, or are expected to within the grace period. */
  #isUsable(host: Host): boolean {
    const { state, hosts } = this.#options;
    const executor = hosts.getExecutor(host);
    if (executor?.entry.isDraining === true || state.evacuatedZones.has(host.zone)) return false;
    if (executor?.isListed === true && executor.pollsFailingSince === undefined) {
      this.#unusableSince.delete(host.name);
      return true;
    }
    const since = this.#unusableSince.get(host.name) ?? state.now;
    this.#unusableSince.set(host.name, since);
    return state.now - since < UNUSABLE_GRACE_MILLISECONDS;
  }

  /** Gets the number of hosts that a service needs: the peak within the retention time. */
  #getNeed(service: string, load: PoolLoad): number {
    const { state, policy } = this.#options;
    const need = getHostsNeeded(load, policy);
    const peak = this.#peaks.get(service) ?? this.#getFirstPeak(service);
    const retention = this.#options.demand.isAfterBurst(service)
      ? PEAK_RETENTION_AFTER_BURST_MILLISECONDS
      : PEAK_RETENTION_MILLISECONDS;
    const isNewPeak = need >= peak.need || state.now - peak.at > retention;
    const current = isNewPeak ? { need, at: state.now } : peak;
    this.#peaks.set(service, current);
    if (isNewPeak && need !== peak.need) this.#logNeed(service, need, load);
    return current.need;
  }

  /** A new owner does not know the recent arrivals, so it starts from the current pool size. */
  #getFirstPeak(service: string): { need: number; at: number } {
    const { state, hosts } = this.#options;
    const inPool = [...hosts.getHosts().values()].filter(({ pool }) => pool === service);
    return { need: inPool.length, at: state.now };
  }

  #logNeed(service: string, need: number, load: PoolLoad): void {
    this.#options.state.log("pool-need", {
      service,
      hosts: need,
      usedCpu: load.cpu.used,
      waitingCpu: load.cpu.waiting,
      forecastCpu: Math.round(load.cpu.forecast),
      usedMemory: load.memory.used,
      waitingMemory: load.memory.waiting,
      forecastMemory: Math.round(load.memory.forecast),
      longRunningExecutors: load.minimumLongRunningExecutors,
    });
  }

  #getSpareHosts(): Host[] {
    const { state, hosts, maintenance } = this.#options;
    const spares = [...hosts.getHosts().values()].filter((host) =>
      this.#isSpare(host.pool) && hosts.isUp(host) && this.#isFree(host) &&
      !state.evacuatedZones.has(host.zone)
    );
    // Hosts are taken from the end. Those with pending maintenance come first and stay idle, since
    // maintaining an idle host interrupts nothing.
    spares.sort((first, second) =>
      Number(maintenance.hasPendingMaintenance(second.name)) -
      Number(maintenance.hasPendingMaintenance(first.name))
    );
    return spares;
  }

  #takeSurplus(plans: PoolPlan[]): Host | undefined {
    const donor = plans.find((plan) => getForeseenShortfall(plan) < 0) ??
      plans.find((plan) => getShortfall(plan) < 0);
    return donor === undefined ? undefined : this.#takeCheapestHost(donor);
  }

  /** Takes a host without runs from a pool that needs it neither now nor for a foreseen burst. */
  #takeIdleSurplus(plans: readonly PoolPlan[]): Host | undefined {
    const { hosts } = this.#options;
    for (const plan of plans) {
      if (getForeseenShortfall(plan) >= 0) continue;
      const hasIdleHost = plan.hosts.some((host) => this.#isFree(host) && hosts.isEmpty(host));
      if (hasIdleHost) return this.#takeCheapestHost(plan);
    }
    return undefined;
  }

  /** Takes a host from a pool that needs it neither now nor for a foreseen burst. */
  #takeForeseenSurplus(plans: readonly PoolPlan[]): Host | undefined {
    const donor = plans.find((plan) => getForeseenShortfall(plan) < 0);
    return donor === undefined ? undefined : this.#takeCheapestHost(donor);
  }

  /** Takes a host from the pool that has the most beyond its essential ones. */
  #takeInessential(plans: PoolPlan[]): Host | undefined {
    const donors = plans.filter((plan) => plan.hosts.length > plan.essentialHosts);
    donors.sort((first, second) => getInessentialCount(second) - getInessentialCount(first));
    for (const donor of donors) {
      const host = this.#takeCheapestHost(donor);
      if (host !== undefined) return host;
    }
    return undefined;
  }

  /** Removes the host with the lowest emptying cost from a pool, and returns it. */
  #takeCheapestHost(plan: PoolPlan): Host | undefined {
    const { hosts, maintenance } = this.#options;
    const getCost = (host: Host) =>
      hosts.getEmptyingCost(host) -
      (maintenance.hasPendingMaintenance(host.name) ? PENDING_MAINTENANCE_CREDIT : 0);
    const [host] = plan.hosts.filter((candidate) => this.#isFree(candidate))
      .sort((first, second) => getCost(first) - getCost(second));
    if (host === undefined) return undefined;
    plan.hosts.splice(plan.hosts.indexOf(host), 1);
    return host;
  }

  #isFree(host: Host): boolean {
    const { hosts } = this.#options;
    return !hosts.isReserved(host) && hosts.mayOrder(host.name);
  }

  #isSpare(service: string): boolean {
    return this.#options.state.configuration.services.get(service)?.isSpare === true;
  }
}

/** Gets how many hosts a pool lacks. Negative if it has more than it needs. */
function getShortfall(plan: PoolPlan): number {
  return plan.hostsNeeded - plan.hosts.length - plan.incomingHosts;
}

/** Gets how many essential hosts a pool lacks. */
function getEssentialShortfall(plan: PoolPlan): number {
  return plan.essentialHosts - plan.hosts.length - plan.incomingHosts;
}

/** Gets how many hosts a pool has beyond its essential ones. */
function getInessentialCount(plan: PoolPlan): number {
  return plan.hosts.length - plan.essentialHosts;
}

/** Gets how many hosts a pool lacks with a foreseen burst that is due. */
function getForeseenShortfall(plan: PoolPlan): number {
  return plan.hostsForeseen - plan.hosts.length - plan.incomingHosts;
}

/** Gets how many hosts a pool will lack at a foreseen burst that is not due yet. */
function getLaterShortfall(plan: PoolPlan): number {
  const lack = plan.hostsForeseenLater - plan.hosts.length - plan.incomingHosts;
  return Math.max(0, lack - Math.max(0, getForeseenShortfall(plan)));
}

/** Gets the rate of the jobs of a foreseen burst that the hosts a pool lacks would make late. */
function getLateJobRate(plan: PoolPlan): number {
  return plan.foreseenJobRate * getForeseenShortfall(plan) / Math.max(1, plan.hostsForeseen);
}
