/** The records that enrol hosts in the fleet and dismiss them from it. */

import { z } from "zod";
import type { FleetDraft } from "../records/fleet_draft.ts";
import type { LogRecord } from "../records/record.ts";
import { createRecordRule, type RecordRule } from "../records/record_rule.ts";
import { ACCEPTED, refuse, type Verdict } from "../records/verdict.ts";
import { removeHost, setHost } from "../pools/host_counts.ts";
import { type HostDescription, HostKind, HostState, NEVER_MAINTAINED } from "./host_data.ts";

/** The kinds of records about hosts. */
export const HostRecordKind = { Enrolled: "host-enrolled", Dismissed: "host-dismissed" } as const;

export type HostRecordKind = (typeof HostRecordKind)[keyof typeof HostRecordKind];

/** The body of the record that enrols a host, with its first pool. */
export interface HostEnrolledBody extends HostDescription {
  pool: string;
}

/** The body of the record that dismisses a drained host. */
export interface HostDismissedBody {
  host: string;
}

/**
 * The schema of the name of a pool, zone or rack; a slash is reserved as the separator of composite
 * names.
 */
export const domainNameSchema = z.string().regex(/^[^/\s]{1,64}$/);

/** The schema of a host's description, shared with the platform's list of hosts. */
export const hostDescriptionSchema: z.ZodType<HostDescription> = z.object({
  host: z.string().min(1),
  kind: z.enum([HostKind.Executor, HostKind.Worker]),
  zone: domainNameSchema,
  rack: domainNameSchema,
  address: z.string().min(1),
  slots: z.int().min(0),
  connections: z.int().min(0),
  cores: z.number().min(0),
  memoryGigabytes: z.number().min(0),
  accelerators: z.int().min(0),
});

/** The rules of the records about hosts. */
export const HOST_RECORD_RULES: readonly RecordRule[] = [
  createRecordRule<HostEnrolledBody>({
    kind: HostRecordKind.Enrolled,
    version: 1,
    schema: z.intersection(hostDescriptionSchema, z.object({ pool: domainNameSchema })),
    apply: enrolHost,
  }),
  createRecordRule<HostDismissedBody>({
    kind: HostRecordKind.Dismissed,
    version: 1,
    schema: z.object({ host: z.string().min(1) }),
    apply: dismissHost,
  }),
];

function enrolHost(draft: FleetDraft, body: HostEnrolledBody, record: LogRecord): Verdict {
  const before = draft.get("hosts", body.host);
  if (before !== undefined) return refuse(`host ${body.host} is in pool ${before.pool}`);
  const state = HostState.Serving;
  const changedAt = record.offset;
  setHost(draft, { ...body, state, changedAt, maintainedAt: NEVER_MAINTAINED });
  if (draft.get("zones", body.zone) === undefined) {
    draft.set("zones", body.zone, { zone: body.zone, isOut: false, changedAt: record.offset });
  }
  return ACCEPTED;
}

function dismissHost(draft: FleetDraft, body: HostDismissedBody): Verdict {
  const before = draft.get("hosts", body.host);
  if (before === undefined) return refuse(`no host named ${body.host}`);
  if (before.state === HostState.Serving) return refuse(`host ${body.host} is not drained`);
  removeHost(draft, body.host);
  return ACCEPTED;
}
