/** Which hosts are lost without a plan, as the platform's lagging list shows it. */

import { type HostData, HostState } from "../machines/host_data.ts";
import type { Fleet } from "../records/fleet.ts";
import { type ListedHost, ListedState } from "../records/platform_messages.ts";
import { BudgetScope, DEFAULT_BUDGET_NAME, getBudgetKey } from "./budget_data.ts";

/** The hosts of the platform's list by name. */
export type ListedHosts = ReadonlyMap<string, ListedHost>;

/** Gets the hosts that serve as far as the log says, but are leaving or not in the list. */
export function findLostHosts(fleet: Fleet, listed: ListedHosts): HostData[] {
  const lost: HostData[] = [];
  for (const host of fleet.tables.hosts.values()) {
    if (host.state !== HostState.Serving) continue;
    if (listed.get(host.host)?.state !== ListedState.Live) lost.push(host);
  }
  return lost;
}

/** The lost hosts by pool, zone and rack, so that a record names only those that matter to it. */
export class LostHostIndex {
  readonly #fleet: Fleet;
  readonly #lost: readonly HostData[];
  readonly #byPool: ReadonlyMap<string, HostData[]>;
  readonly #byZone: ReadonlyMap<string, HostData[]>;

  private constructor(fleet: Fleet, lost: readonly HostData[]) {
    this.#fleet = fleet;
    this.#lost = lost;
    this.#byPool = groupBy(lost, (host) => host.pool);
    this.#byZone = groupBy(lost, (host) => host.zone);
  }

  /** Creates the index of the hosts that the list shows as lost. */
  static create(fleet: Fleet, listed: ListedHosts): LostHostIndex {
    return new LostHostIndex(fleet, findLostHosts(fleet, listed));
  }

  /** Gets the names of all lost hosts. */
  getNames(): string[] {
    return this.#lost.map((host) => host.host);
  }

  /** Gets the lost hosts of the domains of a host whose budgets are set. */
  getNamesForHost(host: HostData): string[] {
    const names = new Set(this.#byPool.get(host.pool)?.map((lost) => lost.host));
    const inZone = this.#byZone.get(host.zone) ?? [];
    const isZoneBound = this.#isBound(BudgetScope.Zone, host.zone);
    const isRackBound = this.#isBound(BudgetScope.Rack, `${host.zone}/${host.rack}`);
    for (const lost of inZone) {
      if (isZoneBound || (isRackBound && lost.rack === host.rack)) names.add(lost.host);
    }
    return [...names];
  }

  #isBound(scope: BudgetScope, name: string): boolean {
    const { budgets } = this.#fleet.tables;
    return budgets.has(getBudgetKey(scope, name)) ||
      budgets.has(getBudgetKey(scope, DEFAULT_BUDGET_NAME));
  }
}

function groupBy(
  hosts: readonly HostData[],
  getName: (host: HostData) => string,
): Map<string, HostData[]> {
  const groups = new Map<string, HostData[]>();
  for (const host of hosts) {
    const group = groups.get(getName(host));
    if (group === undefined) groups.set(getName(host), [host]);
    else group.push(host);
  }
  return groups;
}
