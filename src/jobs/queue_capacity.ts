/** The room on the workers of a queue, as its owner sees it when it plans starts. */

import type { Host } from "../machines/host.ts";
import type { Fleet } from "../records/fleet.ts";
import type { WatchedAttempt } from "./attempt_watches.ts";
import type { QueuePublications } from "./queue_publications.ts";
import type { TeamUsage } from "./queue_plan.ts";
import { addSizes, NO_SIZE, subtractSizes, type TaskSize } from "./task_size.ts";
import type { WorkerContacts } from "./worker_contacts.ts";
import { WorkerIndex } from "./worker_index.ts";

/** Options of `createQueueRoom`. */
export interface QueueCapacityOptions {
  /** The fleet. */
  fleet: Fleet;
  /** The queue. */
  queue: string;
  /** The elapsed milliseconds. */
  now: number;
  /** What is known of the workers. */
  contacts: WorkerContacts;
  /** The records in flight. */
  publications: QueuePublications;
  /** The attempts that run. */
  watched: readonly WatchedAttempt[];
}

/** The room on the workers of a queue. */
export interface QueueCapacity {
  /** The open workers that answer, with what is free on them. */
  index: WorkerIndex;
  /** The racks by worker. */
  racks: ReadonlyMap<string, string>;
  /** All that the open workers have. */
  total: TaskSize;
  /** The largest amount of each resource on one worker. */
  largestWorker: TaskSize;
  /** The open workers of which it is not known whether they answer. */
  unconfirmed: Host[];
  /** What each team of the queue has and may have. */
  teams: Map<string, TeamUsage>;
}

/** Gets the workers of a queue on which tasks may start. */
export function getSchedulableWorkers(fleet: Fleet, queue: string): Host[] {
  return fleet.getHostsOfPool(queue).filter((host) =>
    !host.isExecutor() && host.isOpen() && fleet.getWorkerLoad(host.getName())?.isSetAside !== true
  );
}

/** Creates the view: what ends by a record in flight is free, what starts by one is taken. */
export function createQueueCapacity(options: QueueCapacityOptions): QueueCapacity {
  const { fleet, contacts, now } = options;
  const index = WorkerIndex.create();
  const racks = new Map<string, string>();
  const undecided: Host[] = [];
  let total = NO_SIZE;
  let largest = NO_SIZE;
  for (const host of getSchedulableWorkers(fleet, options.queue)) {
    const data = host.getData();
    total = addSizes(total, data);
    largest = getLargest(largest, data);
    if (contacts.isUnconfirmed(host.getName(), now)) undecided.push(host);
    if (contacts.getIncarnation(host.getName(), now) === undefined) continue;
    const reserved = fleet.getWorkerLoad(host.getName())?.reserved ?? NO_SIZE;
    index.set({ worker: data.host, rack: data.rack, free: subtractSizes(data, reserved) });
    racks.set(data.host, data.rack);
  }
  const teams = createTeamUses(options);
  applyInFlight(options, index, teams);
  return { index, racks, total, largestWorker: largest, unconfirmed: undecided, teams };
}

function createTeamUses(options: QueueCapacityOptions): Map<string, TeamUsage> {
  const { fleet, queue, watched } = options;
  const teams = new Map<string, TeamUsage>();
  for (const rights of fleet.getService(queue)?.getProfile().getData().teams ?? []) {
    teams.set(rights.team, {
      share: rights.share,
      taskLimit: fleet.getTeam(rights.team)?.getTaskLimit() ?? 0,
      taskCount: fleet.getTeamTaskCount(rights.team),
      reserved: NO_SIZE,
    });
  }
  for (const { job, running } of watched) {
    const use = teams.get(job.team);
    if (use !== undefined) use.reserved = addSizes(use.reserved, running.reserved);
  }
  return teams;
}

function applyInFlight(
  options: QueueCapacityOptions,
  index: WorkerIndex,
  teams: Map<string, TeamUsage>,
): void {
  const { publications, watched } = options;
  for (const { watch, job, running } of watched) {
    if (!publications.isInFlight(watch.recordId)) continue;
    index.release(running.worker, running.reserved);
    addUse(teams.get(job.team), -1, subtractSizes(NO_SIZE, running.reserved));
  }
  for (const pending of publications.getPendingStarts()) {
    for (const { worker, size } of pending.placed) {
      index.reserve(worker, size);
      addUse(teams.get(pending.team), 1, size);
    }
  }
}

function addUse(use: TeamUsage | undefined, tasks: number, size: TaskSize): void {
  if (use === undefined) return;
  use.taskCount += tasks;
  use.reserved = addSizes(use.reserved, size);
}

function getLargest(first: TaskSize, second: TaskSize): TaskSize {
  return {
    cores: Math.max(first.cores, second.cores),
    memoryGigabytes: Math.max(first.memoryGigabytes, second.memoryGigabytes),
    accelerators: Math.max(first.accelerators, second.accelerators),
  };
}
