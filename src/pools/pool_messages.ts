/** The messages about drained hosts, demand and maintenance, between tasks and between peers. */

import { z } from "zod";
import type { StandingChanged } from "../contracts/standing.ts";
import type { ListResult, RebootResult } from "../records/platform_messages.ts";
import type { PublicationResult, RecordEvent } from "../records/record_messages.ts";
import type { BusyHosts } from "../requests/dispatch_messages.ts";
import type { Reply } from "../tasks/mod.ts";
import type { IdleHost } from "./drain_watch.ts";
import type { HostMove } from "./move_decision.ts";
import type { PoolSlotDemand } from "./pool_demands.ts";
import type { MaintenanceProgress } from "./maintenance_progress.ts";

/** Reports the drained hosts on which the sending member has nothing running and starts nothing. */
export interface HostsIdle {
  /** The kind of the message. */
  kind: "hosts-idle";
  /** The hosts. */
  hosts: IdleHost[];
}

/** Reports the slots that the sending member has in use to the member that decides moves. */
export interface PoolDemand {
  /** The kind of the message. */
  kind: "pool-demand";
  /** The slots in use, by pool. */
  slots: PoolSlotDemand[];
}

/** The schemas of the messages about pools between peers. */
export const POOL_PEER_MESSAGE_SCHEMAS = [
  z.object({
    kind: z.literal("hosts-idle"),
    hosts: z.array(z.object({ host: z.string().min(1), drainedAt: z.int().min(0) })).max(20_000),
  }),
  z.object({
    kind: z.literal("pool-demand"),
    slots: z.array(z.object({ pool: z.string().min(1), slots: z.number().min(0) })).max(10_000),
  }),
] as const;

/** The messages about pools between peers. */
export type PoolPeerMessage = HostsIdle | PoolDemand;

/** Reports, from the drain task, the drained hosts on which nothing runs. */
export interface IdleHostsChanged {
  /** The kind of the message. */
  kind: "idle-hosts-changed";
  /** All idle drained hosts. */
  hosts: readonly IdleHost[];
}

/** The messages that the drain task receives. */
export type DrainMessage =
  | RecordEvent
  | StandingChanged
  | { kind: "drain-tick" }
  | { kind: "busy-hosts-found"; busy: BusyHosts }
  | { kind: "peer"; from: string; message: HostsIdle };

/**
 * The messages that the maintenance task receives. The `host` of `published` is the subject of the
 * record: a host or a maintenance.
 */
export type MaintenanceMessage =
  | RecordEvent
  | StandingChanged
  | IdleHostsChanged
  | { kind: "maintenance-tick" }
  | { kind: "hosts-listed"; result: ListResult }
  | { kind: "published"; host: string; result: PublicationResult }
  | { kind: "reboot-ordered"; host: string; result: RebootResult }
  | { kind: "get-progress"; reply: Reply<MaintenanceProgress[]> };

/** The messages that the capacity task receives. */
export type CapacityMessage =
  | RecordEvent
  | StandingChanged
  | { kind: "capacity-tick" }
  | { kind: "busy-hosts-found"; busy: BusyHosts }
  | { kind: "peer"; from: string; message: PoolDemand }
  | { kind: "hosts-listed"; moves: readonly HostMove[]; result: ListResult };
