/** The demand that this entry host sends to the keepers of full pools, and their allotments. */

import { getDemandLevel } from "../contracts/loans/demand_level.ts";
import type { ShareAllotment, ShareDemand } from "../teams/share_messages.ts";
import type { DispatchPool } from "./dispatch_pool.ts";

/** How long an allotment is valid. */
const ALLOTMENT_MILLISECONDS = 5_000;

/** The interval at which an unchanged demand is sent again. */
const REPEAT_MILLISECONDS = 2_000;

/** The number of consecutive windows with waiting requests after which a pool counts as full. */
const WINDOWS_BEFORE_FULL = 3;

interface ReceivedAllotment {
  until: number;
  allotment: ShareAllotment;
}

interface SentDemand {
  at: number;
  text: string;
}

/** The allotments and the demand by pool. */
export class DispatchShares {
  readonly #allotments = new Map<string, ReceivedAllotment>();
  readonly #sentDemands = new Map<string, SentDemand>();
  readonly #fullWindows = new Map<string, number>();

  private constructor() {}

  static create(): DispatchShares {
    return new DispatchShares();
  }

  /** Sets the allotment of a pool. */
  setAllotment(allotment: ShareAllotment, now: number): void {
    this.#allotments.set(allotment.pool, { until: now + ALLOTMENT_MILLISECONDS, allotment });
  }

  /** Gets the allotment of a pool, if it is valid. */
  getAllotment(pool: string, now: number): ShareAllotment | undefined {
    const received = this.#allotments.get(pool);
    return received !== undefined && now < received.until ? received.allotment : undefined;
  }

  /** Gets the demand to send for a pool in which requests wait, at this entry host or at another. */
  takeDemand(pool: DispatchPool, now: number): ShareDemand | undefined {
    const windows = pool.getWaitingCount() > 0 ? (this.#fullWindows.get(pool.service) ?? 0) + 1 : 0;
    this.#fullWindows.set(pool.service, windows);
    const isFull = windows >= WINDOWS_BEFORE_FULL ||
      this.getAllotment(pool.service, now) !== undefined;
    if (!isFull) return undefined;
    const demands = [...pool.getTeams()].flatMap((team): [string, number][] => {
      const demand = getDemandLevel(team.running + team.queue.getLength());
      return demand === 0 ? [] : [[team.team, demand]];
    });
    const text = JSON.stringify(demands);
    const sent = this.#sentDemands.get(pool.service);
    if (sent?.text === text && now - sent.at < REPEAT_MILLISECONDS) return undefined;
    this.#sentDemands.set(pool.service, { at: now, text });
    if (demands.length === 0 && sent?.text === text) return undefined;
    return { kind: "share-demand", pool: pool.service, demands };
  }
}
