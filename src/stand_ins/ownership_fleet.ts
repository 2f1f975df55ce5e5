/** Hosts that claim a fleet from each other, with the claims topic in memory, on a paused clock. */

import FakeTimers from "@sinonjs/fake-timers";
import type { EventFields } from "../events/mod.ts";
import { getClaimDelay } from "../ownership/claim_delay.ts";
import { getShortage, type HostResources } from "../ownership/host_suitability.ts";
import type { OwnershipView } from "../ownership/ownership_messages.ts";
import type { Claim, ClaimAppendResult } from "../ownership/ownership_ports.ts";
import { OwnershipTask } from "../ownership/ownership_task.ts";
import { ElapsedClock } from "../tasks/mod.ts";

/** How often each host reads the claims, and the step by which the clock advances, in milliseconds. */
const READ_INTERVAL_MILLISECONDS = 50;
const PING_INTERVAL_MILLISECONDS = 400;
/** How long an owner takes to end its journal, in milliseconds. */
const JOURNAL_END_MILLISECONDS = 20;

/** A host of an `OwnershipFleet`. */
export interface FleetHostOptions extends HostResources {
  name: string;
  /** When its process starts, in milliseconds. */
  startsAt: number;
  /** Whether it runs an earlier version, whose pings say nothing about the host. */
  isOfEarlierVersion?: boolean;
}

interface FleetHost extends FleetHostOptions {
  holder: string;
  task: OwnershipTask | undefined;
  view: OwnershipView | undefined;
  /** Since when it has had a link to the current owner. */
  link: { owner: string; openedAt: number } | undefined;
}

/** What a store does with the appends of claims. */
export const AppendFault = {
  None: "none",
  /** The append is not stored. */
  Refused: "refused",
  /** The append is stored, and its answer is lost. */
  AnswerLost: "answer-lost",
} as const;
export type AppendFault = typeof AppendFault[keyof typeof AppendFault];

/** Owns the hosts, the claims and the clock. */
export class OwnershipFleet {
  /** The claims, in order. */
  readonly claims: Claim[] = [];
  /** What the hosts have logged. */
  readonly events: { at: number; host: string; event: string; fields: EventFields }[] = [];
  /** The owners that have gone on deciding since their release was not stored, in order. */
  readonly resumed: string[] = [];
  /** Gets what happens to an append; nothing by default. */
  getFault: (host: string, claim: Claim) => AppendFault = () => AppendFault.None;
  /** The hosts that can't read the claims; their links to the owner are open. */
  readonly cutOff = new Set<string>();
  /** Whether the journals of owners never end. */
  areJournalsStuck = false;
  readonly #clock = FakeTimers.install();
  readonly #elapsed = ElapsedClock.create();
  readonly #hosts: FleetHost[];

  private constructor(hosts: readonly FleetHostOptions[]) {
    this.#hosts = hosts.map((host) => ({
      ...host,
      holder: `${host.name}-1`,
      task: undefined,
      view: undefined,
      link: undefined,
    }));
  }

  /** Creates hosts, and installs a clock that `stop` removes. */
  static create(hosts: readonly FleetHostOptions[]): OwnershipFleet {
    return new OwnershipFleet(hosts);
  }

  /** Lets time pass. */
  async advance(milliseconds: number): Promise<void> {
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
      const now = performance.now();
      for (const host of this.#hosts) this.#act(host, now);
      await this.#clock.tickAsync(READ_INTERVAL_MILLISECONDS);
    }
  }

  /** Ends a host's process. */
  kill(name: string): void {
    const host = this.#getHost(name);
    host.task?.stop();
    host.task = undefined;
    host.startsAt = Infinity;
  }

  /** Gets the hosts that hold the fleet by their own view; there must never be two. */
  getOwners(): string[] {
    return this.#hosts.filter(({ task, view }) => task !== undefined && view?.isMine)
      .map(({ name }) => name);
  }

  /** Gets the epochs and the hosts that have claimed them. */
  getEpochs(): [epoch: number, host: string][] {
    return [...new Map(this.claims.map(({ epoch, hostName }) => [epoch, hostName]))];
  }

  /** Gets when an event was first logged, in milliseconds, with its fields. */
  findEvent(event: string): { at: number; host: string; fields: EventFields } | undefined {
    return this.events.find((logged) => logged.event === event);
  }

  /** Ends all hosts and removes the clock. */
  stop(): void {
    for (const { task } of this.#hosts) task?.stop();
    this.#clock.uninstall();
  }

  #getHost(name: string): FleetHost {
    return this.#hosts.find((host) => host.name === name)!;
  }

  #act(host: FleetHost, now: number): void {
    if (now < host.startsAt) return;
    host.task ??= this.#start(host);
    const asOf = this.#elapsed.getElapsed();
    const update = { claim: this.claims.at(-1), end: this.claims.length, asOf };
    if (!this.cutOff.has(host.name)) host.task.post({ kind: "claim-update", update });
    this.#ping(host, now);
  }

  #ping(host: FleetHost, now: number): void {
    const claim = host.view?.claim;
    const owner = this.#hosts.find(({ holder }) => holder === claim?.holder);
    const isLinked = owner?.task !== undefined && !claim!.isReleased && owner !== host;
    if (!isLinked) return void (host.link = undefined);
    if (host.link?.owner !== owner.holder) host.link = { owner: owner.holder, openedAt: now };
    const { openedAt } = host.link;
    if (host.isOfEarlierVersion || (now - openedAt) % PING_INTERVAL_MILLISECONDS !== 0) return;
    const candidate = {
      holder: host.holder,
      shortage: getShortage(host),
      mayOwn: host.task!.mayOwn(),
      linkOpenedAt: openedAt,
      pingedAt: now,
    };
    owner.task!.post({ kind: "candidate", candidate });
  }

  #start(host: FleetHost): OwnershipTask {
    const { name, holder, cores, linkMegabits } = host;
    const task = OwnershipTask.create({
      holder,
      hostName: name,
      address: "10.0.0.1:7000",
      longestLeaseMilliseconds: 10_000,
      getDelay: (epoch) => getClaimDelay({ holder, epoch, cores, linkMegabits }),
      cores,
      shortage: getShortage(host),
      appendClaim: (claim, at) => Promise.resolve(this.#append(name, claim, at)),
      onOwnership: (view) => host.view = view,
      onHandOverDecided: ({ epoch }) => {
        setTimeout(() => {
          if (this.areJournalsStuck) task.post({ kind: "hand-over-abandoned", epoch });
          else task.post({ kind: "hand-over", epoch, leaseMilliseconds: 0 });
        }, JOURNAL_END_MILLISECONDS);
      },
      onReleaseFailed: () => this.resumed.push(name),
      clock: this.#elapsed,
      getMonotonicTime: () => performance.now(),
      log: (event, fields = {}) =>
        this.events.push({ at: performance.now(), host: name, event, fields }),
    });
    task.post({ kind: "enable" });
    return task;
  }

  #append(host: string, claim: Claim, at: number): ClaimAppendResult {
    const fault = this.getFault(host, claim);
    if (fault === AppendFault.Refused) return { outcome: "failed" };
    if (at !== this.claims.length) return { outcome: "lost" };
    this.claims.push(claim);
    if (fault === AppendFault.AnswerLost) return { outcome: "failed" };
    return { outcome: "done", end: this.claims.length };
  }
}
