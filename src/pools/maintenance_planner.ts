/** Which hosts a maintenance drains next: as many in parallel as budgets allow, the longest work first. */

import { type HostData, HostState } from "../machines/host_data.ts";
import type { Fleet } from "../records/fleet.ts";
import { FleetDraft } from "../records/fleet_draft.ts";
import { ListedState } from "../records/platform_messages.ts";
import { type ListedHosts, LostHostIndex } from "./lost_hosts.ts";
import { BudgetScope } from "./budget_data.ts";
import { checkDrain, countLosses, getMaximumUnavailable, type Losses } from "./drain_check.ts";
import { setHost } from "./host_counts.ts";
import { isMaintenancePending, type MaintenanceData } from "./maintenance_data.ts";
import { findOtherDrainedZone, type HostDrainedBody } from "./membership_records.ts";

/** Gets how long a host is expected to be away for a reboot: its drain and the reboot, in milliseconds. */
export type EstimateDowntimeMilliseconds = (host: HostData) => number;

/** What a wave is planned from. */
export interface WaveOptions {
  /** The fleet at the offset at which the wave is planned. */
  fleet: Fleet;
  /** The maintenance. */
  maintenance: MaintenanceData;
  /** The platform's list. */
  listed: ListedHosts;
  /** How long each host is expected to be away. */
  estimateDowntimeMilliseconds: EstimateDowntimeMilliseconds;
  /** The most drains of one wave. */
  mostDrains: number;
}

/** Gets the drains of the next wave, in the order in which they are to be published. */
export type PlanWave = (options: WaveOptions) => HostDrainedBody[];

interface Candidate {
  data: HostData;
  boots: number;
  cycleMilliseconds: number;
}

interface PoolPlan {
  pool: string;
  candidates: Candidate[];
  remainingMilliseconds: number;
}

/** Plans a wave with the checks of the fold itself, so that only a race can refuse a planned drain. */
export function planWave(options: WaveOptions): HostDrainedBody[] {
  const draft = FleetDraft.create(options.fleet);
  const index = LostHostIndex.create(options.fleet, options.listed);
  const losses = countLosses(draft, index.getNames());
  const drains: HostDrainedBody[] = [];
  for (const plan of orderPools(draft, findCandidates(options))) {
    for (const { data, boots } of chooseFromPool(draft, plan, losses, options)) {
      if (drains.length >= options.mostDrains) return drains;
      const { host, pool } = data;
      const { maintenance } = options.maintenance;
      drains.push({ host, pool, maintenance, boots, lost: index.getNamesForHost(data) });
    }
  }
  return drains;
}

/** Plans one host at a time, once nothing is away for the maintenance: a baseline. */
export function planOneHost(options: WaveOptions): HostDrainedBody[] {
  const { maintenance } = options.maintenance;
  for (const host of options.fleet.tables.hosts.values()) {
    if (host.drain?.maintenance === maintenance) return [];
  }
  return planWave({ ...options, mostDrains: 1 });
}

/** Gets how long the maintenance will still take within its budgets, in milliseconds. */
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
  let longest = 0;
  for (const { scope, name, milliseconds } of work.values()) {
    const mostAway = getMaximumUnavailable(draft, scope, name);
    if (mostAway !== undefined) longest = Math.max(longest, milliseconds / Math.max(1, mostAway));
  }
  return longest;
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

/** Gets the hosts that serve, are live and are still to be maintained, by pool. */
function findCandidates(options: WaveOptions): Map<string, Candidate[]> {
  const byPool = new Map<string, Candidate[]>();
  for (const data of options.fleet.tables.hosts.values()) {
    if (data.state !== HostState.Serving || !isMaintenancePending(data, options.maintenance)) {
      continue;
    }
    const listed = options.listed.get(data.host);
    if (listed?.state !== ListedState.Live) continue;
    const cycleMilliseconds = options.estimateDowntimeMilliseconds(data);
    const candidate = { data, boots: listed.boots, cycleMilliseconds };
    const candidates = byPool.get(data.pool);
    if (candidates === undefined) byPool.set(data.pool, [candidate]);
    else candidates.push(candidate);
  }
  return byPool;
}

/** Puts the pool whose work takes longest within its budget first: it decides when all is done. */
function orderPools(draft: FleetDraft, byPool: Map<string, Candidate[]>): PoolPlan[] {
  const plans = [...byPool].map(([pool, candidates]) => {
    const mostAway = Math.max(1, getMaximumUnavailable(draft, BudgetScope.Pool, pool) ?? 1);
    const sum = candidates.reduce((total, candidate) => total + candidate.cycleMilliseconds, 0);
    return { pool, candidates, remainingMilliseconds: sum / mostAway };
  });
  return plans.sort((a, b) =>
    b.remainingMilliseconds - a.remainingMilliseconds || compareText(a.pool, b.pool)
  );
}

/** Chooses hosts of a pool until its budget is used up, and marks them as drained in the draft. */
function chooseFromPool(
  draft: FleetDraft,
  plan: PoolPlan,
  losses: Losses,
  options: WaveOptions,
): Candidate[] {
  const chosen: Candidate[] = [];
  const isPoolFull = (candidate: Candidate) =>
    checkDrain(draft, candidate.data, losses)?.scope === BudgetScope.Pool;
  if (plan.candidates.every(isPoolFull)) return chosen;
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

/** The longest drain first, in turn from each zone, or zone by zone where the profile keeps them apart. */
function orderCandidates(draft: FleetDraft, plan: PoolPlan): Candidate[] {
  const zones = [...new Set(plan.candidates.map((candidate) => candidate.data.zone))].sort();
  const turns = new Map(zones.map((zone, index) => [zone, rotate(index, plan.pool, zones.length)]));
  const sorted = [...plan.candidates].sort((a, b) =>
    b.cycleMilliseconds - a.cycleMilliseconds || compareText(a.data.host, b.data.host)
  );
  const places = new Map<Candidate, number>();
  const taken = new Map<string, number>();
  for (const candidate of sorted) {
    const place = taken.get(candidate.data.zone) ?? 0;
    places.set(candidate, place);
    taken.set(candidate.data.zone, place + 1);
  }
  const getPlace = (candidate: Candidate) => places.get(candidate) ?? 0;
  const getTurn = (candidate: Candidate) => turns.get(candidate.data.zone) ?? 0;
  if (isZoneByZone(draft, plan.pool)) return sorted.sort((a, b) => getTurn(a) - getTurn(b));
  return sorted.sort((a, b) => getPlace(a) - getPlace(b) || getTurn(a) - getTurn(b));
}

/** Lets each pool begin with another zone, so that zone budgets are shared out. */
function rotate(index: number, pool: string, zones: number): number {
  let sum = 0;
  for (const character of pool) sum += character.charCodeAt(0);
  return (index + sum) % zones;
}

function isZoneByZone(draft: FleetDraft, pool: string): boolean {
  const service = draft.get("services", pool);
  const profile = service && draft.get("profiles", service.profile);
  return profile?.capacity.isOneZoneAtOnce ?? false;
}

function compareText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
