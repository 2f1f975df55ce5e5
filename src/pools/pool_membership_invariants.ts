/** Checks the invariants of pools and budgets after a record, recomputed from the hosts alone. */

import { type HostData, HostState } from "../machines/host_data.ts";
import type { Fleet } from "../records/fleet.ts";
import { FleetDraft } from "../records/fleet_draft.ts";
import type { JudgedRecord } from "../records/fold.ts";
import { VerdictOutcome } from "../records/verdict.ts";
import { BudgetScope } from "./budget_data.ts";
import { getMaximumUnavailable } from "./drain_check.ts";
import {
  getPoolDomain,
  getPoolZoneDomain,
  getRackDomain,
  getZoneDomain,
  type HostCounts,
} from "./host_counts.ts";
import {
  type HostDrainedBody,
  type HostMovedBody,
  PoolMembershipRecordKind,
} from "./pool_membership_records.ts";

/** A record with the fleet before and after it. */
export interface PoolMembershipTransition {
  /** The fleet before the record. */
  before: Fleet;
  /** The record and its verdict. */
  judged: JudgedRecord;
  /** The fleet after the record. */
  after: Fleet;
}

/** Gets the violations of membership invariants after a record. */
export function findPoolMembershipViolations(step: PoolMembershipTransition): string[] {
  const violations = [...findPoolViolations(step.after), ...findCountMismatches(step.after)];
  if (step.judged.verdict.outcome !== VerdictOutcome.Accepted) return violations;
  const { record } = step.judged;
  if (record.kind === PoolMembershipRecordKind.Drained) {
    violations.push(...findExceededBudgets(step.after, record.body as HostDrainedBody));
  }
  if (record.kind === PoolMembershipRecordKind.Moved) {
    violations.push(...findInvalidMove(step.before, record.body as HostMovedBody));
  }
  return violations.map((violation) => `offset ${record.offset}: ${violation}`);
}

/** Gets the hosts that are not in exactly one pool. */
export function findPoolViolations(fleet: Fleet): string[] {
  const pools = new Map<string, number>();
  for (const pool of fleet.getPools()) {
    for (const host of pool.getHosts()) {
      pools.set(host.getName(), (pools.get(host.getName()) ?? 0) + 1);
    }
  }
  return [...fleet.tables.hosts.keys()].filter((name) => pools.get(name) !== 1)
    .map((name) => `host ${name} is in ${pools.get(name) ?? 0} pools`);
}

/** Gets the domains whose stored counts differ from a count of all hosts. */
export function findCountMismatches(fleet: Fleet): string[] {
  const expected = countHosts(fleet.tables.hosts.values());
  const { hostCounts } = fleet.tables;
  const domains = new Set([...expected.keys(), ...hostCounts.keys()]);
  return [...domains].filter((domain) => {
    const stored = hostCounts.get(domain);
    const counted = expected.get(domain);
    return stored?.serving !== counted?.serving || stored?.drained !== counted?.drained;
  }).map((domain) => `the counts of ${domain} differ from a count of all hosts`);
}

/** Gets the budgets that an accepted drain exceeded. */
export function findExceededBudgets(after: Fleet, body: HostDrainedBody): string[] {
  const draft = FleetDraft.create(after);
  const host = after.getHostOrThrow(body.host).getData();
  const hosts = [...after.tables.hosts.values()];
  const lost = new Set(body.lost ?? []);
  const isOut = after.tables.zones.get(host.zone)?.isOut ?? false;
  const inPool = hosts.filter((other) =>
    other.pool === host.pool && (
      other.state === HostState.Draining || (other.state === HostState.Serving &&
        (lost.has(other.host) || (!isOut && after.tables.zones.get(other.zone)?.isOut)))
    )
  );
  const isUnavailable = (other: HostData) =>
    other.state !== HostState.Serving || lost.has(other.host);
  const inZone = hosts.filter((other) => other.zone === host.zone && isUnavailable(other));
  const inRack = inZone.filter((other) => other.rack === host.rack);
  const checks: [BudgetScope, string, number][] = [
    [BudgetScope.Pool, host.pool, inPool.length],
    [BudgetScope.Zone, host.zone, inZone.length],
    [BudgetScope.Rack, `${host.zone}/${host.rack}`, inRack.length],
  ];
  return checks.filter(([scope, name, count]) =>
    count > (getMaximumUnavailable(draft, scope, name) ?? count)
  )
    .map(([scope, name, count]) =>
      `${scope} ${name} has ${count} unavailable hosts, more than its budget`
    );
}

function findInvalidMove(before: Fleet, body: HostMovedBody): string[] {
  const host = before.getHost(body.host)?.getData();
  if (host?.pool === body.from && host.state === HostState.Draining) return [];
  return [`host ${body.host} was moved although it was not drained in ${body.from}`];
}

function countHosts(hosts: Iterable<HostData>): Map<string, HostCounts> {
  const counts = new Map<string, HostCounts>();
  for (const host of hosts) {
    const serving = host.state === HostState.Serving ? 1 : 0;
    const drained = host.state === HostState.Draining ? 1 : 0;
    addToDomain(counts, getPoolDomain(host.pool), serving, drained);
    addToDomain(counts, getPoolZoneDomain(host.pool, host.zone), serving, drained);
    addToDomain(counts, getZoneDomain(host.zone), serving, 1 - serving);
    addToDomain(counts, getRackDomain(host.zone, host.rack), serving, 1 - serving);
  }
  return counts;
}

function addToDomain(
  counts: Map<string, HostCounts>,
  domain: string,
  serving: number,
  drained: number,
): void {
  if (serving + drained === 0) return;
  const before = counts.get(domain) ?? { serving: 0, drained: 0 };
  counts.set(domain, { serving: before.serving + serving, drained: before.drained + drained });
}
