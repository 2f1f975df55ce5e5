/** Options of a fleet simulation: its parts, its faults and the falsified input of its owner. */

import type { ConfigurationData } from "../../fleet/configuration.ts";
import type { ExecutorEntry } from "../../fleet/executor_entry.ts";
import type { Host } from "../../fleet/host.ts";
import type { JobSpecification } from "../../fleet/job_specification.ts";
import type { MaintenanceWave } from "../../fleet/maintenance_wave.ts";
import type { Answer } from "../../front/call.ts";
import type { ExecutorReport } from "../../owner/owner_ports.ts";
import type { CapacityPolicy } from "../../owner/pool_need.ts";
import type { SchedulingFeatures } from "../../owner/scheduling_features.ts";
import type { RunPlan } from "./executor_model.ts";

/** The faults of a simulation. */
export interface SimulationFaults {
  /** The fraction of the orders that are not answered. */
  lostFraction: number;
  /** The fraction of the unanswered orders that are carried out late. */
  lateFraction: number;
  /** The fraction of the runs that fail. */
  failingFraction: number;
  /** The fraction of the starts that executors refuse as unhealthy; 0 by default. */
  refusedFraction?: number;
  /** The fraction of the journal's appends that are stored but answered late; 0 by default. */
  lateAppendFraction?: number;
  /** The fraction of the owner's answers to fronts that are lost with their link; 0 by default. */
  lostAnswerFraction?: number;
  /**
   * The fraction of the fronts' deliveries that are lost with their link and carried out late; 0 by
   * default.
   */
  lateDeliveryFraction?: number;
  /** The fraction of deliveries to a host that is not the owner; 0 by default. */
  notOwnerFraction?: number;
  /** The fraction of new jobs that meet an unavailable store; 0 by default. */
  unavailableFraction?: number;
  /** The maximum additional delay of answers to orders, in milliseconds; 0 by default. */
  delayMilliseconds?: number;
}

/** Falsified input of the owner, which shows that a check detects the resulting violation. */
export interface FalsifiedInput {
  /** Changes the executor entries that the owner gets. */
  entry?: (entry: ExecutorEntry) => ExecutorEntry;
  /** Changes the jobs that the owner gets. */
  job?: (job: JobSpecification) => JobSpecification;
  /** Changes the configuration that the owner and the fronts get. */
  configuration?: (data: ConfigurationData) => ConfigurationData;
  /** Changes the maintenance waves that the owner gets. */
  wave?: (wave: MaintenanceWave) => MaintenanceWave;
  /** Whether the owner gets no planned actions: neither evacuated zones nor waves. */
  hidesPlannedActions?: boolean;
  /** Whether a new owner finds no journal entries on the progress of jobs. */
  losesJournal?: boolean;
  /** Whether a new owner finds no journal entries on host orders. */
  losesHostOrders?: boolean;
  /** Changes the journal entries that a new owner finds. */
  stored?: (entries: [string, Uint8Array][]) => [string, Uint8Array][];
  /** Changes the owner's answers that the fronts get. */
  answer?: (answer: Answer) => Answer;
  /** Changes the executors' reports that the owner gets. */
  report?: (report: ExecutorReport) => ExecutorReport;
}

/** The paging of the provider's host list. */
export interface ListingOptions {
  /** The maximum number of hosts on a page. */
  pageHosts: number;
  /** The maximum time that reading a page takes, in milliseconds. */
  pageMilliseconds: number;
}

/** Options of a `FleetSimulation`. */
export interface FleetSimulationOptions {
  /** The seed of all random numbers. */
  seed: number;
  /** The initial faults. */
  faults: SimulationFaults;
  /** The configuration that operators have published. */
  configuration: ConfigurationData;
  /** The executors that run on no host of the provider. */
  executors?: readonly ExecutorEntry[];
  /** The provider's hosts. Each host outside the spare pools gets an executor. */
  hosts?: readonly Host[];
  /** The paging of the provider's list; by default it is read in one step. */
  listing?: ListingOptions | undefined;
  /** How much later than the owner the provider learns the hosts of a wave, in milliseconds. */
  waveDelayMilliseconds?: number;
  /** The policy for the sizes of pools, if it is not the default. */
  capacityPolicy?: CapacityPolicy;
  /** The scheduling features that are on; none by default. */
  features?: SchedulingFeatures | undefined;
  /**
   * The maximum time that an executor stays listed, without answering, after its host was taken
   * out of service, in milliseconds.
   */
  staleEntryMilliseconds?: number;
  /** The maximum number of ends that an executor reports at a time. */
  listedEnds?: number | undefined;
  /** Plans the course of a run. */
  planRun?: (task: string) => RunPlan;
  /** Gets how far the clock of the owner with a fence is ahead, in milliseconds; 0 by default. */
  getClockOffset?: (fence: number) => number;
  /** The falsified input of the owner. */
  falsifiedInput?: FalsifiedInput;
}
