/** Decodes the records that operators and executors publish in the store's keyed topics. */

import { isUtf8 } from "node:buffer";
import { z } from "zod";
import { Configuration, type ConfigurationData } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { MaintenanceWave } from "../fleet/maintenance_wave.ts";
import { parseSocketAddress } from "../links/socket_address.ts";
import { parseJson } from "./store_client.ts";

/** The key of the current configuration. */
export const CONFIGURATION_KEY = "config";
const EVACUATION_PREFIX = "evacuate/";
const WAVE_PREFIX = "wave/";

/** The maximum request body if the configuration sets none, in bytes. */
const DEFAULT_MAXIMUM_BODY_BYTES = 262_144;

/** The maximum size of an executor's entry, in bytes; a usual one has a few hundred. */
const MAXIMUM_ENTRY_BYTES = 65_536;
/** The maximum length of a name in an executor's entry, in characters. */
const MAXIMUM_NAME_LENGTH = 200;
/** The maximum number of labels of an executor. */
const MAXIMUM_LABELS = 100;
/** The maximum capacity of an executor, in thousandths of a core, MB or accelerators. */
const MAXIMUM_CAPACITY_AMOUNT = 1e9;
/** The maximum start time, in milliseconds since 1970: a larger number is in another unit. */
const MAXIMUM_START_TIME = Date.UTC(2100);

const resourcesSchema = z.object({
  cpu: z.number().default(0),
  memMb: z.number().default(0),
  gpu: z.number().default(0),
});

const configurationSchema = z.object({
  version: z.number(),
  routes: z.array(z.object({
    name: z.string(),
    host: z.string(),
    pathPrefix: z.string(),
    priority: z.number().default(0),
    service: z.string(),
    maxAttempts: z.number().default(1),
    stretch: z.number().default(1),
    // The constant part of the completion-time objective (see `Queue`); not a bound by itself.
    targetLatencyMs: z.number().default(0),
    public: z.boolean().default(false),
    advice: z.object({
      decideMs: z.number().default(0),
      eachMs: z.number().default(0),
      validMs: z.number().default(0),
    }).nullish(),
  })).default([]),
  services: z.array(z.object({
    name: z.string(),
    enforcesCapacity: z.boolean().default(false),
    spare: z.boolean().default(false),
  })).default([]),
  limits: z.object({ maxBodyBytes: z.number().optional() }).default({}),
  tenants: z.array(z.object({
    name: z.string(),
    apiKeys: z.array(z.string()).default([]),
    weight: z.number().default(1),
    ceiling: resourcesSchema.nullish(),
  })).default([]),
});

/** Decodes a configuration, or gets the reason why it is invalid. */
export function decodeConfiguration(value: Buffer): Configuration | string {
  const decoded = decodeConfigurationData(value);
  return "issues" in decoded ? decoded.message : Configuration.create(decoded);
}

/** The reasons why a configuration is invalid. */
export interface ConfigurationIssues {
  /** The text of all issues, for logs. */
  message: string;
  /** The issues, each with the path of the field; an empty path means the whole record. */
  issues: { path: PropertyKey[]; message: string }[];
}

/** Decodes a configuration with all its entries, also those that hide others, or gets its issues. */
export function decodeConfigurationData(value: Buffer): ConfigurationData | ConfigurationIssues {
  const parsed = configurationSchema.safeParse(parseJson(value));
  if (!parsed.success) return { message: parsed.error.message, issues: parsed.error.issues };
  const { version, routes, services, limits, tenants } = parsed.data;
  return {
    version,
    queues: routes.map((route) => ({
      name: route.name,
      host: route.host,
      pathPrefix: route.pathPrefix,
      service: route.service,
      priority: route.priority,
      attemptLimit: route.maxAttempts,
      stretch: route.stretch,
      objectiveMilliseconds: route.targetLatencyMs,
      isPublic: route.public,
      advice: route.advice == null ? undefined : {
        decideMilliseconds: route.advice.decideMs,
        eachMilliseconds: route.advice.eachMs,
        validMilliseconds: route.advice.validMs,
      },
    })),
    services: services.map((service) => ({
      name: service.name,
      isGuarded: service.enforcesCapacity,
      isSpare: service.spare,
    })),
    customers: tenants.map((tenant) => ({
      name: tenant.name,
      keys: tenant.apiKeys,
      weight: tenant.weight,
      ceiling: decodeResources(tenant.ceiling ?? { cpu: 0, memMb: 0, gpu: 0 }),
    })),
    largestBodyBytes: limits.maxBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES,
  };
}

/** Gets the zone that a record's key evacuates, or undefined for other keys. */
export function getEvacuatedZone(key: string): string | undefined {
  return key.startsWith(EVACUATION_PREFIX) ? key.slice(EVACUATION_PREFIX.length) : undefined;
}

/** Gets whether a record's key is that of a maintenance wave. */
export function isWaveKey(key: string): boolean {
  return key.startsWith(WAVE_PREFIX);
}

const waveSchema = z.object({
  wave: z.number(),
  machines: z.array(z.string()),
  durationS: z.number(),
  ceiling: z.number().default(1),
});

/** Decodes a maintenance wave, or gets the reason why it is invalid. */
export function decodeWave(value: Buffer): MaintenanceWave | string {
  const parsed = waveSchema.safeParse(parseJson(value));
  if (!parsed.success) return parsed.error.message;
  const { wave, machines, durationS, ceiling } = parsed.data;
  return { number: wave, hosts: machines, durationMilliseconds: durationS * 1_000, ceiling };
}

/** An id that fits in an HTTP header and, with a prefix, in a key of the store. */
const idSchema = z.string().regex(/^[!-~]+$/).max(MAXIMUM_NAME_LENGTH);
const nameSchema = z.string().min(1).max(MAXIMUM_NAME_LENGTH);
const capacityAmountSchema = z.number().min(0).max(MAXIMUM_CAPACITY_AMOUNT).default(0);

const executorEntrySchema = z.object({
  service: nameSchema,
  addr: z.string().refine(isConnectable, { message: "expected IP:PORT" }),
  zone: nameSchema,
  state: z.enum(["ready", "draining"]),
  machine: z.string().max(MAXIMUM_NAME_LENGTH).optional(),
  born: z.number().int().min(1).max(MAXIMUM_START_TIME),
  labels: z.array(z.string().max(MAXIMUM_NAME_LENGTH)).max(MAXIMUM_LABELS).default([]),
  capacity: z.object({
    cpu: capacityAmountSchema,
    memMb: capacityAmountSchema,
    gpu: capacityAmountSchema,
  }),
});

/** Decodes an executor's entry, which any program may have written, or gets why it is invalid. */
export function decodeExecutorEntry(id: string, value: Buffer): ExecutorEntry | string {
  if (!idSchema.safeParse(id).success) return "the id is not usable";
  if (value.length > MAXIMUM_ENTRY_BYTES) return `larger than ${MAXIMUM_ENTRY_BYTES} bytes`;
  if (!isUtf8(value)) return "not UTF-8";
  const parsed = executorEntrySchema.safeParse(parseJson(value));
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return `${issue?.path.join(".")}: ${issue?.message}`;
  }
  const { service, addr, zone, state, machine, born, labels, capacity } = parsed.data;
  return {
    id,
    born,
    service,
    address: addr,
    zone,
    host: machine,
    labels,
    capacity: decodeResources(capacity),
    isDraining: state === "draining",
  };
}

/** Decodes resource amounts: `memMb` is the memory, `gpu` the number of accelerators. */
export function decodeResources(value: z.output<typeof resourcesSchema>) {
  return { cpu: value.cpu, memory: value.memMb, accelerators: value.gpu };
}

/** Gets whether a text is an address that can be connected to. */
function isConnectable(text: string): boolean {
  const address = parseSocketAddress(text);
  return address !== undefined && address.port > 0;
}
