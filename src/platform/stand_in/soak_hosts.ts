/** Entry hosts of a soak, which are stopped, killed, paused, reloaded and started again. */

import { setTimeout as delay } from "node:timers/promises";
import { type HostLimits, HostProcess } from "./host_process.ts";
import type { CutRequest } from "./soak_callers.ts";

const GRACE_MILLISECONDS = 4_000;
const RESTART_DELAY_MILLISECONDS = 300;
const MAXIMUM_PAUSE_MILLISECONDS = 4_000;
/** The probability that a host that is being stopped is told so again. */
const REPEATED_STOP_PROBABILITY = 0.5;
/** How long after a disturbance a host counts as disturbed, in milliseconds. */
const CONTACT_MILLISECONDS = 3_000;

/** Options of `SoakHosts`. */
export interface SoakHostsOptions {
  /** The address of the store. */
  store: string;
  /** The resources that the hosts' settings state, given out in turn. */
  limits?: readonly HostLimits[] | undefined;
  /** The memory for an owner's jobs, given out in turn, in bytes; the default if unset. */
  ownerJobBytes?: readonly number[] | undefined;
}

/** Owns the processes of the hosts. */
export class SoakHosts {
  /** The hosts. */
  readonly hosts: readonly HostProcess[];
  /** The hosts that are being stopped, killed or started again. */
  readonly #restarting = new Set<HostProcess>();
  /** The hosts that have been told to stop and haven't ended. */
  readonly #stopping = new Set<HostProcess>();
  /** When the processes of each host were killed, paused or woken, on the monotonic clock. */
  readonly #disturbances: { host: string; at: number }[] = [];

  private constructor(hosts: readonly HostProcess[]) {
    this.hosts = hosts;
  }

  /** Starts hosts one after the other, until all are ready. */
  static async create(count: number, options: SoakHostsOptions): Promise<SoakHosts> {
    const { store, limits = [], ownerJobBytes = [] } = options;
    const hosts: HostProcess[] = [];
    for (let number = 0; number < count; number += 1) {
      hosts.push(
        await HostProcess.create({
          name: `front-${number}`,
          store,
          graceMilliseconds: GRACE_MILLISECONDS,
          limits: limits[number % limits.length],
          ...(ownerJobBytes.length === 0 ? {} : {
            callerLimits: { ownerJobBytes: ownerJobBytes[number % ownerJobBytes.length]! },
          }),
        }),
      );
    }
    return new SoakHosts(hosts);
  }

  /** Chooses a host. */
  choose(random: () => number): HostProcess {
    return this.hosts[Math.floor(random() * this.hosts.length)]!;
  }

  /** Gets the addresses from which the hosts connect, in their order. */
  getSourceAddresses(): string[] {
    return this.hosts.map(({ sourceAddress }) => sourceAddress);
  }

  /** Stops hosts as the platform does for planned work, some with a second signal. */
  async stop(hosts: readonly HostProcess[], random: () => number): Promise<void> {
    const signalDelays = hosts.map(() => random() * RESTART_DELAY_MILLISECONDS);
    const areRepeated = hosts.map(() => random() < REPEATED_STOP_PROBABILITY);
    await Promise.all(hosts.map(async (host, index) => {
      if (this.#restarting.has(host)) return;
      this.#restarting.add(host);
      this.#stopping.add(host);
      host.signal("SIGTERM");
      await delay(signalDelays[index]);
      if (areRepeated[index]) host.signal("SIGTERM");
      const killing = setTimeout(
        () => this.#disturb(host, "SIGKILL"),
        GRACE_MILLISECONDS + MAXIMUM_PAUSE_MILLISECONDS,
      );
      await host.waitForExit();
      clearTimeout(killing);
      await this.#startAgain(host);
    }));
  }

  /** Kills a host's process. */
  async kill(host: HostProcess): Promise<void> {
    if (this.#restarting.has(host)) return;
    this.#restarting.add(host);
    this.#disturb(host, "SIGKILL");
    await this.#startAgain(host);
  }

  /** Kills the processes of all hosts at once, also of those that are being stopped. */
  async killAll(): Promise<void> {
    for (const host of this.#stopping) this.#disturb(host, "SIGKILL");
    await Promise.all(this.hosts.map((host) => this.kill(host)));
  }

  /** Pauses a host's process for a while. */
  async pause(host: HostProcess, random: () => number): Promise<void> {
    if (this.#restarting.has(host)) return;
    this.#disturb(host, "SIGSTOP");
    await delay(random() * MAXIMUM_PAUSE_MILLISECONDS);
    this.#disturb(host, "SIGCONT");
  }

  /** Has a host read its settings again. */
  reload(host: HostProcess): Promise<void> {
    if (!this.#restarting.has(host)) host.signal("SIGHUP");
    return Promise.resolve();
  }

  /** Gets whether no process of a request's host was killed or paused around it. */
  isPlanned({ host, at, took }: CutRequest): boolean {
    const since = at - took - CONTACT_MILLISECONDS;
    return !this.#disturbances.some((other) =>
      other.host === host && other.at >= since && other.at <= at
    );
  }

  /** Gets the hosts other than a request's that were killed or paused around it. */
  getOtherDisturbed({ host, at, took }: CutRequest): string[] {
    const since = at - took - CONTACT_MILLISECONDS;
    const others = this.#disturbances.filter((other) =>
      other.host !== host && other.at >= since && other.at <= at
    );
    return [...new Set(others.map((other) => other.host))];
  }

  /** Gets what the hosts have logged, in the order of the hosts. */
  getLines(): string[] {
    return this.hosts.flatMap(({ name, lines }) => lines.map((line) => `${name} ${line}`));
  }

  /** Gets how often the hosts have logged an event. */
  countEvents(event: string): number {
    return this.getLines().filter((line) => line.includes(event)).length;
  }

  /** Ends all processes. */
  async close(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.stop()));
  }

  async #startAgain(host: HostProcess): Promise<void> {
    await host.waitForExit();
    this.#stopping.delete(host);
    await delay(RESTART_DELAY_MILLISECONDS);
    await host.restart();
    this.#restarting.delete(host);
  }

  #disturb(host: HostProcess, signal: NodeJS.Signals): void {
    this.#disturbances.push({ host: host.name, at: performance.now() });
    host.signal(signal);
  }
}
