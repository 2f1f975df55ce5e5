/** Decides whether one more host may be drained, given the disruption budgets and the unavailable hosts. */

import { type HostData, HostState } from "../machines/host_data.ts";
import type { FleetDraft } from "../records/fleet_draft.ts";
import {
  BudgetScope,
  DEFAULT_BUDGET_NAME,
  DEFAULT_POOL_BUDGET,
  getBudgetKey,
} from "./budget_data.ts";
import {
  getHostCounts,
  getPoolDomain,
  getPoolZoneDomain,
  getRackDomain,
  getZoneDomain,
} from "./host_counts.ts";

/** The lost hosts, which became unavailable without being drained, counted by failure domain. */
export interface Losses {
  /** The names of the lost hosts that are serving according to the log. */
  hosts: ReadonlySet<string>;
  /** The number of these hosts by domain. */
  byDomain: ReadonlyMap<string, number>;
}

/** A budget that does not allow one more unavailable host. */
export interface ExhaustedBudget {
  /** Whether it applies to a pool, a zone or a rack. */
  scope: BudgetScope;
  /** The name of the pool, zone or rack. */
  name: string;
  /** The maximum number of unavailable hosts. */
  mostAway: number;
  /** The number of drained hosts. */
  drained: number;
  /** The number of lost hosts. */
  lost: number;
  /** The number of other hosts that are in zones taken out of service. */
  out: number;
}

/** Gets the first budget that does not allow the host to be drained, if there is one. */
export type CheckDrain = (
  draft: FleetDraft,
  host: HostData,
  losses: Losses,
) => ExhaustedBudget | undefined;

/** Counts lost hosts by domain. Hosts that are not serving are skipped: they count as drained. */
export function countLosses(draft: FleetDraft, names: Iterable<string>): Losses {
  const hosts = new Set<string>();
  const byDomain = new Map<string, number>();
  for (const name of names) {
    const host = draft.get("hosts", name);
    if (host === undefined || host.state !== HostState.Serving || hosts.has(name)) continue;
    hosts.add(name);
    for (const domain of getDomains(host)) byDomain.set(domain, (byDomain.get(domain) ?? 0) + 1);
  }
  return { hosts, byDomain };
}

/** Checks the budgets of the host's pool, zone and rack. */
export function checkDrain(
  draft: FleetDraft,
  host: HostData,
  losses: Losses,
): ExhaustedBudget | undefined {
  return checkPoolBudget(draft, host, losses) ?? checkZoneBudget(draft, host, losses) ??
    checkRackBudget(draft, host, losses);
}

/** Gets the reason for a refusal, and what an operator can do. */
export function describeExhaustedBudget(budget: ExhaustedBudget): string {
  const { scope, name, mostAway, drained, lost, out } = budget;
  const unavailable = drained + lost + out;
  return `${scope} ${name} may have ${mostAway} away and has ${unavailable} (${drained} drained, ` +
    `${lost} lost, ${out} in zones that are out); wait for a return, or set its budget`;
}

/** Gets how many hosts of a domain may be unavailable, or undefined if there is no limit. */
export function getMaximumUnavailable(
  draft: FleetDraft,
  scope: BudgetScope,
  name: string,
): number | undefined {
  const budget = draft.get("budgets", getBudgetKey(scope, name)) ??
    draft.get("budgets", getBudgetKey(scope, DEFAULT_BUDGET_NAME));
  if (budget !== undefined) return budget.mostAway;
  return scope === BudgetScope.Pool ? DEFAULT_POOL_BUDGET : undefined;
}

/**
 * A host in a zone that is out of service is unavailable already, so for such a host the hosts in these
 * zones do not count. The budget must still allow its drain, which remains when the zone returns.
 */
function checkPoolBudget(
  draft: FleetDraft,
  host: HostData,
  losses: Losses,
): ExhaustedBudget | undefined {
  const isOut = draft.get("zones", host.zone)?.isOut ?? false;
  const out = isOut ? 0 : countHostsInZonesOutOfService(draft, host.pool, losses);
  return checkDomain(draft, {
    scope: BudgetScope.Pool,
    name: host.pool,
    domain: getPoolDomain(host.pool),
    host,
    losses,
    out,
  });
}

function checkZoneBudget(
  draft: FleetDraft,
  host: HostData,
  losses: Losses,
): ExhaustedBudget | undefined {
  const domain = getZoneDomain(host.zone);
  return checkDomain(draft, {
    scope: BudgetScope.Zone,
    name: host.zone,
    domain,
    host,
    losses,
    out: 0,
  });
}

function checkRackBudget(
  draft: FleetDraft,
  host: HostData,
  losses: Losses,
): ExhaustedBudget | undefined {
  const domain = getRackDomain(host.zone, host.rack);
  const name = `${host.zone}/${host.rack}`;
  return checkDomain(draft, { scope: BudgetScope.Rack, name, domain, host, losses, out: 0 });
}

interface DomainCheck {
  scope: BudgetScope;
  name: string;
  domain: string;
  host: HostData;
  losses: Losses;
  out: number;
}

function checkDomain(draft: FleetDraft, check: DomainCheck): ExhaustedBudget | undefined {
  const { scope, name, out, losses } = check;
  const mostAway = getMaximumUnavailable(draft, scope, name);
  if (mostAway === undefined) return undefined;
  const { drained } = getHostCounts(draft, check.domain);
  const lost = losses.byDomain.get(check.domain) ?? 0;
  const added = losses.hosts.has(check.host.host) ? 0 : 1;
  if (drained + lost + out + added <= mostAway) return undefined;
  return { scope, name, mostAway, drained, lost, out };
}

/** Counts the hosts of a pool that are unavailable only because their zones are out of service. */
function countHostsInZonesOutOfService(draft: FleetDraft, pool: string, losses: Losses): number {
  let count = 0;
  for (const zone of draft.getRows("zones").values()) {
    if (!zone.isOut) continue;
    const domain = getPoolZoneDomain(pool, zone.zone);
    count += getHostCounts(draft, domain).serving - (losses.byDomain.get(domain) ?? 0);
  }
  return count;
}

function getDomains(host: HostData): string[] {
  return [
    getPoolDomain(host.pool),
    getPoolZoneDomain(host.pool, host.zone),
    getZoneDomain(host.zone),
    getRackDomain(host.zone, host.rack),
  ];
}
