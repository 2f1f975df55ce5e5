/** Decodes the records that operators and executors write to the store. */

import { z } from "zod";
import { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import type { MaintenanceWave } from "../fleet/maintenance_wave.ts";
import { parseJson } from "./store_client.ts";

/** The key of the current configuration. */
export const CONFIGURATION_KEY = "config";
const EVACUATION_PREFIX = "evacuate/";
const WAVE_PREFIX = "wave/";

/** The maximum request body if the configuration sets none, in bytes. */
const DEFAULT_MAXIMUM_BODY_BYTES = 262_144;

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
    // Added to the duration of the critical path to get the objective; not a bound by itself.
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
  const parsed = configurationSchema.safeParse(parseJson(value));
  if (!parsed.success) return parsed.error.message;
  const { version, routes, services, limits, tenants } = parsed.data;
  return Configuration.create({
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
  });
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

const executorEntrySchema = z.object({
  service: z.string(),
  addr: z.string().regex(/^[0-9.]+:\d+$/),
  zone: z.string(),
  state: z.enum(["ready", "draining"]),
  machine: z.string().optional(),
  born: z.number().int().default(0),
  labels: z.array(z.string()).default([]),
  capacity: resourcesSchema,
});

/** Decodes an executor's entry, or gets the reason why it is invalid. */
export function decodeExecutorEntry(id: string, value: Buffer): ExecutorEntry | string {
  const parsed = executorEntrySchema.safeParse(parseJson(value));
  if (!parsed.success) return parsed.error.issues[0]?.message ?? "unreadable";
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
