/** The decision whether one more host may be away: planned and unplanned absence against every budget. */

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

/** The hosts that are lost without a plan, counted by domain. */
export interface Losses {
  /** The names of the lost hosts that serve as far as the log says. */
  hosts: ReadonlySet<string>;
  /** How many of them are in each domain. */
  byDomain: ReadonlyMap<string, number>;
}

/** A budget that has no room for one more host. */
export interface ExhaustedBudget {
  /** Whether it bounds a pool, a zone or a rack. */
  scope: BudgetScope;
  /** The name of the pool, zone or rack. */
  name: string;
  /** The most hosts that may be away. */
  mostAway: number;
  /** The hosts that are away by plan. */
  drained: number;
  /** The hosts that are lost without a plan. */
  lost: number;
  /** The further hosts that are away with their zones. */
  out: number;
}

/** Gets the first budget that has no room for the host, if there is one. */
export type CheckDrain = (
  draft: FleetDraft,
  host: HostData,
  losses: Losses,
) => ExhaustedBudget | undefined;

/** Counts lost hosts by domain; hosts that are drained already count as planned. */
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
  return checkPool(draft, host, losses) ?? checkZone(draft, host, losses) ??
    checkRack(draft, host, losses);
}

/** Gets the reason of a refusal, with its remedy. */
export function describeExhaustedBudget(budget: ExhaustedBudget): string {
  const { scope, name, mostAway, drained, lost, out } = budget;
  const away = drained + lost + out;
  return `${scope} ${name} may have ${mostAway} away and has ${away} (${drained} drained, ` +
    `${lost} lost, ${out} in zones that are out); wait for a return, or set its budget`;
}

/** Gets the most hosts of a domain that may be away, or undefined if it is not bounded. */
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

/** A host in a zone that is out is away already, but must fit in once the zone is back. */
function checkPool(draft: FleetDraft, host: HostData, losses: Losses): ExhaustedBudget | undefined {
  const isOut = draft.get("zones", host.zone)?.isOut ?? false;
  const out = isOut ? 0 : countOutOfPool(draft, host.pool, losses);
  return checkDomain(draft, {
    scope: BudgetScope.Pool,
    name: host.pool,
    domain: getPoolDomain(host.pool),
    host,
    losses,
    out,
  });
}

function checkZone(draft: FleetDraft, host: HostData, losses: Losses): ExhaustedBudget | undefined {
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

function checkRack(draft: FleetDraft, host: HostData, losses: Losses): ExhaustedBudget | undefined {
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
  const own = losses.hosts.has(check.host.host) ? 0 : 1;
  if (drained + lost + out + own <= mostAway) return undefined;
  return { scope, name, mostAway, drained, lost, out };
}

/** Counts the hosts of a pool that are away only because their zones are out. */
function countOutOfPool(draft: FleetDraft, pool: string, losses: Losses): number {
  let out = 0;
  for (const zone of draft.getRows("zones").values()) {
    if (!zone.isOut) continue;
    const domain = getPoolZoneDomain(pool, zone.zone);
    out += getHostCounts(draft, domain).serving - (losses.byDomain.get(domain) ?? 0);
  }
  return out;
}

function getDomains(host: HostData): string[] {
  return [
    getPoolDomain(host.pool),
    getPoolZoneDomain(host.pool, host.zone),
    getZoneDomain(host.zone),
    getRackDomain(host.zone, host.rack),
  ];
}
