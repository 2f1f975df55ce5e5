/** The records with which hosts are drained, moved and returned; each is checked at its offset in the log. */

import { z } from "zod";
import { type HostData, type HostDrain, HostState } from "../machines/host_data.ts";
import { domainNameSchema } from "../machines/host_records.ts";
import type { FleetDraft } from "../records/fleet_draft.ts";
import type { LogRecord } from "../records/record.ts";
import { createRecordRule, type RecordRule } from "../records/record_rule.ts";
import { ACCEPTED, refuse, type Verdict } from "../records/verdict.ts";
import {
  type CheckDrain,
  checkDrain,
  countLosses,
  describeExhaustedBudget,
} from "./drain_check.ts";
import { getHostCounts, getPoolZoneDomain, setHost } from "./host_counts.ts";
import { isMaintenancePending, MaintenanceState } from "./maintenance_data.ts";

/** The kinds of records about membership in pools. */
export const PoolMembershipRecordKind = {
  Drained: "host-drained",
  Moved: "host-moved",
  Returned: "host-returned",
} as const;

/** One of the kinds of records about membership in pools. */
export type PoolMembershipRecordKind =
  (typeof PoolMembershipRecordKind)[keyof typeof PoolMembershipRecordKind];

/** The maximum number of lost hosts in one record. */
export const MAXIMUM_LOST_HOSTS = 4_000;

/** The body of the record that drains a host. */
export interface HostDrainedBody extends HostDrain {
  /** The host. */
  host: string;
  /** The pool; the record is refused if the host is in another. */
  pool: string;
  /** The lost hosts in its pool, zone and rack, which count against the budgets. */
  lost: string[];
}

/** The body of the record that moves a drained host. */
export interface HostMovedBody {
  /** The host. */
  host: string;
  /** The pool; the record is refused if the host is in another. */
  from: string;
  /** The pool that it joins. */
  to: string;
}

/** The body of the record that returns a host to service. */
export interface HostReturnedBody {
  /** The host. */
  host: string;
  /** The pool; the record is refused if the host is in another. */
  pool: string;
  /** The number of boots of the host, if it was drained for a maintenance. */
  boots?: number | undefined;
}

/** The options of the membership rules. */
export interface PoolMembershipRuleOptions {
  /** Checks the disruption budgets. */
  checkDrain: CheckDrain;
}

const drainedSchema = z.object({
  host: z.string().min(1),
  pool: domainNameSchema,
  lost: z.array(z.string()).max(MAXIMUM_LOST_HOSTS).default([]),
  maintenance: z.string().min(1).optional(),
  boots: z.int().min(0).optional(),
  destination: domainNameSchema.optional(),
}).refine((body) => body.maintenance === undefined || body.boots !== undefined, {
  path: ["boots"],
  message: "a drain for maintenance must have the number of boots of the host",
}).refine((body) => body.maintenance === undefined || body.destination === undefined, {
  path: ["destination"],
  message: "a drain is either for a move or for maintenance, not for both",
}) as unknown as z.ZodType<HostDrainedBody>;

const movedSchema: z.ZodType<HostMovedBody> = z.object({
  host: z.string().min(1),
  from: domainNameSchema,
  to: domainNameSchema,
});

const returnedSchema: z.ZodType<HostReturnedBody> = z.object({
  host: z.string().min(1),
  pool: domainNameSchema,
  boots: z.int().min(0).optional(),
});

/** Creates the rules of the records about membership in pools. */
export function createPoolMembershipRules(
  options: PoolMembershipRuleOptions,
): readonly RecordRule[] {
  return [
    createRecordRule<HostDrainedBody>({
      kind: PoolMembershipRecordKind.Drained,
      version: 1,
      schema: drainedSchema,
      isRestriction: true,
      apply: (draft, body, record) => drainHost(draft, body, record, options.checkDrain),
    }),
    createRecordRule<HostMovedBody>({
      kind: PoolMembershipRecordKind.Moved,
      version: 1,
      schema: movedSchema,
      apply: moveHost,
    }),
    createRecordRule<HostReturnedBody>({
      kind: PoolMembershipRecordKind.Returned,
      version: 1,
      schema: returnedSchema,
      apply: returnHost,
    }),
  ];
}

/** The rules of the records about membership in pools. */
export const POOL_MEMBERSHIP_RECORD_RULES: readonly RecordRule[] = createPoolMembershipRules({
  checkDrain,
});

function drainHost(
  draft: FleetDraft,
  body: HostDrainedBody,
  record: LogRecord,
  check: CheckDrain,
): Verdict {
  const before = draft.get("hosts", body.host);
  const refusal = checkPool(before, body.host, body.pool);
  if (refusal !== undefined) return refusal;
  const host = before as HostData;
  if (host.state !== HostState.Serving) {
    return refuse(`host ${body.host} is ${host.state} since offset ${host.changedAt}`);
  }
  if (body.destination === body.pool) return refuse(`host ${body.host} is in ${body.pool} already`);
  const conflict = checkMaintenance(draft, host, body.maintenance);
  if (conflict !== undefined) return refuse(conflict);
  const exhausted = check(draft, host, countLosses(draft, body.lost));
  if (exhausted !== undefined) return refuse(describeExhaustedBudget(exhausted));
  setHost(draft, {
    ...host,
    state: HostState.Draining,
    changedAt: record.offset,
    drain: { maintenance: body.maintenance, boots: body.boots, destination: body.destination },
  });
  return ACCEPTED;
}

function moveHost(draft: FleetDraft, body: HostMovedBody, record: LogRecord): Verdict {
  const before = draft.get("hosts", body.host);
  const refusal = checkPool(before, body.host, body.from);
  if (refusal !== undefined) return refusal;
  const host = before as HostData;
  if (host.state !== HostState.Draining) {
    return refuse(`host ${body.host} is ${host.state}; drain it first`);
  }
  if (host.drain?.maintenance !== undefined) {
    return refuse(`host ${body.host} is drained for maintenance ${host.drain.maintenance}`);
  }
  if (body.to === body.from) return refuse(`host ${body.host} is in ${body.to} already`);
  const { drain: _drain, ...rest } = host;
  const state = HostState.Joining;
  setHost(draft, { ...rest, pool: body.to, state, changedAt: record.offset });
  return ACCEPTED;
}

function returnHost(draft: FleetDraft, body: HostReturnedBody, record: LogRecord): Verdict {
  const before = draft.get("hosts", body.host);
  const refusal = checkPool(before, body.host, body.pool);
  if (refusal !== undefined) return refusal;
  const host = before as HostData;
  if (host.state === HostState.Serving) return refuse(`host ${body.host} serves already`);
  const { drain, ...rest } = host;
  const isMaintained = drain !== undefined && hasRebooted(drain, body);
  if (drain?.maintenance !== undefined && !isMaintained && !hasEnded(draft, drain.maintenance)) {
    return refuse(
      `host ${body.host} has not rebooted since it was drained for maintenance ` +
        `${drain.maintenance}; wait for its reboot, stop the maintenance, or dismiss the host`,
    );
  }
  const maintainedAt = isMaintained ? record.offset : host.maintainedAt;
  const state = HostState.Serving;
  setHost(draft, { ...rest, state, changedAt: record.offset, maintainedAt });
  return ACCEPTED;
}

function hasRebooted(drain: HostDrain, body: HostReturnedBody): boolean {
  return drain.maintenance !== undefined && (body.boots ?? 0) > (drain.boots ?? 0);
}

function hasEnded(draft: FleetDraft, name: string): boolean {
  const state = draft.get("maintenances", name)?.state;
  return state !== MaintenanceState.Running && state !== MaintenanceState.Paused;
}

function checkPool(host: HostData | undefined, name: string, pool: string): Verdict | undefined {
  if (host === undefined) return refuse(`no host named ${name}`);
  if (host.pool !== pool) return refuse(`host ${name} is in pool ${host.pool}, not ${pool}`);
  return undefined;
}

/**
 * Gets the reason why a drain conflicts with its maintenance, which must be running, must not have
 * rebooted the host yet, and must keep to one zone at a time if the profile says so.
 */
function checkMaintenance(
  draft: FleetDraft,
  host: HostData,
  name: string | undefined,
): string | undefined {
  if (name === undefined) return undefined;
  const maintenance = draft.get("maintenances", name);
  if (maintenance === undefined) return `no maintenance named ${name}`;
  if (maintenance.state !== MaintenanceState.Running) {
    return `maintenance ${name} is ${maintenance.state}`;
  }
  if (!isMaintenancePending(host, maintenance)) {
    return `host ${host.host} is not in the scope of ${name}, or was maintained already`;
  }
  const otherZone = findOtherDrainedZone(draft, host);
  if (otherZone === undefined) return undefined;
  return `pool ${host.pool} has drained hosts in zone ${otherZone}; its profile allows one at a time`;
}

/**
 * Gets another zone in which the pool of a host has drained hosts, if its profile allows maintenance in
 * one zone at a time.
 */
export function findOtherDrainedZone(draft: FleetDraft, host: HostData): string | undefined {
  const service = draft.get("services", host.pool);
  const profile = service && draft.get("profiles", service.profile);
  if (!profile?.capacity.isOneZoneAtOnce) return undefined;
  for (const { zone } of draft.getRows("zones").values()) {
    if (zone === host.zone) continue;
    if (getHostCounts(draft, getPoolZoneDomain(host.pool, zone)).drained > 0) return zone;
  }
  return undefined;
}
