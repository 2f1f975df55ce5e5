/** What this entry host tells the keepers of full pools, and the allotments that it follows. */

import { getDemandLevel } from "../contracts/loans/demand_level.ts";
import type { ShareAllotment, ShareDemand } from "../teams/share_messages.ts";
import type { DispatchPool } from "./dispatch_pool.ts";

/** How long an allotment is followed. */
const ALLOTMENT_MILLISECONDS = 5_000;

/** The time after which an unchanged demand is told again. */
const REPEAT_MILLISECONDS = 2_000;

/** The windows in a row in which requests must wait before a pool counts as full. */
const WINDOWS_BEFORE_FULL = 3;

interface HeardAllotment {
  until: number;
  allotment: ShareAllotment;
}

interface ToldDemand {
  at: number;
  text: string;
}

/** The allotments by pool. */
export class DispatchShares {
  readonly #heard = new Map<string, HeardAllotment>();
  readonly #told = new Map<string, ToldDemand>();
  readonly #fullWindows = new Map<string, number>();

  private constructor() {}

  /** Creates shares without allotments. */
  static create(): DispatchShares {
    return new DispatchShares();
  }

  /** Follows an allotment for a while. */
  setAllotment(allotment: ShareAllotment, now: number): void {
    this.#heard.set(allotment.pool, { until: now + ALLOTMENT_MILLISECONDS, allotment });
  }

  /** Gets the allotment of a pool, if there is one to follow. */
  getAllotment(pool: string, now: number): ShareAllotment | undefined {
    const heard = this.#heard.get(pool);
    return heard !== undefined && now < heard.until ? heard.allotment : undefined;
  }

  /** Gets the demand to tell: of pools in which requests wait, here or at another host. */
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
    const told = this.#told.get(pool.service);
    if (told?.text === text && now - told.at < REPEAT_MILLISECONDS) return undefined;
    this.#told.set(pool.service, { at: now, text });
    if (demands.length === 0 && told?.text === text) return undefined;
    return { kind: "share-demand", pool: pool.service, demands };
  }
}
