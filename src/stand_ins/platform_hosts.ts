/** The hosts of the platform's stand-in: a lagging list, and reboots that count only once. */

import { z } from "zod";
import { hostDescriptionSchema } from "../machines/host_records.ts";
import { type ListedHost, ListedState, type RebootResult } from "../records/platform_messages.ts";

/** The faults of hosts that can be ordered. */
export interface HostFaults {
  /** How far the list of hosts lags. */
  listLagMilliseconds: number;
  /** How long a host reboots. */
  rebootMilliseconds: number;
  /** The hosts that do not come back from a reboot. */
  neverReturning: readonly string[];
}

/** What the platform saw of reboots. */
export interface RebootStatistics {
  /** How often each host was made to reboot. */
  reboots: Record<string, number>;
  /** The most hosts of each pool that rebooted at once. */
  maximumUnavailableByPool: Record<string, number>;
}

interface ListedChange {
  at: number;
  host: ListedHost | undefined;
  name: string;
}

const listedHostSchema = z.intersection(
  hostDescriptionSchema,
  z.object({
    pool: z.string().min(1),
    state: z.enum([ListedState.Live, ListedState.Leaving]).default(ListedState.Live),
    boots: z.int().min(0).default(1),
  }),
);

/** Owns the hosts of the platform's stand-in. */
export class PlatformHosts {
  readonly #changes: ListedChange[] = [];
  readonly #hosts = new Map<string, ListedHost>();
  readonly #away = new Map<string, NodeJS.Timeout | undefined>();
  readonly #reboots = new Map<string, number>();
  readonly #mostAwayByPool = new Map<string, number>();

  private constructor() {}

  /** Creates an empty list. */
  static create(): PlatformHosts {
    return new PlatformHosts();
  }

  /** Enters a host, or changes its entry. */
  register(body: unknown): { host: string } {
    const host = listedHostSchema.parse(body) as ListedHost;
    this.#set(host.host, host);
    return { host: host.host };
  }

  /** Takes a host off the list, as when it is lost. */
  remove(name: string): void {
    this.#set(name, undefined);
  }

  /** Gets the list as it was a while ago. */
  list(faults: HostFaults): { hosts: ListedHost[] } {
    const newest = Date.now() - faults.listLagMilliseconds;
    const hosts = new Map<string, ListedHost>();
    for (const change of this.#changes) {
      if (change.at > newest) continue;
      if (change.host === undefined) hosts.delete(change.name);
      else hosts.set(change.name, change.host);
    }
    return { hosts: [...hosts.values()] };
  }

  /** Reboots a host if it has booted as often as the order says. */
  reboot(name: string, body: unknown, faults: HostFaults): RebootResult {
    const { boots } = z.object({ boots: z.int().min(0) }).parse(body);
    const host = this.#hosts.get(name);
    if (host === undefined) return { outcome: "refused", reason: "no such host is live" };
    if (host.boots !== boots) {
      return { outcome: "refused", reason: `the host has booted ${host.boots} times` };
    }
    this.#reboots.set(name, (this.#reboots.get(name) ?? 0) + 1);
    this.#set(name, undefined);
    const back = () => {
      this.#away.delete(name);
      this.#set(name, { ...host, boots: boots + 1 });
    };
    const isGone = faults.neverReturning.includes(name);
    this.#away.set(name, isGone ? undefined : setTimeout(back, faults.rebootMilliseconds));
    this.#noteAway(host.pool);
    return { outcome: "ordered" };
  }

  /** Gets what the platform saw of reboots. */
  getRebootStatistics(): RebootStatistics {
    return {
      reboots: Object.fromEntries(this.#reboots),
      maximumUnavailableByPool: Object.fromEntries(this.#mostAwayByPool),
    };
  }

  /** Ends the reboots under way. */
  close(): void {
    for (const timer of this.#away.values()) clearTimeout(timer);
  }

  #set(name: string, host: ListedHost | undefined): void {
    if (host === undefined) this.#hosts.delete(name);
    else this.#hosts.set(name, host);
    this.#changes.push({ at: Date.now(), host, name });
  }

  #noteAway(pool: string): void {
    const isOfPool = (name: string) =>
      this.#changes.some((change) => change.name === name && change.host?.pool === pool);
    const away = [...this.#away.keys()].filter(isOfPool).length;
    this.#mostAwayByPool.set(pool, Math.max(away, this.#mostAwayByPool.get(pool) ?? 0));
  }
}
