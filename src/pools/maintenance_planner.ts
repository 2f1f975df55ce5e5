/**
 * Plans which hosts a maintenance drains next: as many in parallel as the disruption budgets allow,
 * those with the longest remaining work first.
 */

import { type HostData, HostState } from "../machines/host_data.ts";
import type { Fleet } from "../records/fleet.ts";
import { FleetDraft } from "../records/fleet_draft.ts";
import { ListedState } from "../records/platform_messages.ts";
import { type ListedHosts, LostHostIndex } from "./lost_hosts.ts";
import { BudgetScope } from "./budget_data.ts";
import { checkDrain, countLosses, getMaximumUnavailable, type Losses } from "./drain_check.ts";
import { setHost } from "./host_counts.ts";
import { isMaintenancePending, type MaintenanceData } from "./maintenance_data.ts";
import { findOtherDrainedZone, type HostDrainedBody } from "./pool_membership_records.ts";

/** Estimates how long a host is unavailable for its drain and reboot, in milliseconds. */
export type EstimateDowntimeMilliseconds = (host: HostData) => number;

/** The options of planning a wave, the drains that are published together. */
export interface WaveOptions {
  /** The fleet for which the wave is planned. */
  fleet: Fleet;
  /** The maintenance. */
  maintenance: MaintenanceData;
  /** The platform's host list. */
  listed: ListedHosts;
  /** Estimates the downtime of a host. */
  estimateDowntimeMilliseconds: EstimateDowntimeMilliseconds;
  /** The maximum number of drains in the wave. */
  mostDrains: number;
}

/** Gets the drains of the next wave, in the order in which they have to be published. */
export type PlanWave = (options: WaveOptions) => HostDrainedBody[];

interface Candidate {
  data: HostData;
  boots: number;
  downtimeMilliseconds: number;
}

interface PoolPlan {
  pool: string;
  candidates: Candidate[];
  remainingMilliseconds: number;
}

/** Plans a wave with the same checks as the fold, so that a planned drain is refused only after a race. */
export function planWave(options: WaveOptions): HostDrainedBody[] {
  const draft = FleetDraft.create(options.fleet);
  const lostHosts = LostHostIndex.create(options.fleet, options.listed);
  const losses = countLosses(draft, lostHosts.getNames());
  const drains: HostDrainedBody[] = [];
  for (const plan of orderPools(draft, findCandidates(options))) {
    for (const { data, boots } of chooseFromPool(draft, plan, losses, options)) {
      if (drains.length >= options.mostDrains) return drains;
      const { host, pool } = data;
      const { maintenance } = options.maintenance;
      drains.push({ host, pool, maintenance, boots, lost: lostHosts.getNamesForHost(data) });
    }
  }
  return drains;
}

/** Plans one host at a time, when no other is drained for the maintenance. A baseline for comparison. */
export function planOneHost(options: WaveOptions): HostDrainedBody[] {
  const { maintenance } = options.maintenance;
  for (const host of options.fleet.tables.hosts.values()) {
    if (host.drain?.maintenance === maintenance) return [];
  }
  return planWave({ ...options, mostDrains: 1 });
}

/** Estimates the remaining time of the maintenance within the budgets, in milliseconds. */
export function estimateRemainingMilliseconds(
  options: Omit<WaveOptions, "listed" | "mostDrains">,
): number {
  const draft = FleetDraft.create(options.fleet);
  const work = new Map<string, { scope: BudgetScope; name: string; milliseconds: number }>();
  for (const host of options.fleet.tables.hosts.values()) {
    if (!isMaintenancePending(host, options.maintenance)) continue;
    const milliseconds = options.estimateDowntimeMilliseconds(host);
    addWork(work, BudgetScope.Pool, host.pool, milliseconds);
    addWork(work, BudgetScope.Zone, host.zone, milliseconds);
    addWork(work, BudgetScope.Rack, `${host.zone}/${host.rack}`, milliseconds);
  }
  let maximum = 0;
  for (const { scope, name, milliseconds } of work.values()) {
    const mostAway = getMaximumUnavailable(draft, scope, name);
    if (mostAway !== undefined) maximum = Math.max(maximum, milliseconds / Math.max(1, mostAway));
  }
  return maximum;
}

function addWork(
  work: Map<string, { scope: BudgetScope; name: string; milliseconds: number }>,
  scope: BudgetScope,
  name: string,
  milliseconds: number,
): void {
  const key = `${scope}/${name}`;
  const entry = work.get(key);
  if (entry === undefined) work.set(key, { scope, name, milliseconds });
  else entry.milliseconds += milliseconds;
}

/** Gets the serving, live hosts whose maintenance is pending, by pool. */
function findCandidates(options: WaveOptions): Map<string, Candidate[]> {
  const byPool = new Map<string, Candidate[]>();
  for (const data of options.fleet.tables.hosts.values()) {
    if (data.state !== HostState.Serving || !isMaintenancePending(data, options.maintenance)) {
      continue;
    }
    const listed = options.listed.get(data.host);
    if (listed?.state !== ListedState.Live) continue;
    const downtimeMilliseconds = options.estimateDowntimeMilliseconds(data);
    const candidate = { data, boots: listed.boots, downtimeMilliseconds };
    const candidates = byPool.get(data.pool);
    if (candidates === undefined) byPool.set(data.pool, [candidate]);
    else candidates.push(candidate);
  }
  return byPool;
}

/**
 * Puts the pool whose remaining work takes longest within its budget first, since it determines when the
 * maintenance ends.
 */
function orderPools(draft: FleetDraft, byPool: Map<string, Candidate[]>): PoolPlan[] {
  const plans = [...byPool].map(([pool, candidates]) => {
    const mostAway = Math.max(1, getMaximumUnavailable(draft, BudgetScope.Pool, pool) ?? 1);
    const sum = candidates.reduce((total, candidate) => total + candidate.downtimeMilliseconds, 0);
    return { pool, candidates, remainingMilliseconds: sum / mostAway };
  });
  return plans.sort((a, b) =>
    b.remainingMilliseconds - a.remainingMilliseconds || compareText(a.pool, b.pool)
  );
}

/** Chooses hosts of a pool within its budget, and marks them as drained in the draft. */
function chooseFromPool(
  draft: FleetDraft,
  plan: PoolPlan,
  losses: Losses,
  options: WaveOptions,
): Candidate[] {
  const chosen: Candidate[] = [];
  const isPoolExhausted = (candidate: Candidate) =>
    checkDrain(draft, candidate.data, losses)?.scope === BudgetScope.Pool;
  if (plan.candidates.every(isPoolExhausted)) return chosen;
  for (const candidate of orderCandidates(draft, plan)) {
    if (chosen.length >= options.mostDrains) break;
    if (checkDrain(draft, candidate.data, losses) !== undefined) continue;
    if (findOtherDrainedZone(draft, candidate.data) !== undefined) continue;
    const drain = { maintenance: options.maintenance.maintenance, boots: candidate.boots };
    setHost(draft, { ...candidate.data, state: HostState.Draining, drain });
    chosen.push(candidate);
  }
  return chosen;
}

/**
 * Orders the candidates by descending downtime, alternating between zones, or zone by zone if the
 * profile allows maintenance in one zone at a time.
 */
function orderCandidates(draft: FleetDraft, plan: PoolPlan): Candidate[] {
  const zones = [...new Set(plan.candidates.map((candidate) => candidate.data.zone))].sort();
  const zoneOrders = new Map(
    zones.map((zone, index) => [zone, rotateIndex(index, plan.pool, zones.length)]),
  );
  const sorted = [...plan.candidates].sort((a, b) =>
    b.downtimeMilliseconds - a.downtimeMilliseconds || compareText(a.data.host, b.data.host)
  );
  const ranksInZone = new Map<Candidate, number>();
  const countsByZone = new Map<string, number>();
  for (const candidate of sorted) {
    const rank = countsByZone.get(candidate.data.zone) ?? 0;
    ranksInZone.set(candidate, rank);
    countsByZone.set(candidate.data.zone, rank + 1);
  }
  const getRank = (candidate: Candidate) => ranksInZone.get(candidate) ?? 0;
  const getZoneOrder = (candidate: Candidate) => zoneOrders.get(candidate.data.zone) ?? 0;
  if (isZoneByZone(draft, plan.pool)) {
    return sorted.sort((a, b) => getZoneOrder(a) - getZoneOrder(b));
  }
  return sorted.sort((a, b) => getRank(a) - getRank(b) || getZoneOrder(a) - getZoneOrder(b));
}

/** Rotates the order of zones by the pool's name, so that pools start in different zones. */
function rotateIndex(index: number, pool: string, zones: number): number {
  let offset = 0;
  for (const character of pool) offset += character.charCodeAt(0);
  return (index + offset) % zones;
}

function isZoneByZone(draft: FleetDraft, pool: string): boolean {
  const service = draft.get("services", pool);
  const profile = service && draft.get("profiles", service.profile);
  return profile?.capacity.isOneZoneAtOnce ?? false;
}

function compareText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
