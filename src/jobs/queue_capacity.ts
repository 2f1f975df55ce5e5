/** The free capacity on the workers of a queue, as its owner sees it when it plans starts. */

import type { Host } from "../machines/host.ts";
import type { Fleet } from "../records/fleet.ts";
import type { WatchedAttempt } from "./attempt_watches.ts";
import type { QueuePublications } from "./queue_publications.ts";
import type { TeamAllocation } from "./queue_plan.ts";
import { addSizes, NO_SIZE, subtractSizes, type TaskSize } from "./task_size.ts";
import type { WorkerContacts } from "./worker_contacts.ts";
import { WorkerIndex } from "./worker_index.ts";

/** Options of `createQueueCapacity`. */
export interface QueueCapacityOptions {
  fleet: Fleet;
  /** The name of the queue. */
  queue: string;
  /** The monotonic time in milliseconds. */
  now: number;
  /** The contacts with the workers. */
  contacts: WorkerContacts;
  /** The records in flight. */
  publications: QueuePublications;
  /** The running attempts. */
  watched: readonly WatchedAttempt[];
}

/** The capacity of the workers of a queue. */
export interface QueueCapacity {
  /** The schedulable workers that answer, with their free capacity. */
  index: WorkerIndex;
  /** The rack of each worker in the index. */
  racks: ReadonlyMap<string, string>;
  /** The total capacity of the schedulable workers. */
  total: TaskSize;
  /** The largest amount of each resource on one worker. */
  largestWorker: TaskSize;
  /** The schedulable workers of which it is not known yet whether they answer. */
  unconfirmed: Host[];
  /** The usage and limits of each team of the queue. */
  teams: Map<string, TeamAllocation>;
}

/** Gets the workers of a queue on which tasks may start. */
export function getSchedulableWorkers(fleet: Fleet, queue: string): Host[] {
  return fleet.getHostsOfPool(queue).filter((host) =>
    !host.isExecutor() && host.isSchedulable() &&
    fleet.getWorkerLoad(host.getName())?.isSetAside !== true
  );
}

/** Gets the capacity as if the records in flight were applied: ends released, starts reserved. */
export function createQueueCapacity(options: QueueCapacityOptions): QueueCapacity {
  const { fleet, contacts, now } = options;
  const index = WorkerIndex.create();
  const racks = new Map<string, string>();
  const unconfirmedHosts: Host[] = [];
  let total = NO_SIZE;
  let maximum = NO_SIZE;
  for (const host of getSchedulableWorkers(fleet, options.queue)) {
    const data = host.getData();
    total = addSizes(total, data);
    maximum = getMaximum(maximum, data);
    if (contacts.isUnconfirmed(host.getName(), now)) unconfirmedHosts.push(host);
    if (contacts.getIncarnation(host.getName(), now) === undefined) continue;
    const reserved = fleet.getWorkerLoad(host.getName())?.reserved ?? NO_SIZE;
    index.set({ worker: data.host, rack: data.rack, free: subtractSizes(data, reserved) });
    racks.set(data.host, data.rack);
  }
  const teams = createTeamUsages(options);
  applyInFlight(options, index, teams);
  return { index, racks, total, largestWorker: maximum, unconfirmed: unconfirmedHosts, teams };
}

function createTeamUsages(options: QueueCapacityOptions): Map<string, TeamAllocation> {
  const { fleet, queue, watched } = options;
  const teams = new Map<string, TeamAllocation>();
  for (const rights of fleet.getService(queue)?.getProfile().getData().teams ?? []) {
    teams.set(rights.team, {
      share: rights.share,
      taskLimit: fleet.getTeam(rights.team)?.getTaskLimit() ?? 0,
      taskCount: fleet.getTeamTaskCount(rights.team),
      reserved: NO_SIZE,
    });
  }
  for (const { job, running } of watched) {
    const usage = teams.get(job.team);
    if (usage !== undefined) usage.reserved = addSizes(usage.reserved, running.reserved);
  }
  return teams;
}

function applyInFlight(
  options: QueueCapacityOptions,
  index: WorkerIndex,
  teams: Map<string, TeamAllocation>,
): void {
  const { publications, watched } = options;
  for (const { watch, job, running } of watched) {
    if (!publications.isInFlight(watch.recordId)) continue;
    index.release(running.worker, running.reserved);
    addUsage(teams.get(job.team), -1, subtractSizes(NO_SIZE, running.reserved));
  }
  for (const pending of publications.getPendingStarts()) {
    for (const { worker, size } of pending.placed) {
      index.reserve(worker, size);
      addUsage(teams.get(pending.team), 1, size);
    }
  }
}

function addUsage(usage: TeamAllocation | undefined, tasks: number, size: TaskSize): void {
  if (usage === undefined) return;
  usage.taskCount += tasks;
  usage.reserved = addSizes(usage.reserved, size);
}

function getMaximum(first: TaskSize, second: TaskSize): TaskSize {
  return {
    cores: Math.max(first.cores, second.cores),
    memoryGigabytes: Math.max(first.memoryGigabytes, second.memoryGigabytes),
    accelerators: Math.max(first.accelerators, second.accelerators),
  };
}
