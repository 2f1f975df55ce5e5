/**
 * Determines when drained hosts are idle: a worker according to the tasks in the log, an executor once
 * every member has reported that it has nothing running there.
 */

import { FRESHNESS_LIMIT_MILLISECONDS, widenDuration } from "../contracts/freshness.ts";
import { type HostData, HostKind, HostState } from "../machines/host_data.ts";
import { MAXIMUM_RUN_MILLISECONDS } from "../profiles/profile_data.ts";
import type { Fleet } from "../records/fleet.ts";

/** An idle drained host, with the record that drained it. */
export interface IdleHost {
  /** The name of the host. */
  host: string;
  /** The offset of the record that drained it. */
  drainedAt: number;
}

/** Gets the maximum time for which work may run on a host after its drain took effect, in milliseconds. */
export type GetMaximumRunMilliseconds = (fleet: Fleet, host: HostData) => number;

interface WatchedHost {
  /** The offset of the record that drained it. */
  drainedAt: number;
  /** The monotonic time at which this member first read the drain. */
  firstSeenAt: number;
  /** The members that may have started work on it and have not reported it as idle. */
  unreportedMembers: Set<string>;
  /** Whether this member was reading the log before the drain, and so knows the roster at the drain. */
  isRosterKnown: boolean;
  /** The maximum time for which work may run on it after the drain took effect. */
  longestRunMilliseconds: number;
  /** The number of tasks on it according to the log; undefined for an executor. */
  taskCount: number | undefined;
}

/** Tracks which drained hosts of the fleet are idle, as one member knows it. Callers pass the time. */
export class DrainWatch {
  readonly #getMaximumRunMilliseconds: GetMaximumRunMilliseconds;
  readonly #watched = new Map<string, WatchedHost>();
  #members: readonly string[] = [];
  #reconciledOffset: number | undefined;

  private constructor(getMaximumRun: GetMaximumRunMilliseconds) {
    this.#getMaximumRunMilliseconds = getMaximumRun;
  }

  /** Creates a watch without hosts. */
  static create(getMaximumRun: GetMaximumRunMilliseconds = getMaximumRunMilliseconds): DrainWatch {
    return new DrainWatch(getMaximumRun);
  }

  /** Reconciles the watched hosts with a newer fleet. */
  reconcile(fleet: Fleet, now: number): void {
    const members = fleet.getMembers().map((member) => member.getId());
    const possibleMembers = new Set([...this.#members, ...members]);
    const drained = findDrainedHosts(fleet);
    for (const name of this.#watched.keys()) {
      if (!drained.has(name)) this.#watched.delete(name);
    }
    for (const host of drained.values()) {
      const known = this.#watched.get(host.host);
      if (known?.drainedAt === host.changedAt) {
        known.taskCount = countTasks(fleet, host);
        continue;
      }
      this.#watched.set(host.host, {
        drainedAt: host.changedAt,
        firstSeenAt: now,
        unreportedMembers: new Set(possibleMembers),
        isRosterKnown: this.#reconciledOffset !== undefined &&
          this.#reconciledOffset < host.changedAt,
        longestRunMilliseconds: this.#getMaximumRunMilliseconds(fleet, host),
        taskCount: countTasks(fleet, host),
      });
    }
    this.#members = members;
    this.#reconciledOffset = fleet.offset;
  }

  /** Marks hosts on which a member has nothing running and starts nothing more. */
  markIdle(memberId: string, hosts: readonly IdleHost[]): void {
    for (const { host, drainedAt } of hosts) {
      const watched = this.#watched.get(host);
      if (watched?.drainedAt === drainedAt) watched.unreportedMembers.delete(memberId);
    }
  }

  /**
   * Gets the drained executors on which this member has nothing running. Drains that its dispatch has
   * not applied yet are left out, since it may still start requests there.
   */
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

  /** Gets whether a host is drained and nothing runs on it. */
  isIdle(host: string, now: number): boolean {
    const watched = this.#watched.get(host);
    if (watched === undefined) return false;
    if (watched.taskCount !== undefined) return watched.taskCount === 0;
    if (watched.isRosterKnown && watched.unreportedMembers.size === 0) return true;
    const maximum = FRESHNESS_LIMIT_MILLISECONDS + watched.longestRunMilliseconds;
    return now - watched.firstSeenAt >= widenDuration(maximum);
  }

  /** Gets the drained hosts on which nothing runs. */
  getIdleHosts(now: number): IdleHost[] {
    return [...this.#watched].filter(([host]) => this.isIdle(host, now))
      .map(([host, { drainedAt }]) => ({ host, drainedAt }));
  }

  /** Gets the members that have not reported each host as idle, for the state dump. */
  getState(): Record<string, readonly string[]> {
    const entries = [...this.#watched].map(([host, { unreportedMembers }]) => [host, [
      ...unreportedMembers,
    ]]);
    return Object.fromEntries(entries);
  }
}

/** Gets the maximum run time that the profile of the host's pool allows, in milliseconds. */
export function getMaximumRunMilliseconds(fleet: Fleet, host: HostData): number {
  const service = fleet.getService(host.pool);
  return service?.getProfile().getData().longestRunMilliseconds ?? MAXIMUM_RUN_MILLISECONDS;
}

/** The fold starts no task on a drained worker, so a count of 0 stays 0 until the host returns. */
function countTasks(fleet: Fleet, host: HostData): number | undefined {
  if (host.kind === HostKind.Executor) return undefined;
  return fleet.tables.workerLoads.get(host.host)?.taskCount ?? 0;
}

/** Skips drains that were relayed before they were read from the log, since these may still be refused. */
function findDrainedHosts(fleet: Fleet): Map<string, HostData> {
  const drained = new Map<string, HostData>();
  for (const host of fleet.tables.hosts.values()) {
    if (host.state !== HostState.Draining || host.changedAt > fleet.offset) continue;
    drained.set(host.host, host);
  }
  return drained;
}
