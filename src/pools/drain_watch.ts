/** When nothing runs on a drained host any more: on a worker the log knows; on an executor every member says. */

import { FRESHNESS_LIMIT_MILLISECONDS, widenDuration } from "../contracts/freshness.ts";
import { type HostData, HostKind, HostState } from "../machines/host_data.ts";
import { MAXIMUM_RUN_MILLISECONDS } from "../profiles/profile_data.ts";
import type { Fleet } from "../records/fleet.ts";

/** A drained host, named with the record that drained it. */
export interface IdleHost {
  /** The host. */
  host: string;
  /** The offset of the record that drained it. */
  drainedAt: number;
}

/** Gets the longest time for which work may run on a host after its drain is in force, in milliseconds. */
export type GetMaximumRunMilliseconds = (fleet: Fleet, host: HostData) => number;

interface Watched {
  drainedAt: number;
  seenAt: number;
  /** The members that may have started work on it and have not said that it ended. */
  silentMembers: Set<string>;
  /** Whether this member followed the log when the host was drained, and so knows its roster. */
  isRosterKnown: boolean;
  longestRunMilliseconds: number;
  /** How many tasks run on it as the log says; undefined for an executor. */
  taskCount: number | undefined;
}

/** What one member knows of the drained hosts of the fleet; it reads no clock. */
export class DrainWatch {
  readonly #getLongestRun: GetMaximumRunMilliseconds;
  readonly #watched = new Map<string, Watched>();
  #members: readonly string[] = [];
  #followedOffset: number | undefined;

  private constructor(getLongestRun: GetMaximumRunMilliseconds) {
    this.#getLongestRun = getLongestRun;
  }

  /** Creates a watch that knows nothing yet. */
  static create(getLongestRun: GetMaximumRunMilliseconds = getMaximumRunMilliseconds): DrainWatch {
    return new DrainWatch(getLongestRun);
  }

  /** Takes in a newer fleet. */
  reconcile(fleet: Fleet, now: number): void {
    const members = fleet.getMembers().map((member) => member.getId());
    const suspects = new Set([...this.#members, ...members]);
    const draining = findDrainingHosts(fleet);
    for (const name of this.#watched.keys()) {
      if (!draining.has(name)) this.#watched.delete(name);
    }
    for (const host of draining.values()) {
      const known = this.#watched.get(host.host);
      if (known?.drainedAt === host.changedAt) {
        known.taskCount = countTasks(fleet, host);
        continue;
      }
      this.#watched.set(host.host, {
        drainedAt: host.changedAt,
        seenAt: now,
        silentMembers: new Set(suspects),
        isRosterKnown: this.#followedOffset !== undefined && this.#followedOffset < host.changedAt,
        longestRunMilliseconds: this.#getLongestRun(fleet, host),
        taskCount: countTasks(fleet, host),
      });
    }
    this.#members = members;
    this.#followedOffset = fleet.offset;
  }

  /** Takes in that a member has nothing running on these hosts, and starts nothing there. */
  markIdle(memberId: string, hosts: readonly IdleHost[]): void {
    for (const { host, drainedAt } of hosts) {
      const watched = this.#watched.get(host);
      if (watched?.drainedAt === drainedAt) watched.silentMembers.delete(memberId);
    }
  }

  /** Gets the drained hosts that this member may speak for: those of drains that its dispatch knows. */
  getLocallyIdleHosts(
    dispatchOffset: number,
    busyHosts: { has(host: string): boolean },
  ): IdleHost[] {
    const idle: IdleHost[] = [];
    for (const [host, { drainedAt, taskCount }] of this.#watched) {
      if (taskCount !== undefined) continue;
      if (drainedAt <= dispatchOffset && !busyHosts.has(host)) idle.push({ host, drainedAt });
    }
    return idle;
  }

  /** Gets whether nothing runs on a drained host any more. */
  isIdle(host: string, now: number): boolean {
    const watched = this.#watched.get(host);
    if (watched === undefined) return false;
    if (watched.taskCount !== undefined) return watched.taskCount === 0;
    if (watched.isRosterKnown && watched.silentMembers.size === 0) return true;
    const longest = FRESHNESS_LIMIT_MILLISECONDS + watched.longestRunMilliseconds;
    return now - watched.seenAt >= widenDuration(longest);
  }

  /** Gets the drained hosts on which nothing runs any more. */
  getIdleHosts(now: number): IdleHost[] {
    return [...this.#watched].filter(([host]) => this.isIdle(host, now))
      .map(([host, { drainedAt }]) => ({ host, drainedAt }));
  }

  /** Gets the members that have not spoken, by host, for the state dump. */
  getState(): Record<string, readonly string[]> {
    const entries = [...this.#watched].map(([host, { silentMembers }]) => [host, [
      ...silentMembers,
    ]]);
    return Object.fromEntries(entries);
  }
}

/** Gets the longest run that the profile of the host's pool allows. */
export function getMaximumRunMilliseconds(fleet: Fleet, host: HostData): number {
  const service = fleet.getService(host.pool);
  return service?.getProfile().getData().longestRunMilliseconds ?? MAXIMUM_RUN_MILLISECONDS;
}

/** The fold starts no task on a drained worker, so that none once means none until its return. */
function countTasks(fleet: Fleet, host: HostData): number | undefined {
  if (host.kind === HostKind.Executor) return undefined;
  return fleet.tables.workerLoads.get(host.host)?.taskCount ?? 0;
}

/** A drain that was relayed ahead of its place in the log may still be refused: it is no drain yet. */
function findDrainingHosts(fleet: Fleet): Map<string, HostData> {
  const draining = new Map<string, HostData>();
  for (const host of fleet.tables.hosts.values()) {
    if (host.state !== HostState.Draining || host.changedAt > fleet.offset) continue;
    draining.set(host.host, host);
  }
  return draining;
}
