/** Divides pools over teams and entry hosts by share and demand; runs at the pools' keeper. */

import { apportion } from "../contracts/loans/apportion.ts";
import type { Fleet } from "../records/fleet.ts";
import type { ShareAllotment, ShareDemand } from "./share_messages.ts";
import { divideMaxMin } from "./weighted_max_min.ts";

/** How long a demand that is not repeated stays valid. */
const DEMAND_VALIDITY_MILLISECONDS = 6_000;

/** The time between two divisions of a pool. */
const DIVISION_INTERVAL_MILLISECONDS = 500;

/** The time after which an unchanged allotment is sent again. */
const REPEAT_INTERVAL_MILLISECONDS = 2_000;

/** The relative difference from the last sent allotment above which a new one is sent at once. */
const RESEND_THRESHOLD_FRACTION = 0.04;

/** Divides a capacity over teams by weight; no part exceeds the team's demand. */
export type DivideShares = typeof divideMaxMin;

/** Options of a `ShareAllocator`. */
export interface ShareAllocatorOptions {
  /** Divides the capacity of a pool over its teams. */
  divide: DivideShares;
}

/** An allotment and its destination. */
export interface AddressedAllotment {
  /** The id of the receiving member. */
  to: string;
  message: ShareAllotment;
}

/** A host's demand by team, and when it was received, in milliseconds of the monotonic clock. */
interface HostDemand {
  at: number;
  demands: Map<string, number>;
}

/** The allotments last sent, with the time of sending, and the demands of one pool. */
interface PoolState {
  dividedAt: number;
  sent: Map<string, { at: number; message: ShareAllotment }>;
  hosts: Map<string, HostDemand>;
}

/** Owns the demands by pool and host; lost or late messages delay fairness, but break no limit. */
export class ShareAllocator {
  readonly #divide: DivideShares;
  readonly #pools = new Map<string, PoolState>();

  private constructor(options: ShareAllocatorOptions) {
    this.#divide = options.divide;
  }

  /** Creates an allocator without demands. */
  static create(options: ShareAllocatorOptions): ShareAllocator {
    return new ShareAllocator(options);
  }

  /** Sets the demand of a host for a pool, and replaces the earlier one. */
  setDemand(from: string, message: ShareDemand, now: number): void {
    const state = this.#pools.get(message.pool) ??
      { dividedAt: -Infinity, sent: new Map(), hosts: new Map<string, HostDemand>() };
    this.#pools.set(message.pool, state);
    state.hosts.set(from, { at: now, demands: new Map(message.demands) });
  }

  /** Gets whether any pool has a demand. */
  hasDemand(): boolean {
    return this.#pools.size > 0;
  }

  /** Divides the pools that are due, and gets the allotments to send. */
  takeAllotments(fleet: Fleet, members: readonly string[], now: number): AddressedAllotment[] {
    const allotments: AddressedAllotment[] = [];
    for (const [pool, state] of this.#pools) {
      if (now - state.dividedAt < DIVISION_INTERVAL_MILLISECONDS) continue;
      state.dividedAt = now;
      for (const [host, { at }] of state.hosts) {
        if (now - at >= DEMAND_VALIDITY_MILLISECONDS || !members.includes(host)) {
          state.hosts.delete(host);
        }
      }
      if (state.hosts.size === 0) this.#pools.delete(pool);
      else {
        const poolAllotments = this.#dividePool(fleet, pool, state, members);
        allotments.push(
          ...poolAllotments.filter((allotment) => markSentIfDue(state, allotment, now)),
        );
      }
    }
    return allotments;
  }

  #dividePool(
    fleet: Fleet,
    pool: string,
    state: PoolState,
    members: readonly string[],
  ): AddressedAllotment[] {
    const partsByMember = this.#divideTeams(fleet, pool, state, members);
    const executors = fleet.getPool(pool).getSchedulableExecutors();
    const capacity = executors.reduce((sum, host) => sum + host.getData().slots, 0);
    const slotsByMember = partsByMember.map((memberParts) =>
      memberParts.reduce((sum, [, part]) => sum + part, 0)
    );
    const allottedSlots = slotsByMember.reduce((sum, memberSlots) => sum + memberSlots, 0);
    const total = Math.min(capacity, Math.ceil(allottedSlots));
    const slots = apportion({ total, weights: slotsByMember, rotation: 0 });
    let first = 0;
    return members.map((to, index) => {
      const message: ShareAllotment = {
        kind: "share-allotment",
        pool,
        slots: slots[index]!,
        first: first % Math.max(1, executors.length),
        parts: partsByMember[index]!,
      };
      first += slots[index]!;
      return { to, message };
    });
  }

  /** Gets the slots allotted to each team at each host, in proportion to its demand there. */
  #divideTeams(
    fleet: Fleet,
    pool: string,
    state: PoolState,
    members: readonly string[],
  ): [string, number][][] {
    const rights = fleet.getService(pool)?.getProfile().getData().teams ?? [];
    const demands = rights.map(({ team }) => sumDemand(state, team));
    const weightedDemands = rights.map(({ team, share }, index) => {
      const limit = fleet.getTeam(team)?.getUpperLimit() ?? 0;
      return { weight: share, demand: Math.min(limit, demands[index]!) };
    });
    const executors = fleet.getPool(pool).getSchedulableExecutors();
    const capacity = executors.reduce((sum, host) => sum + host.getData().slots, 0);
    const allottedByTeam = this.#divide(capacity, weightedDemands);
    return members.map((member) => {
      const memberDemands = state.hosts.get(member)?.demands;
      return rights.flatMap(({ team }, index): [string, number][] => {
        const demand = memberDemands?.get(team) ?? 0;
        if (demand === 0) return [];
        return [[
          team,
          Math.round(1_000 * allottedByTeam[index]! * demand / demands[index]!) / 1_000,
        ]];
      });
    });
  }
}

function sumDemand(state: PoolState, team: string): number {
  let sum = 0;
  for (const { demands } of state.hosts.values()) sum += demands.get(team) ?? 0;
  return sum;
}

function markSentIfDue(
  state: PoolState,
  { to, message }: AddressedAllotment,
  now: number,
): boolean {
  const sent = state.sent.get(to);
  if (
    sent !== undefined && now - sent.at < REPEAT_INTERVAL_MILLISECONDS &&
    isSimilar(sent.message, message)
  ) {
    return false;
  }
  state.sent.set(to, { at: now, message });
  return true;
}

function isSimilar(sent: ShareAllotment, message: ShareAllotment): boolean {
  if (sent.parts.length !== message.parts.length) return false;
  return message.parts.every(([team, part], index) => {
    const [sentTeam, sentPart] = sent.parts[index]!;
    return team === sentTeam && Math.abs(part - sentPart) <= part * RESEND_THRESHOLD_FRACTION;
  });
}
