/** The settings file of the platform, decoded into the project's terms. */

import { parse } from "yaml";
import { z } from "zod";
import { getErrorMessage, StepError } from "../errors/mod.ts";
import type { SocketAddress } from "../links/socket_address.ts";
import { parseSocketAddress } from "../links/socket_address.ts";

/** What an entry host learns from its platform. */
export interface PlatformSettings {
  /** The name of this entry host. */
  name: string;
  /** The availability zone. */
  zone: string;
  /** The addresses that callers and the balancer use. */
  callerAddress: SocketAddress;
  /** The address that the balancer asks for readiness. */
  readyAddress: SocketAddress;
  /** The address for the links between entry hosts. */
  peerAddress: SocketAddress;
  /** The part of a core that this host has, in cores. */
  cores: number;
  /** The address of the store. */
  storeAddress: string;
  /** The address of the provider of hosts, where there is one. */
  providerAddress?: string | undefined;
  /** The address of the adviser, where there is one. */
  adviserAddress?: string | undefined;
  /** The bounds in force. */
  bounds: PlatformBounds;
}

/** The bounds in force; times in milliseconds. */
export interface PlatformBounds {
  /** From a stop signal to the kill. */
  graceMilliseconds: number;
  /** How soon a withdrawn key must stop working. */
  keyWithdrawalMilliseconds: number;
  /** The longest lease that executors grant. */
  longestLeaseMilliseconds: number;
  /** How long executors take to stop a run. */
  stopMilliseconds: number;
  /** How long an ended job's state stays known. */
  rememberMilliseconds: number;
  /** How many times as long a task takes off its rack. */
  farFactor: number;
  /** How long holders of orders for a host must be apart. */
  providerLeaseMilliseconds: number;
  /** How long a lasting task may be away before it counts as away. */
  awayNoticeMilliseconds: number;
  /** How long a host is away for a move. */
  moveMilliseconds: number;
  /** How long a host is away for maintenance. */
  maintenanceMilliseconds: number;
}

/** The settings file is missing or malformed. */
export class PlatformSettingsError extends StepError {}

const address = z.string().refine((text) => parseSocketAddress(text) !== undefined, {
  message: "expected IP:PORT",
});

const settingsSchema = z.object({
  node: z.string(),
  ip: z.string(),
  zone: z.string(),
  listen: z.object({ front: address, ready: address }),
  portRange: z.tuple([z.number(), z.number()]),
  limits: z.object({ cpuShare: z.number().default(1), cores: z.number().default(1) }),
  // Bounds are in milliseconds where the name ends in Ms or _ms, in seconds where it ends in S or _s.
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
  advice: z.string().nullish(),
  platform: z.object({ addr: address }),
  cloud: z.object({ addr: address }).nullish(),
});

/** Decodes the text of a settings file, or throws a `PlatformSettingsError` that names every mistake. */
export function decodePlatformSettings(text: string, path: string): PlatformSettings {
  const parsed = settingsSchema.safeParse(parseYaml(text, path));
  if (!parsed.success) {
    const mistakes = parsed.error.issues.map((issue) =>
      `${issue.path.join(".")}: ${issue.message}`
    );
    throw new PlatformSettingsError({
      message: `the settings are mistaken: ${mistakes.join("; ")}`,
      step: "read-settings",
      peer: path,
    });
  }
  const { data } = parsed;
  return {
    name: data.node,
    zone: data.zone,
    callerAddress: parseSocketAddress(data.listen.front)!,
    readyAddress: parseSocketAddress(data.listen.ready)!,
    peerAddress: { host: data.ip, port: data.portRange[0] },
    cores: data.limits.cpuShare * data.limits.cores,
    storeAddress: data.platform.addr,
    providerAddress: data.cloud?.addr,
    adviserAddress: data.advice ?? undefined,
    bounds: {
      graceMilliseconds: data.bounds.graceS * 1_000,
      keyWithdrawalMilliseconds: data.bounds.revokeMs,
      longestLeaseMilliseconds: data.bounds.maxHoldMs,
      stopMilliseconds: data.bounds.stopMs,
      rememberMilliseconds: data.bounds.status_s * 1_000,
      farFactor: data.bounds.farX,
      providerLeaseMilliseconds: data.bounds.leaseMs,
      awayNoticeMilliseconds: data.bounds.noticeMs,
      moveMilliseconds: data.bounds.moveS * 1_000,
      maintenanceMilliseconds: data.bounds.upkeepS * 1_000,
    },
  };
}

function parseYaml(text: string, path: string): unknown {
  try {
    return parse(text);
  } catch (error) {
    const message = getErrorMessage(error);
    throw new PlatformSettingsError({ message, step: "read-settings", peer: path, cause: error });
  }
}
