/** Routing of events and of messages from peers to tasks. */

import type { RosterChanged } from "../contracts/roster_messages.ts";
import { KeeperTask } from "../contracts/loans/keeper_task.ts";
import { MemberTask } from "../contracts/member_task.ts";
import type { StandingChanged } from "../contracts/standing.ts";
import { JobIntakeTask } from "../jobs/job_intake_task.ts";
import { JobQueueTask } from "../jobs/job_queue_task.ts";
import type { PeerMessage } from "../links/peer_message.ts";
import { PeersTask } from "../links/peers_task.ts";
import { TargetsTask } from "../links/targets_task.ts";
import { CapacityTask } from "../pools/capacity_task.ts";
import { DrainTask } from "../pools/drain_task.ts";
import { MaintenanceTask } from "../pools/maintenance_task.ts";
import type { RecordEvent } from "../records/record_messages.ts";
import { RecordTask } from "../records/record_task.ts";
import { RetryTask } from "../requests/attempts/retry_task.ts";
import { ClaimTask } from "../requests/claims/claim_task.ts";
import { DispatchTask } from "../requests/dispatch_task.ts";
import type { EntryRegistry } from "./entry_registry.ts";

/** An event of a task that other tasks need. */
export type EntryEvent = RecordEvent | StandingChanged | RosterChanged;

/** Posts an event to the tasks that need it. */
export function routeEvent(registry: EntryRegistry, event: EntryEvent): void {
  registry.get(DispatchTask).post(event);
  if (event.kind === "roster-changed") {
    registry.get(KeeperTask).post(event);
    return;
  }
  registry.get(DrainTask).post(event);
  registry.get(MaintenanceTask).post(event);
  registry.get(CapacityTask).post(event);
  registry.get(JobIntakeTask).post(event);
  registry.get(JobQueueTask).post(event);
  if (event.kind !== "log-read") registry.get(ClaimTask).post(event);
  if (event.kind === "standing-changed") return;
  registry.get(MemberTask).post(event);
  registry.get(KeeperTask).post(event);
  if (event.kind === "log-read") return;
  registry.get(PeersTask).post(event);
  registry.get(TargetsTask).post(event);
  registry.get(RetryTask).post(event);
}

/** Posts a message of a peer to the task that handles it. */
export function routePeerMessage(
  registry: EntryRegistry,
  from: string,
  message: PeerMessage,
): void {
  switch (message.kind) {
    case "hello":
      return;
    case "records-relayed":
    case "records-requested":
      registry.get(RecordTask).post({ kind: "peer", from, message });
      return;
    case "heartbeat":
      registry.get(MemberTask).post({ kind: "peer", from, message });
      return;
    case "hosts-idle":
      registry.get(DrainTask).post({ kind: "peer", from, message });
      return;
    case "pool-demand":
      registry.get(CapacityTask).post({ kind: "peer", from, message });
      return;
    case "loan-statement":
    case "share-demand":
      registry.get(KeeperTask).post({ kind: "peer", from, message });
      return;
    case "loan-lend":
    case "loan-statement-wanted":
    case "share-allotment":
      registry.get(DispatchTask).post({ kind: "loan", from, message });
      return;
    default:
      registry.get(ClaimTask).post({ kind: "peer", from, message });
      return;
  }
}
