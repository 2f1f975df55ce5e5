/** The capacity settings of a profile: spare capacity, the cost of host moves, and maintenance. */

import { z } from "zod";

/** The capacity settings of the pools to whose services the profile is assigned. */
export interface CapacitySettings {
  /** The quantile of the demand for which a pool is sized. */
  demandQuantile: number;
  /** The fraction of that demand that the pool must still serve after the loss of a zone, 0 to 1. */
  zoneLossTarget: number;
  /** The number of additional hosts that replace those in maintenance. */
  maintenanceHosts: number;
  /** The host-seconds of shortage or surplus that must accumulate before a host is moved. */
  moveCostHostSeconds: number;
  /** The weight of the host-seconds of a shortage while a zone of the pool is out of service. */
  zoneLossUrgency: number;
  /**
   * The weight of surplus host-seconds relative to missing ones; a larger value moves surplus hosts to
   * the spare pool sooner.
   */
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
