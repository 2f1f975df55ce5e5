/** What a fleet in virtual time is made of, what goes wrong in it, and what its owner is told falsely. */

import type { ConfigurationData } from "../../fleet/configuration.ts";
import type { ExecutorEntry } from "../../fleet/executor_entry.ts";
import type { Host } from "../../fleet/host.ts";
import type { JobSpecification } from "../../fleet/job_specification.ts";
import type { MaintenanceWave } from "../../fleet/maintenance_wave.ts";
import type { ExecutorReport } from "../../owner/owner_ports.ts";
import type { CapacityPolicy } from "../../owner/pool_need.ts";
import type { RunPlan } from "./executor_model.ts";

/** What goes wrong in a run of the world. */
export interface SimulationFaults {
  /** The part of the orders that get no answer. */
  lostFraction: number;
  /** The part of the orders without an answer that are carried out late. */
  lateFraction: number;
  /** The part of the runs that fail. */
  failingFraction: number;
  /** The part of the starts that an unwell executor refuses; none if left out. */
  refusedFraction?: number;
  /** The part of the journal's appends that are stored and answered late; none unless given. */
  lateAppendFraction?: number;
  /** How much longer answers to orders take, at most, in milliseconds; none if absent. */
  delayMilliseconds?: number;
}

/** What the owner is told falsely, so that a check can be seen to fail. */
export interface FalsifiedInput {
  /** Changes the entries that the owner sees. */
  entry?: (entry: ExecutorEntry) => ExecutorEntry;
  /** Changes the jobs that the owner sees. */
  job?: (job: JobSpecification) => JobSpecification;
  /** Changes the configuration that the owner sees. */
  configuration?: (data: ConfigurationData) => ConfigurationData;
  /** Changes the waves that the owner sees. */
  wave?: (wave: MaintenanceWave) => MaintenanceWave;
  /** Whether the owner is not told of evacuated zones. */
  hidesEvacuation?: boolean;
  /** Whether a new owner finds no records of what ran. */
  losesJournal?: boolean;
  /** Whether a new owner finds no records of orders for hosts. */
  losesHostOrders?: boolean;
  /** Changes what a new owner finds in the journal. */
  stored?: (entries: [string, Uint8Array][]) => [string, Uint8Array][];
  /** Changes the reports of executors that the owner sees. */
  report?: (report: ExecutorReport) => ExecutorReport;
}

/** How the provider's list is read. */
export interface ListingOptions {
  /** How many hosts a page has. */
  pageHosts: number;
  /** How long a page takes at most, in milliseconds. */
  pageMilliseconds: number;
}

/** Options of a `FleetWorld`. */
export interface FleetSimulationOptions {
  /** The seed of everything random. */
  seed: number;
  /** What goes wrong. */
  faults: SimulationFaults;
  /** What operators have published. */
  configuration: ConfigurationData;
  /** The executors that are on no host of the provider. */
  executors?: readonly ExecutorEntry[];
  /** The provider's hosts; each in a pool that is no spare one has an executor. */
  hosts?: readonly Host[];
  /** How the provider's list is read; left out, at once. */
  listing?: ListingOptions | undefined;
  /** How long after the owner the provider learns which hosts are of a wave, in milliseconds. */
  waveDelayMilliseconds?: number;
  /** How the sizes of pools follow their load, where not as usual. */
  capacityPolicy?: CapacityPolicy;
  /** For how long an executor that is gone stays listed and answers nothing at most, in milliseconds. */
  staleEntryMilliseconds?: number;
  /** Decides how a run goes. */
  planRun?: (task: string) => RunPlan;
  /** Gets how far the time of day of an owner is ahead, by its fence, in milliseconds; 0 unless given. */
  getClockOffset?: (fence: number) => number;
  /** What the owner is told falsely. */
  falsifiedInput?: FalsifiedInput;
}
