/** Decodes the settings file that the platform provides to an entry host. */

import { parse } from "yaml";
import { z } from "zod";
import { type CallerLimits, createCallerLimits } from "../callers/mod.ts";
import { getErrorMessage, StepError } from "../errors/mod.ts";
import type { SchedulingFeatures } from "../owner/scheduling_features.ts";
import type { SocketAddress } from "../links/socket_address.ts";
import { parseSocketAddress } from "../links/socket_address.ts";

/** The settings of an entry host. */
export interface PlatformSettings {
  /** The name of this entry host. */
  name: string;
  /** The availability zone. */
  zone: string;
  /** The address that callers connect to through the load balancer. */
  callerAddress: SocketAddress;
  /** The address of the load balancer's readiness check. */
  readyAddress: SocketAddress;
  /** The address for connections from other entry hosts. */
  peerAddress: SocketAddress;
  /** The processor capacity of this host, in cores; may be a fraction of one. */
  cores: number;
  /** The bandwidth of this host's link, in megabits per second. */
  linkMegabits: number;
  /** The memory of this host, in megabytes. */
  memoryMegabytes: number;
  /** The address of the platform's store. */
  storeAddress: string;
  /** The maximum size of a record of the store, and of all records of a call, in bytes. */
  storeLimits: { recordBytes: number; callBytes: number };
  /** The address of the host provider, if there is one. */
  providerAddress?: string | undefined;
  /** The address of the adviser, if there is one. */
  adviserAddress?: string | undefined;
  /** The limits for callers. */
  callerLimits: CallerLimits;
  /** The time and performance bounds. */
  bounds: PlatformBounds;
  /** The scheduling features that are on. */
  features: SchedulingFeatures;
}

/** The bounds that the platform sets; times in milliseconds. */
export interface PlatformBounds {
  /** The time between the stop signal and the kill of a process. */
  graceMilliseconds: number;
  /** The time within which a withdrawn API key must stop working. */
  keyWithdrawalMilliseconds: number;
  /** The maximum lease that executors accept. */
  longestLeaseMilliseconds: number;
  /** How long an executor takes to stop a run. */
  stopMilliseconds: number;
  /** How long the state of an ended job must remain available. */
  retentionMilliseconds: number;
  /** The duration of a task on a rack other than its own, as a multiple of the usual one. */
  offRackFactor: number;
  /** The minimum time between orders for the same host from different lease holders. */
  providerLeaseMilliseconds: number;
  /** How long a long-running task may be down before it counts as unavailable. */
  awayNoticeMilliseconds: number;
  /** How long a host is unavailable during a move. */
  moveMilliseconds: number;
  /** How long a host is unavailable during maintenance. */
  maintenanceMilliseconds: number;
}

/** The settings file is missing or invalid. */
export class PlatformSettingsError extends StepError {}

const addressSchema = z.string().refine((text) => parseSocketAddress(text) !== undefined, {
  message: "expected IP:PORT",
});

const limitSchema = z.number().int().min(1).optional();

const callerLimitsSchema = z.strictObject({
  connections: limitSchema,
  connectionsPerAddress: limitSchema,
  openRequests: limitSchema,
  openRequestsPerAddress: limitSchema,
  openRequestsPerConnection: limitSchema,
  heldBytes: limitSchema,
  heldBytesPerAddress: limitSchema,
  heldBytesPerConnection: limitSchema,
  headBytes: limitSchema,
  headMs: limitSchema,
  bodyMs: limitSchema,
  idleMs: limitSchema,
  unreadMs: limitSchema,
  answerMs: limitSchema,
  pendingCalls: limitSchema,
  linkBytes: limitSchema,
  links: limitSchema,
  ownerJobBytes: limitSchema,
  refusalLines: limitSchema,
});

const settingsSchema = z.object({
  node: z.string(),
  ip: z.string(),
  zone: z.string(),
  listen: z.object({ front: addressSchema, ready: addressSchema }),
  portRange: z.tuple([z.number(), z.number()]),
  limits: z.object({
    cpuShare: z.number().default(1),
    cores: z.number().default(1),
    linkMbps: z.number().default(1_000),
    memoryMb: z.number().default(350),
    maxFds: z.number().default(4_100),
  }),
  // Replaces single limits that follow from the memory and the descriptors of the machine.
  callerLimits: callerLimitsSchema.prefault({}),
  // Names that end in `Ms` or `_ms` are in milliseconds, those that end in `S` or `_s` in seconds.
  bounds: z.object({
    graceS: z.number().default(6),
    revokeMs: z.number().default(5_000),
    maxHoldMs: z.number().default(10_000),
    stopMs: z.number().default(1_000),
    status_s: z.number().default(120),
    farX: z.number().default(1),
    leaseMs: z.number().default(3_000),
    noticeMs: z.number().default(4_500),
    moveS: z.number().default(1.5),
    upkeepS: z.number().default(2),
  }),
  // The number of zones whose loss must be borne.
  faultTolerance: z.object({ zones: z.number().default(1) }).prefault({}),
  features: z.object({
    reservesRoom: z.boolean().optional(),
    anticipatesDemand: z.boolean().optional(),
    ordersBacklog: z.boolean().optional(),
  }).prefault({}),
  advice: z.string().nullish(),
  platform: z.object({
    addr: addressSchema,
    recordBytes: z.number().default(262_144),
    callBytes: z.number().default(2_097_152),
  }),
  cloud: z.object({ addr: addressSchema }).nullish(),
});

/** Decodes the text of a settings file, or throws a `PlatformSettingsError` that lists all invalid fields. */
export function decodePlatformSettings(text: string, path: string): PlatformSettings {
  const parsed = settingsSchema.safeParse(parseYaml(text, path));
  if (!parsed.success) {
    const issues = parsed.error.issues.map((issue) => `${issue.path.join(".")}: ${issue.message}`);
    throw new PlatformSettingsError({
      message: `invalid settings: ${issues.join("; ")}`,
      step: "read-settings",
      peer: path,
    });
  }
  const { data } = parsed;
  // Where the loss of a zone must be borne, pools and hosts keep the room that it takes: one that is
  // packed, or sized for the next moment, has less to spare.
  const mayPlanTightly = data.faultTolerance.zones === 0;
  return {
    name: data.node,
    zone: data.zone,
    callerAddress: parseSocketAddress(data.listen.front)!,
    readyAddress: parseSocketAddress(data.listen.ready)!,
    peerAddress: { host: data.ip, port: data.portRange[0] },
    cores: data.limits.cpuShare * data.limits.cores,
    linkMegabits: data.limits.linkMbps,
    memoryMegabytes: data.limits.memoryMb,
    storeAddress: data.platform.addr,
    storeLimits: { recordBytes: data.platform.recordBytes, callBytes: data.platform.callBytes },
    providerAddress: data.cloud?.addr,
    adviserAddress: data.advice ?? undefined,
    callerLimits: createCallerLimits(
      { memoryMegabytes: data.limits.memoryMb, descriptors: data.limits.maxFds },
      decodeCallerLimits(data.callerLimits),
    ),
    bounds: {
      graceMilliseconds: data.bounds.graceS * 1_000,
      keyWithdrawalMilliseconds: data.bounds.revokeMs,
      longestLeaseMilliseconds: data.bounds.maxHoldMs,
      stopMilliseconds: data.bounds.stopMs,
      retentionMilliseconds: data.bounds.status_s * 1_000,
      offRackFactor: data.bounds.farX,
      providerLeaseMilliseconds: data.bounds.leaseMs,
      awayNoticeMilliseconds: data.bounds.noticeMs,
      moveMilliseconds: data.bounds.moveS * 1_000,
      maintenanceMilliseconds: data.bounds.upkeepS * 1_000,
    },
    features: {
      reservesRoom: data.features.reservesRoom ?? mayPlanTightly,
      anticipatesDemand: data.features.anticipatesDemand ?? mayPlanTightly,
      ordersBacklog: data.features.ordersBacklog ?? mayPlanTightly,
    },
  };
}

/** Gets the limits that a settings file sets. */
function decodeCallerLimits(data: z.output<typeof callerLimitsSchema>): Partial<CallerLimits> {
  const { headMs, bodyMs, idleMs, unreadMs, answerMs, ...others } = data;
  const limits = {
    ...others,
    headMilliseconds: headMs,
    bodyMilliseconds: bodyMs,
    idleMilliseconds: idleMs,
    unreadMilliseconds: unreadMs,
    answerMilliseconds: answerMs,
  };
  const entries = Object.entries(limits).filter(([, value]) => value !== undefined);
  return Object.fromEntries(entries);
}

function parseYaml(text: string, path: string): unknown {
  try {
    return parse(text);
  } catch (error) {
    const message = getErrorMessage(error);
    throw new PlatformSettingsError({ message, step: "read-settings", peer: path, cause: error });
  }
}
