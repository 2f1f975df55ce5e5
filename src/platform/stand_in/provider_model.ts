/** The provider of hosts as its protocol describes it, without clock or socket. */

import { type Host, HostOrderOutcome, HostState } from "../../fleet/host.ts";

/** An order for a host, as the model takes it. */
export interface ModelHostOrder {
  /** The host. */
  host: string;
  /** The fence of the owner, of which there is one for each holder. */
  fence: number;
}

/** Options of a `ProviderModel`. */
export interface ProviderModelOptions {
  /** The hosts. */
  hosts: readonly Host[];
  /** How long a host is away for a move, in milliseconds. */
  moveMilliseconds: number;
  /** How long a host is away for maintenance, in milliseconds. */
  maintenanceMilliseconds: number;
  /** How long two holders must be apart at one host, in milliseconds. */
  leaseMilliseconds: number;
  /** Tells whether the provider knows that a host is one of a wave; left out, it always is. */
  isInWave?: (host: string, wave: number) => boolean;
  /** Sees a host that is being taken away, with its executor still running. */
  onOutOfService: (host: Host) => void;
  /** Sees a host that has left for good, with its executor still running. */
  onRemoved: (host: Host) => void;
  /** Sees a host that is back in a pool; gets the id of its new executor, or empty. */
  onInService: (host: Host) => string;
  /** Sees a broken promise. */
  onViolation: (rule: string, what: string) => void;
}

interface ModelHost {
  host: Host;
  /** When it is back, if it is away. */
  backAt: number | undefined;
  /** The waves whose maintenance it has had. */
  waves: Set<number>;
  lastOrder: { fence: number; at: number } | undefined;
}

/** A page of the list. */
export interface HostPage {
  /** The hosts. */
  hosts: Host[];
  /** Where the next page begins, or undefined if this one is the last. */
  next: number | undefined;
}

/** The hosts and their pools. */
export class ProviderModel {
  /** The number of moves so far. */
  moves = 0;
  readonly #options: ProviderModelOptions;
  readonly #hosts = new Map<string, ModelHost>();
  /** The hosts that stay but are missing from the list. */
  readonly #unlisted = new Set<string>();

  private constructor(options: ProviderModelOptions) {
    this.#options = options;
    for (const host of options.hosts) this.add(host);
  }

  /** Creates the provider with its hosts in their pools. */
  static create(options: ProviderModelOptions): ProviderModel {
    return new ProviderModel(options);
  }

  /** Gets all hosts that are listed. */
  list(): Host[] {
    return [...this.#hosts.values()].filter(({ host }) => !this.#unlisted.has(host.name))
      .map(({ host }) => ({ ...host }));
  }

  /** Gets a page of the list by pools: a host that moves between two pages can be on neither. */
  listPage(from: number, most: number): HostPage {
    const hosts = this.list().sort((first, second) => comparePlaces(first, second));
    const next = from + most;
    return { hosts: hosts.slice(from, next), next: next < hosts.length ? next : undefined };
  }

  /** Sets whether a host that stays is listed. */
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

  /** Takes a host out of all pools, with its executor. */
  remove(name: string): void {
    const known = this.#hosts.get(name);
    if (known === undefined) return;
    this.#hosts.delete(name);
    this.#options.onRemoved(known.host);
  }

  /** Gets whether a host stays, listed or not. */
  hasHost(name: string): boolean {
    return this.#hosts.has(name);
  }

  /** Gets the number of hosts that are away for maintenance. */
  getCountUnderMaintenance(): number {
    const hosts = [...this.#hosts.values()];
    return hosts.filter(({ host }) => host.state === HostState.Maintenance).length;
  }

  /** Gets whether a host has had the maintenance of a wave. */
  wasMaintained(host: string, wave: number): boolean {
    return this.#hosts.get(host)?.waves.has(wave) === true;
  }

  /** Moves a host to a pool. */
  move(order: ModelHostOrder, pool: string, now: number): HostOrderOutcome {
    const known = this.#hosts.get(order.host);
    if (known === undefined) return HostOrderOutcome.Impossible;
    this.#judge(known, order, now);
    if (known.host.pool === pool) return HostOrderOutcome.Accepted;
    if (known.backAt !== undefined) return HostOrderOutcome.NotInService;
    this.moves += 1;
    this.#take(known, HostState.Moving, now + this.#options.moveMilliseconds);
    known.host.pool = pool;
    return HostOrderOutcome.Accepted;
  }

  /** Maintains a host for a wave, once. */
  maintain(order: ModelHostOrder, wave: number, now: number): HostOrderOutcome {
    const known = this.#hosts.get(order.host);
    if (known === undefined) return HostOrderOutcome.Impossible;
    this.#judge(known, order, now);
    if (known.waves.has(wave)) return HostOrderOutcome.Accepted;
    if (this.#options.isInWave?.(order.host, wave) === false) return HostOrderOutcome.Impossible;
    if (known.backAt !== undefined) return HostOrderOutcome.NotInService;
    known.waves.add(wave);
    this.#take(known, HostState.Maintenance, now + this.#options.maintenanceMilliseconds);
    return HostOrderOutcome.Accepted;
  }

  /** Brings back the hosts whose time is over. */
  advance(now: number): void {
    for (const known of this.#hosts.values()) {
      if (known.backAt === undefined || known.backAt > now) continue;
      known.backAt = undefined;
      known.host.state = HostState.Up;
      known.host.executorId = this.#options.onInService(known.host);
    }
  }

  #take(known: ModelHost, state: HostState, backAt: number): void {
    this.#options.onOutOfService(known.host);
    known.host.state = state;
    known.host.executorId = "";
    known.backAt = backAt;
  }

  #judge(known: ModelHost, { host, fence }: ModelHostOrder, now: number): void {
    const last = known.lastOrder;
    if (last !== undefined && last.fence > fence) {
      this.#options.onViolation("ONE", `${host}: fence ${fence} after ${last.fence}`);
    }
    const isOther = last !== undefined && last.fence < fence;
    if (isOther && now - last.at < this.#options.leaseMilliseconds) {
      this.#options.onViolation(
        "ONE",
        `${host}: two holders within ${Math.round(now - last.at)} ms`,
      );
    }
    known.lastOrder = { fence, at: now };
  }
}

/** Compares hosts by their pools, then by name. */
function comparePlaces(first: Host, second: Host): number {
  return first.pool.localeCompare(second.pool) || first.name.localeCompare(second.name);
}
