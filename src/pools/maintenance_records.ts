/** The records with which maintenances are started, paused, resumed, stopped and completed. */

import { z } from "zod";
import type { FleetDraft } from "../records/fleet_draft.ts";
import type { LogRecord } from "../records/record.ts";
import { createRecordRule, type RecordRule } from "../records/record_rule.ts";
import { ACCEPTED, refuse, type Verdict } from "../records/verdict.ts";
import {
  isInScope,
  isMaintenancePending,
  type MaintenanceData,
  type MaintenanceScope,
  MaintenanceScopeKind,
  MaintenanceState,
} from "./maintenance_data.ts";

/** The kinds of records about maintenance. */
export const MaintenanceRecordKind = {
  Started: "maintenance-started",
  Paused: "maintenance-paused",
  Resumed: "maintenance-resumed",
  Stopped: "maintenance-stopped",
  Completed: "maintenance-completed",
} as const;

/** One of the kinds of records about maintenance. */
export type MaintenanceRecordKind =
  (typeof MaintenanceRecordKind)[keyof typeof MaintenanceRecordKind];

/** The maximum number of ended maintenances that the fleet retains. */
const MAXIMUM_ENDED_MAINTENANCES = 64;

/** The body of the record that starts a maintenance. */
export interface MaintenanceStartedBody {
  /** The name; it must differ from the names of all maintenances that the fleet retains. */
  maintenance: string;
  /** The scope. */
  scope: MaintenanceScope;
  /** The maximum number of hosts missing after their reboot; it is paused if more are missing. */
  mostMissing: number;
}

/** The body of the records that pause, resume, stop or complete a maintenance. */
export interface MaintenanceChangedBody {
  /** The name. */
  maintenance: string;
  /** The reason, for operators. */
  reason: string;
}

const startedSchema = z.object({
  maintenance: z.string().regex(/^[A-Za-z0-9._-]{1,64}$/),
  scope: z.object({
    kind: z.enum(Object.values(MaintenanceScopeKind) as [MaintenanceScopeKind]),
    name: z.string().max(129),
  }),
  mostMissing: z.int().min(0).default(0),
}) as unknown as z.ZodType<MaintenanceStartedBody>;

const changedSchema = z.object({
  maintenance: z.string().min(1),
  reason: z.string().max(512).default(""),
}) as unknown as z.ZodType<MaintenanceChangedBody>;

/** The rules of the records about maintenance. */
export const MAINTENANCE_RECORD_RULES: readonly RecordRule[] = [
  createRecordRule<MaintenanceStartedBody>({
    kind: MaintenanceRecordKind.Started,
    version: 1,
    schema: startedSchema,
    apply: startMaintenance,
  }),
  createChangeRule(MaintenanceRecordKind.Paused, true, (draft, before, body) => {
    if (before.state !== MaintenanceState.Running) return refuseState(before);
    return changeMaintenance(draft, before, MaintenanceState.Paused, body.reason);
  }),
  createChangeRule(MaintenanceRecordKind.Resumed, false, resumeMaintenance),
  createChangeRule(MaintenanceRecordKind.Stopped, true, (draft, before, body) => {
    if (hasEnded(before)) return refuseState(before);
    return changeMaintenance(draft, before, MaintenanceState.Stopped, body.reason);
  }),
  createChangeRule(MaintenanceRecordKind.Completed, false, completeMaintenance),
];

type ApplyChange = (
  draft: FleetDraft,
  before: MaintenanceData,
  body: MaintenanceChangedBody,
  record: LogRecord,
) => Verdict;

/** A change that is a restriction may be applied before its place in the log. */
function createChangeRule(
  kind: MaintenanceRecordKind,
  isRestriction: boolean,
  applyChange: ApplyChange,
): RecordRule {
  return createRecordRule<MaintenanceChangedBody>({
    kind,
    version: 1,
    schema: changedSchema,
    isRestriction,
    apply: (draft, body, record) => {
      const before = draft.get("maintenances", body.maintenance);
      if (before === undefined) return refuse(`no maintenance named ${body.maintenance}`);
      return applyChange(draft, before, body, record);
    },
  });
}

function startMaintenance(
  draft: FleetDraft,
  body: MaintenanceStartedBody,
  record: LogRecord,
): Verdict {
  const { maintenance, scope } = body;
  if (draft.get("maintenances", maintenance) !== undefined) {
    return refuse(`a maintenance named ${maintenance} exists; choose another name`);
  }
  if (!hasHost(draft, (host) => isInScope(host, scope))) {
    return refuse(`no host is in ${scope.kind} ${scope.name}`.trim());
  }
  removeOldestEnded(draft);
  const { offset } = record;
  const state = MaintenanceState.Running;
  const row = { ...body, state, reason: "", startedAt: offset, resumedAt: offset };
  draft.set("maintenances", maintenance, row);
  return ACCEPTED;
}

function resumeMaintenance(
  draft: FleetDraft,
  before: MaintenanceData,
  _body: MaintenanceChangedBody,
  record: LogRecord,
): Verdict {
  if (before.state !== MaintenanceState.Paused) return refuseState(before);
  const resumed = { ...before, resumedAt: record.offset };
  return changeMaintenance(draft, resumed, MaintenanceState.Running, "");
}

function completeMaintenance(draft: FleetDraft, before: MaintenanceData): Verdict {
  if (before.state !== MaintenanceState.Running) return refuseState(before);
  if (hasHost(draft, (host) => isMaintenancePending(host, before))) {
    return refuse(`maintenance ${before.maintenance} has hosts that have not rebooted yet`);
  }
  return changeMaintenance(draft, before, MaintenanceState.Completed, "");
}

function changeMaintenance(
  draft: FleetDraft,
  before: MaintenanceData,
  state: MaintenanceState,
  reason: string,
): Verdict {
  draft.set("maintenances", before.maintenance, { ...before, state, reason });
  return ACCEPTED;
}

function refuseState(before: MaintenanceData): Verdict {
  return refuse(`maintenance ${before.maintenance} is ${before.state}`);
}

function hasEnded(maintenance: MaintenanceData): boolean {
  const { state } = maintenance;
  return state === MaintenanceState.Stopped || state === MaintenanceState.Completed;
}

function hasHost(
  draft: FleetDraft,
  predicate: (host: Parameters<typeof isInScope>[0]) => boolean,
): boolean {
  for (const host of draft.getRows("hosts").values()) {
    if (predicate(host)) return true;
  }
  return false;
}

function removeOldestEnded(draft: FleetDraft): void {
  const ended = [...draft.getRows("maintenances").values()].filter(hasEnded);
  for (const row of ended.slice(0, Math.max(0, ended.length - MAXIMUM_ENDED_MAINTENANCES + 1))) {
    draft.remove("maintenances", row.maintenance);
  }
}
