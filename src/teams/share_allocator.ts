/** What a keeper of pools knows of the demand for them, and the allotments that follow from it. */

import { apportion } from "../contracts/loans/apportion.ts";
import type { Fleet } from "../records/fleet.ts";
import type { ShareAllotment, ShareDemand } from "./share_messages.ts";
import { divideMaxMin } from "./weighted_max_min.ts";

/** How long a demand counts that is not repeated. */
const DEMAND_MILLISECONDS = 6_000;

/** The time between two divisions of a pool. */
const DIVISION_MILLISECONDS = 500;

/** The time after which an unchanged allotment is sent again. */
const REPEAT_MILLISECONDS = 2_000;

/** The part by which an allotment must differ from the one sent last to be sent at once. */
const WORTHWHILE_PART = 0.04;

/** Divides what the teams want by their shares; the parts never pass what is wanted. */
export type DivideShares = typeof divideMaxMin;

/** Options of a `ShareBook`. */
export interface ShareAllocatorOptions {
  /** Divides a capacity over teams. */
  divide: DivideShares;
}

/** An allotment and the host that it is for. */
export interface AddressedAllotment {
  /** The identity of the member. */
  to: string;
  /** The allotment. */
  message: ShareAllotment;
}

interface HostDemand {
  at: number;
  demands: Map<string, number>;
}

interface PoolPage {
  dividedAt: number;
  sent: Map<string, { at: number; message: ShareAllotment }>;
  hosts: Map<string, HostDemand>;
}

/** Demands by pool and host; a lost or late message costs fairness for a moment, never a limit. */
export class ShareAllocator {
  readonly #divide: DivideShares;
  readonly #pages = new Map<string, PoolPage>();

  private constructor(options: ShareAllocatorOptions) {
    this.#divide = options.divide;
  }

  /** Creates a book without demands. */
  static create(options: ShareAllocatorOptions): ShareAllocator {
    return new ShareAllocator(options);
  }

  /** Hears the demand of a host. */
  setDemand(from: string, message: ShareDemand, now: number): void {
    const page = this.#pages.get(message.pool) ??
      { dividedAt: -Infinity, sent: new Map(), hosts: new Map<string, HostDemand>() };
    this.#pages.set(message.pool, page);
    page.hosts.set(from, { at: now, demands: new Map(message.demands) });
  }

  /** Gets whether there is any demand. */
  hasDemand(): boolean {
    return this.#pages.size > 0;
  }

  /** Gets the allotments that are due. */
  takeAllotments(fleet: Fleet, members: readonly string[], now: number): AddressedAllotment[] {
    const allotments: AddressedAllotment[] = [];
    for (const [pool, page] of this.#pages) {
      if (now - page.dividedAt < DIVISION_MILLISECONDS) continue;
      page.dividedAt = now;
      for (const [host, { at }] of page.hosts) {
        if (now - at >= DEMAND_MILLISECONDS || !members.includes(host)) page.hosts.delete(host);
      }
      if (page.hosts.size === 0) this.#pages.delete(pool);
      else {
        const divided = this.#dividePool(fleet, pool, page, members);
        allotments.push(...divided.filter((allotment) => isDue(page, allotment, now)));
      }
    }
    return allotments;
  }

  #dividePool(
    fleet: Fleet,
    pool: string,
    page: PoolPage,
    members: readonly string[],
  ): AddressedAllotment[] {
    const parts = this.#divideTeams(fleet, pool, page, members);
    const executors = fleet.getPool(pool).getOpenExecutors();
    const capacity = executors.reduce((sum, host) => sum + host.getData().slots, 0);
    const weights = parts.map((host) => host.reduce((sum, [, part]) => sum + part, 0));
    const wanted = weights.reduce((sum, weight) => sum + weight, 0);
    const total = Math.min(capacity, Math.ceil(wanted));
    const slots = apportion({ total, weights, rotation: 0 });
    let first = 0;
    return members.map((to, index) => {
      const message: ShareAllotment = {
        kind: "share-allotment",
        pool,
        slots: slots[index]!,
        first: first % Math.max(1, executors.length),
        parts: parts[index]!,
      };
      first += slots[index]!;
      return { to, message };
    });
  }

  /** Gets the part of each team at each host: the team's part, divided by where its demand is. */
  #divideTeams(
    fleet: Fleet,
    pool: string,
    page: PoolPage,
    members: readonly string[],
  ): [string, number][][] {
    const rights = fleet.getService(pool)?.getProfile().getData().teams ?? [];
    const demands = rights.map(({ team }) => sumDemand(page, team));
    const claims = rights.map(({ team, share }, index) => {
      const limit = fleet.getTeam(team)?.getUpperLimit() ?? 0;
      return { weight: share, demand: Math.min(limit, demands[index]!) };
    });
    const executors = fleet.getPool(pool).getOpenExecutors();
    const capacity = executors.reduce((sum, host) => sum + host.getData().slots, 0);
    const given = this.#divide(capacity, claims);
    return members.map((member) => {
      const own = page.hosts.get(member)?.demands;
      return rights.flatMap(({ team }, index): [string, number][] => {
        const demand = own?.get(team) ?? 0;
        if (demand === 0) return [];
        return [[team, Math.round(1_000 * given[index]! * demand / demands[index]!) / 1_000]];
      });
    });
  }
}

function sumDemand(page: PoolPage, team: string): number {
  let sum = 0;
  for (const { demands } of page.hosts.values()) sum += demands.get(team) ?? 0;
  return sum;
}

function isDue(page: PoolPage, { to, message }: AddressedAllotment, now: number): boolean {
  const sent = page.sent.get(to);
  if (sent !== undefined && now - sent.at < REPEAT_MILLISECONDS && isNear(sent.message, message)) {
    return false;
  }
  page.sent.set(to, { at: now, message });
  return true;
}

function isNear(sent: ShareAllotment, message: ShareAllotment): boolean {
  if (sent.parts.length !== message.parts.length) return false;
  return message.parts.every(([team, part], index) => {
    const [sentTeam, sentPart] = sent.parts[index]!;
    return team === sentTeam && Math.abs(part - sentPart) <= part * WORTHWHILE_PART;
  });
}
