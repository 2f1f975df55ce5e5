/** Injects the faults of a schedule into a rig. */

import { randomUUID } from "node:crypto";
import type { Callers } from "./callers.ts";
import type { Restriction } from "./reconcile.ts";
import type { Rig } from "./rig.ts";
import { Fault, type ScheduledFault } from "./fault_schedule.ts";

/** The faults that can be injected into an executor. */
const EXECUTOR_FAULTS = ["close-before", "close-after", "truncate", "cross", "fail"];

/** Options of a `FaultInjector`. */
export interface FaultInjectorOptions {
  rig: Rig;
  callers: Callers;
  /** Writes a progress line. */
  writeLine: (line: string) => void;
}

/** Injects faults, and records the restrictions by operators. */
export class FaultInjector {
  readonly restrictions: Restriction[] = [];
  readonly #options: FaultInjectorOptions;
  readonly #active = new Set<string>();
  #grantedKeys = 0;

  private constructor(options: FaultInjectorOptions) {
    this.#options = options;
  }

  static create(options: FaultInjectorOptions): FaultInjector {
    return new FaultInjector(options);
  }

  /** Injects every fault at its time, and waits until the last one has ended. */
  async run(schedule: readonly ScheduledFault[]): Promise<void> {
    const start = performance.now();
    const pending: Promise<void>[] = [];
    for (const fault of schedule) {
      await wait(Math.max(0, start + fault.atMilliseconds - performance.now()));
      pending.push(this.#injectUnlessActive(fault));
    }
    await Promise.all(pending);
  }

  async #injectUnlessActive(scheduled: ScheduledFault): Promise<void> {
    const { fault, choice, lastsMilliseconds } = scheduled;
    const affected = this.#chooseAffected(fault, choice);
    const key = `${
      fault === Fault.KillEntry || fault === Fault.FreezeEntry ? "entry" : fault
    } ${affected}`;
    if (this.#active.has(key)) return;
    this.#active.add(key);
    const { writeLine } = this.#options;
    writeLine(`${scheduled.atMilliseconds} ms: ${fault} ${affected} for ${lastsMilliseconds} ms`);
    await this.#inject(fault, affected, choice, lastsMilliseconds).catch((error) => {
      writeLine(`${fault} ${affected}: ${error}`);
    });
    this.#active.delete(key);
  }

  #chooseAffected(fault: Fault, choice: number): string {
    const { rig, callers } = this.#options;
    if (fault === Fault.ExecutorFault) return pick([...rig.executors.keys()], choice);
    if (fault === Fault.ZoneOut) return pick(rig.options.zones, choice);
    if (fault === Fault.WithdrawKey) return pick([...callers.keys.keys()], choice);
    return pick([...rig.entries.keys()], choice);
  }

  async #inject(
    fault: Fault,
    affected: string,
    choice: number,
    durationMilliseconds: number,
  ): Promise<void> {
    const { rig } = this.#options;
    switch (fault) {
      case Fault.KillEntry:
        await rig.getEntry(affected).daemon.kill();
        await wait(durationMilliseconds);
        return await rig.startEntry(affected);
      case Fault.FreezeEntry:
        rig.getEntry(affected).daemon.suspend();
        await wait(durationMilliseconds);
        return rig.getEntry(affected).daemon.resume();
      case Fault.CutPeerLink: {
        const sender = pick([...rig.entries.keys()], Math.floor(choice / 7));
        rig.getEntry(affected).peerLink.cut(sender);
        await wait(durationMilliseconds);
        return rig.getEntry(affected).peerLink.restore(sender);
      }
      case Fault.CutOffEntry:
        return await this.#cutOff(affected, durationMilliseconds);
      case Fault.CutPlatformLink:
        rig.getEntry(affected).platformLink.cut("*");
        await wait(durationMilliseconds);
        return rig.getEntry(affected).platformLink.restore("*");
      case Fault.PlatformDown:
        return await this.#injectPlatformFault(
          { isDown: true },
          { isDown: false },
          durationMilliseconds,
        );
      case Fault.PlatformSlow:
        return await this.#injectPlatformFault(
          { delayMilliseconds: 700 },
          { delayMilliseconds: 0 },
          durationMilliseconds,
        );
      case Fault.LoseAnswers:
        return await rig.setPlatformFaults({ loseAppendAnswers: 1 + choice % 3 });
      case Fault.ExecutorFault:
        await rig.setExecutorFaults(affected, {
          fault: pick(EXECUTOR_FAULTS, Math.floor(choice / 7)),
        });
        await wait(durationMilliseconds);
        return await rig.setExecutorFaults(affected, { fault: "none" });
      case Fault.WithdrawKey:
        return await this.#withdrawKey(affected, durationMilliseconds);
      case Fault.ZoneOut:
        return await this.#takeZoneOut(affected, durationMilliseconds);
    }
  }

  async #cutOff(affected: string, durationMilliseconds: number): Promise<void> {
    const { rig } = this.#options;
    const others = [...rig.entries.values()].filter((entry) => entry.name !== affected);
    rig.getEntry(affected).platformLink.cut("*");
    rig.getEntry(affected).peerLink.cut("*");
    for (const other of others) other.peerLink.cut(affected);
    await wait(durationMilliseconds);
    rig.getEntry(affected).platformLink.restore("*");
    rig.getEntry(affected).peerLink.restore("*");
    for (const other of others) other.peerLink.restore(affected);
  }

  async #injectPlatformFault(
    fault: object,
    end: object,
    durationMilliseconds: number,
  ): Promise<void> {
    await this.#options.rig.setPlatformFaults({ ...fault });
    await wait(durationMilliseconds);
    await this.#options.rig.setPlatformFaults({ ...end });
  }

  /** Withdraws the team's key, and grants a new one after the duration of the fault. */
  async #withdrawKey(team: string, durationMilliseconds: number): Promise<void> {
    const { rig, callers } = this.#options;
    const keyId = callers.keys.get(team)?.split(".")[0];
    const outcome = await rig.publish("key-withdrawn", { keyId });
    if (outcome !== "accepted") return;
    const restriction = { team, from: Date.now(), until: Number.POSITIVE_INFINITY };
    this.restrictions.push(restriction);
    await wait(durationMilliseconds);
    restriction.until = Date.now();
    callers.keys.set(team, await rig.grantKey(team, `${team}-again-${this.#grantedKeys += 1}`));
  }

  /** Takes a zone out of service for the duration of the fault. */
  async #takeZoneOut(zone: string, durationMilliseconds: number): Promise<void> {
    const { rig } = this.#options;
    const outcome = await rig.publish("zone-taken-out", { zone });
    if (outcome !== "accepted") return;
    const executors = rig.getExecutorsOfZone(zone);
    const restriction = { executors, from: Date.now(), until: Number.POSITIVE_INFINITY };
    this.restrictions.push(restriction);
    await wait(durationMilliseconds);
    restriction.until = Date.now();
    const id = randomUUID();
    while (await rig.publish("zone-returned", { zone }, id) === undefined) await wait(500);
  }
}

function pick<Value>(values: readonly Value[], choice: number): Value {
  return values[choice % values.length] as Value;
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
