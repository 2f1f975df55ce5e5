/** A model of the host provider's protocol, without clock and sockets. */

import { type Host, HostOrderOutcome, HostState } from "../../fleet/host.ts";

/** An order to move or maintain a host. */
export interface ModelHostOrder {
  /** The host. */
  host: string;
  /** The fence of the lease holder that sends the order; each lease holder has its own. */
  fence: number;
}

/** Options of a `ProviderModel`. */
export interface ProviderModelOptions {
  /** The initial hosts. */
  hosts: readonly Host[];
  /** How long a move takes a host out of service, in milliseconds. */
  moveMilliseconds: number;
  /** How long maintenance takes a host out of service, in milliseconds. */
  maintenanceMilliseconds: number;
  /** The minimum time between orders of two lease holders for the same host, in milliseconds. */
  leaseMilliseconds: number;
  /** Tells whether the provider knows that a host is part of a wave; always true by default. */
  isInWave?: (host: string, wave: number) => boolean;
  /** Called before a host is taken out of service, while its executor is still running. */
  onOutOfService: (host: Host) => void;
  /** Called when a host was removed permanently, while its executor is still running. */
  onRemoved: (host: Host) => void;
  /** Called when a host is in service in a pool; returns the id of its new executor, or empty. */
  onInService: (host: Host) => string;
  /** Called when an invariant is violated. */
  onViolation: (rule: string, description: string) => void;
}

interface ModelHost {
  host: Host;
  /** When it will be in service again; undefined if it is in service. */
  backAt: number | undefined;
  /** The waves for which it was maintained. */
  waves: Set<number>;
  lastOrder: { fence: number; at: number } | undefined;
}

/** A page of the host list. */
export interface HostPage {
  /** The hosts. */
  hosts: Host[];
  /** The index at which the next page begins; undefined if this page is the last. */
  next: number | undefined;
}

/** A provider of hosts, which moves them between pools and maintains them. */
export class ProviderModel {
  /** The number of moves that were started. */
  moves = 0;
  readonly #options: ProviderModelOptions;
  readonly #hosts = new Map<string, ModelHost>();
  /** The existing hosts that are missing from the list. */
  readonly #unlisted = new Set<string>();

  private constructor(options: ProviderModelOptions) {
    this.#options = options;
    for (const host of options.hosts) this.add(host);
  }

  /** Creates a provider with the initial hosts in their pools. */
  static create(options: ProviderModelOptions): ProviderModel {
    return new ProviderModel(options);
  }

  /** Gets all listed hosts. */
  list(): Host[] {
    return [...this.#hosts.values()].filter(({ host }) => !this.#unlisted.has(host.name))
      .map(({ host }) => ({ ...host }));
  }

  /**
   * Gets a page of the list, which is sorted by pool.
   *
   * A host that moves while the pages are read can be missing from all of them.
   */
  listPage(from: number, limit: number): HostPage {
    const hosts = this.list().sort((first, second) => compareByPool(first, second));
    const next = from + limit;
    return { hosts: hosts.slice(from, next), next: next < hosts.length ? next : undefined };
  }

  /** Sets whether an existing host is listed. */
  setListed(name: string, isListed: boolean): void {
    if (isListed) this.#unlisted.delete(name);
    else this.#unlisted.add(name);
  }

  /** Adds a host to its pool. */
  add(host: Host): void {
    const executorId = this.#options.onInService(host);
    this.#hosts.set(host.name, {
      host: { ...host, executorId },
      backAt: undefined,
      waves: new Set(),
      lastOrder: undefined,
    });
  }

  /** Removes a host permanently, together with its executor. */
  remove(name: string): void {
    const modelHost = this.#hosts.get(name);
    if (modelHost === undefined) return;
    this.#hosts.delete(name);
    this.#options.onRemoved(modelHost.host);
  }

  /** Gets whether a host exists, listed or not. */
  hasHost(name: string): boolean {
    return this.#hosts.has(name);
  }

  /** Gets the number of hosts that are out of service for maintenance. */
  getCountUnderMaintenance(): number {
    const hosts = [...this.#hosts.values()];
    return hosts.filter(({ host }) => host.state === HostState.Maintenance).length;
  }

  /** Gets whether a host was maintained for a wave, or is being maintained for it. */
  wasMaintained(host: string, wave: number): boolean {
    return this.#hosts.get(host)?.waves.has(wave) === true;
  }

  /** Starts a move of a host to a pool. */
  move(order: ModelHostOrder, pool: string, now: number): HostOrderOutcome {
    const modelHost = this.#hosts.get(order.host);
    if (modelHost === undefined) return HostOrderOutcome.Rejected;
    this.#checkHolder(modelHost, order, now);
    if (modelHost.host.pool === pool) return HostOrderOutcome.Accepted;
    if (modelHost.backAt !== undefined) return HostOrderOutcome.NotInService;
    this.moves += 1;
    this.#takeOutOfService(modelHost, HostState.Moving, now + this.#options.moveMilliseconds);
    modelHost.host.pool = pool;
    return HostOrderOutcome.Accepted;
  }

  /** Starts the maintenance of a host for a wave, at most once per wave. */
  maintain(order: ModelHostOrder, wave: number, now: number): HostOrderOutcome {
    const modelHost = this.#hosts.get(order.host);
    if (modelHost === undefined) return HostOrderOutcome.Rejected;
    this.#checkHolder(modelHost, order, now);
    if (modelHost.waves.has(wave)) return HostOrderOutcome.Accepted;
    if (this.#options.isInWave?.(order.host, wave) === false) return HostOrderOutcome.Rejected;
    if (modelHost.backAt !== undefined) return HostOrderOutcome.NotInService;
    modelHost.waves.add(wave);
    this.#takeOutOfService(
      modelHost,
      HostState.Maintenance,
      now + this.#options.maintenanceMilliseconds,
    );
    return HostOrderOutcome.Accepted;
  }

  /** Returns hosts to service whose move or maintenance has ended by a time. */
  advance(now: number): void {
    for (const modelHost of this.#hosts.values()) {
      if (modelHost.backAt === undefined || modelHost.backAt > now) continue;
      modelHost.backAt = undefined;
      modelHost.host.state = HostState.Up;
      modelHost.host.executorId = this.#options.onInService(modelHost.host);
    }
  }

  #takeOutOfService(modelHost: ModelHost, state: HostState, backAt: number): void {
    this.#options.onOutOfService(modelHost.host);
    modelHost.host.state = state;
    modelHost.host.executorId = "";
    modelHost.backAt = backAt;
  }

  /** Checks that fences do not decrease and that orders of two holders are a lease apart. */
  #checkHolder(modelHost: ModelHost, { host, fence }: ModelHostOrder, now: number): void {
    const last = modelHost.lastOrder;
    if (last !== undefined && last.fence > fence) {
      this.#options.onViolation("ONE", `${host}: fence ${fence} after ${last.fence}`);
    }
    const isNewHolder = last !== undefined && last.fence < fence;
    if (isNewHolder && now - last.at < this.#options.leaseMilliseconds) {
      this.#options.onViolation(
        "ONE",
        `${host}: orders of two lease holders within ${Math.round(now - last.at)} ms`,
      );
    }
    modelHost.lastOrder = { fence, at: now };
  }
}

/** Compares hosts by pool, then by name. */
function compareByPool(first: Host, second: Host): number {
  return first.pool.localeCompare(second.pool) || first.name.localeCompare(second.name);
}
