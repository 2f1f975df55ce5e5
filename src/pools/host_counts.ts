/** Counts the serving and drained hosts of each pool, zone and rack, updated with every change of a host. */

import { type HostData, HostState } from "../machines/host_data.ts";
import type { FleetDraft } from "../records/fleet_draft.ts";

/** The host counts of one failure domain: a pool, a zone, a rack, or the part of a pool in a zone. */
export interface HostCounts {
  /** The number of hosts on which new work may start while their zone is in service. */
  serving: number;
  /** The number of drained hosts; in a zone or rack also the joining hosts. */
  drained: number;
}

const NO_HOSTS: HostCounts = { serving: 0, drained: 0 };

/** Gets the name of the domain of a pool. */
export function getPoolDomain(pool: string): string {
  return `pool/${pool}`;
}

/** Gets the name of the domain of a zone. */
export function getZoneDomain(zone: string): string {
  return `zone/${zone}`;
}

/** Gets the name of the domain of a rack, with its zone: rack names are unique only within a zone. */
export function getRackDomain(zone: string, rack: string): string {
  return `rack/${zone}/${rack}`;
}

/** Gets the name of the domain of a pool's part in a zone. */
export function getPoolZoneDomain(pool: string, zone: string): string {
  return `pool-zone/${pool}/${zone}`;
}

/** Gets the counts of a domain. */
export function getHostCounts(draft: FleetDraft, domain: string): HostCounts {
  return draft.get("hostCounts", domain) ?? NO_HOSTS;
}

/** Sets a host and updates the counts of its domains. */
export function setHost(draft: FleetDraft, host: HostData): void {
  const before = draft.get("hosts", host.host);
  if (before !== undefined) addToCounts(draft, before, -1);
  draft.set("hosts", host.host, host);
  addToCounts(draft, host, 1);
}

/** Removes a host and updates the counts of its domains. */
export function removeHost(draft: FleetDraft, name: string): void {
  const before = draft.get("hosts", name);
  if (before === undefined) return;
  addToCounts(draft, before, -1);
  draft.remove("hosts", name);
}

/**
 * A joining host counts as drained in its zone and rack, but not in its new pool, since it has not served
 * that pool yet.
 */
function addToCounts(draft: FleetDraft, host: HostData, sign: 1 | -1): void {
  const serving = host.state === HostState.Serving ? sign : 0;
  const drained = host.state === HostState.Draining ? sign : 0;
  const notServing = host.state === HostState.Serving ? 0 : sign;
  addToDomain(draft, getPoolDomain(host.pool), serving, drained);
  addToDomain(draft, getPoolZoneDomain(host.pool, host.zone), serving, drained);
  addToDomain(draft, getZoneDomain(host.zone), serving, notServing);
  addToDomain(draft, getRackDomain(host.zone, host.rack), serving, notServing);
}

function addToDomain(draft: FleetDraft, domain: string, serving: number, drained: number): void {
  if (serving === 0 && drained === 0) return;
  const before = getHostCounts(draft, domain);
  const after = { serving: before.serving + serving, drained: before.drained + drained };
  if (after.serving === 0 && after.drained === 0) draft.remove("hostCounts", domain);
  else draft.set("hostCounts", domain, after);
}
