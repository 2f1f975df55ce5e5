/** The capacity settings of a profile: buffer sizes, the cost of host moves, and maintenance. */

import { z } from "zod";

/** The capacity settings of the pools whose services picked a profile. */
export interface CapacitySettings {
  /** The quantile of the demand for which a pool is sized. */
  demandQuantile: number;
  /** The fraction of that demand that the pool must still serve after the loss of a zone, 0 to 1. */
  zoneLossTarget: number;
  /** The number of additional hosts that replace those in maintenance. */
  maintenanceHosts: number;
  /** The host-seconds of shortage or idleness that must accumulate before a host is moved. */
  moveCostHostSeconds: number;
  /** The factor by which a shortage after the loss of a zone accumulates faster. */
  zoneLossUrgency: number;
  /** The factor by which idle hosts accumulate faster than missing ones; higher returns them sooner. */
  idleUrgency: number;
  /** The weight of the pool when there are too few spare hosts. */
  spareShare: number;
  /** Whether the pool gives the hosts beyond its target size to other pools. */
  isSparePool: boolean;
  /** Whether maintenance drains hosts of the pool in one zone at a time. */
  isOneZoneAtOnce: boolean;
}

/** The schema of the settings, with the defaults of omitted ones. */
export const capacitySettingsSchema = z.strictObject({
  demandQuantile: z.number().min(0.5).max(1).default(0.99),
  zoneLossTarget: z.number().min(0).max(1).default(1),
  maintenanceHosts: z.int().min(0).max(1_000).default(0),
  moveCostHostSeconds: z.number().min(0).max(86_400).default(120),
  zoneLossUrgency: z.number().min(1).max(1_000).default(1),
  idleUrgency: z.number().min(0.001).max(1_000).default(1),
  spareShare: z.number().positive().default(1),
  isSparePool: z.boolean().default(false),
  isOneZoneAtOnce: z.boolean().default(false),
});

/** The settings of a profile that sets none. */
export const DEFAULT_CAPACITY_SETTINGS: CapacitySettings = capacitySettingsSchema.parse({});
