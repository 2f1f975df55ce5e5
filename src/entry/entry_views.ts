/** The views of the operator listener, by path. */

import type { MemberMessage, MemberProgress } from "../contracts/member_messages.ts";
import { MemberTask } from "../contracts/member_task.ts";
import { StepError } from "../errors/mod.ts";
import type { OperatorView } from "../links/operator_listener_task.ts";
import { PlatformTask } from "../links/platform_task.ts";
import { formatPrometheusText } from "../links/prometheus_text.ts";
import type { Fleet } from "../records/fleet.ts";
import type { ListedHost, ListResult, PlatformMessage } from "../records/platform_messages.ts";
import { DispatchTask } from "../requests/dispatch_task.ts";
import { ask, type Task } from "../tasks/mod.ts";
import { createEntryMetrics } from "./entry_metrics.ts";
import type { EntryRegistry } from "./entry_registry.ts";
import { createEntryStatus, type EntryStatus } from "./entry_status.ts";
import { MetricsTask } from "./metrics_task.ts";
import { getMaintenanceView } from "./pool_wiring.ts";

/** The part of a task that the views read. */
export type InspectedTask = Pick<Task<unknown>, "name" | "getMailboxState">;

/** Options of `createEntryViews`. */
export interface EntryViewsOptions {
  /** Gets the registry, which is created after the views. */
  getRegistry: () => EntryRegistry;
  /** Gets the tasks. */
  getTasks: () => readonly InspectedTask[];
  /** Gets the fleet. */
  getFleet: () => Fleet;
  /** Gets the standing. */
  getStanding: () => string;
  /** Gets whether the load balancer should send callers to this host. */
  isReady: () => boolean;
  /** Gets the state of every task. */
  getState: () => unknown;
  /** The member id of this process. */
  memberId: string;
  /** The IP address and port of the platform's service, for errors. */
  platformAddress: string;
}

/** Creates the views by path. */
export function createEntryViews(options: EntryViewsOptions): ReadonlyMap<string, OperatorView> {
  return new Map<string, OperatorView>([
    ["/state", options.getState],
    ["/status", () => getStatus(options)],
    ["/metrics", () => getMetrics(options)],
    ["/listed-hosts", () => listHosts(options)],
    ["/maintenance", () => getMaintenanceView(options.getRegistry())],
    ["/fleet", () => ({ ...options.getFleet().toData().tables, recordIds: undefined })],
  ]);
}

async function getStatus(options: EntryViewsOptions): Promise<EntryStatus> {
  const registry = options.getRegistry();
  const { runningByTeam } = registry.get(DispatchTask).getState() as {
    runningByTeam: Record<string, number>;
  };
  return createEntryStatus({
    fleet: options.getFleet(),
    memberId: options.memberId,
    standing: options.getStanding(),
    isReady: options.isReady(),
    progress: await getProgress(registry),
    runningByTeam,
    maintenances: await getMaintenanceView(options.getRegistry()),
  });
}

function getMetrics(options: EntryViewsOptions): string {
  const mailboxes = options.getTasks().map((task) => [task.name, task.getMailboxState()] as const);
  return formatPrometheusText(createEntryMetrics({
    fleet: options.getFleet(),
    services: options.getRegistry().get(MetricsTask).getMetrics(),
    isReady: options.isReady(),
    waitingByTask: new Map(mailboxes.map(([name, { waiting }]) => [name, waiting])),
    refusedByTask: new Map(mailboxes.map(([name, { refused }]) => [name, refused])),
  }));
}

function getProgress(registry: EntryRegistry): Promise<MemberProgress[]> {
  return ask<MemberMessage, MemberProgress[]>(
    registry.get(MemberTask),
    (reply) => ({ kind: "get-progress", reply }),
    () => [],
  );
}

async function listHosts(options: EntryViewsOptions): Promise<ListedHost[]> {
  const result = await ask<PlatformMessage, ListResult>(
    options.getRegistry().get(PlatformTask),
    (reply) => ({ kind: "list-hosts", reply }),
    () => ({ outcome: "failed", reason: "the platform's task has stopped" }),
  );
  if (result.outcome === "listed") return result.hosts;
  const peer = options.platformAddress;
  throw new StepError({ message: result.reason, step: "list-hosts", peer });
}
