/** The hosts of the platform's stand-in: a lagging list, and reboot orders that take effect only once. */

import { z } from "zod";
import { hostDescriptionSchema } from "../machines/host_records.ts";
import { type ListedHost, ListedState, type RebootResult } from "../records/platform_messages.ts";

/** The faults of hosts that can be injected. */
export interface HostFaults {
  /** The lag of the list of hosts. */
  listLagMilliseconds: number;
  /** The duration of a reboot. */
  rebootMilliseconds: number;
  /** The hosts that do not return from a reboot. */
  neverReturning: readonly string[];
}

/** Statistics of the reboots. */
export interface RebootStatistics {
  /** The number of reboots of each host. */
  reboots: Record<string, number>;
  /** The maximum number of hosts of each pool that were unavailable because of reboots at the same time. */
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
  readonly #rebooting = new Map<string, NodeJS.Timeout | undefined>();
  readonly #reboots = new Map<string, number>();
  readonly #maximumUnavailableByPool = new Map<string, number>();

  private constructor() {}

  static create(): PlatformHosts {
    return new PlatformHosts();
  }

  /** Adds a host to the list, or replaces its entry. */
  register(body: unknown): { host: string } {
    const host = listedHostSchema.parse(body) as ListedHost;
    this.#set(host.host, host);
    return { host: host.host };
  }

  /** Removes a host from the list, as if it were lost. */
  remove(name: string): void {
    this.#set(name, undefined);
  }

  /** Gets the list as it was before the lag. */
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

  /** Reboots a host, unless its number of boots differs from that of the order. */
  reboot(name: string, body: unknown, faults: HostFaults): RebootResult {
    const { boots } = z.object({ boots: z.int().min(0) }).parse(body);
    const host = this.#hosts.get(name);
    if (host === undefined) return { outcome: "refused", reason: "the host is not live" };
    if (host.boots !== boots) {
      return { outcome: "refused", reason: `the host has booted ${host.boots} times` };
    }
    this.#reboots.set(name, (this.#reboots.get(name) ?? 0) + 1);
    this.#set(name, undefined);
    const completeReboot = () => {
      this.#rebooting.delete(name);
      this.#set(name, { ...host, boots: boots + 1 });
    };
    const isLost = faults.neverReturning.includes(name);
    this.#rebooting.set(
      name,
      isLost ? undefined : setTimeout(completeReboot, faults.rebootMilliseconds),
    );
    this.#updateMaximumUnavailable(host.pool);
    return { outcome: "ordered" };
  }

  /** Gets the statistics of the reboots. */
  getRebootStatistics(): RebootStatistics {
    return {
      reboots: Object.fromEntries(this.#reboots),
      maximumUnavailableByPool: Object.fromEntries(this.#maximumUnavailableByPool),
    };
  }

  /** Cancels the reboots in progress. */
  close(): void {
    for (const timer of this.#rebooting.values()) clearTimeout(timer);
  }

  #set(name: string, host: ListedHost | undefined): void {
    if (host === undefined) this.#hosts.delete(name);
    else this.#hosts.set(name, host);
    this.#changes.push({ at: Date.now(), host, name });
  }

  #updateMaximumUnavailable(pool: string): void {
    const belongsToPool = (name: string) =>
      this.#changes.some((change) => change.name === name && change.host?.pool === pool);
    const rebooting = [...this.#rebooting.keys()].filter(belongsToPool).length;
    this.#maximumUnavailableByPool.set(
      pool,
      Math.max(rebooting, this.#maximumUnavailableByPool.get(pool) ?? 0),
    );
  }
}
