/** Carries out a schedule of faults on a rig, with callers at work, and reconciles the ledgers. */

import { randomUUID } from "node:crypto";
import type { Callers } from "./callers.ts";
import type { Restriction } from "./reconcile.ts";
import type { Rig } from "./rig.ts";
import { Fault, type ScheduledFault } from "./fault_schedule.ts";

/** The faults of an executor that are drawn. */
const EXECUTOR_FAULTS = ["close-before", "close-after", "truncate", "cross", "fail"];

/** Options of a `ScheduleRun`. */
export interface FaultInjectorOptions {
  /** The rig. */
  rig: Rig;
  /** The callers. */
  callers: Callers;
  /** Writes what is done. */
  writeLine: (line: string) => void;
}

/** Carries out faults, and keeps what operators forbade. */
export class FaultInjector {
  readonly restrictions: Restriction[] = [];
  readonly #options: FaultInjectorOptions;
  readonly #busy = new Set<string>();
  #keys = 0;

  private constructor(options: FaultInjectorOptions) {
    this.#options = options;
  }

  /** Creates a run. */
  static create(options: FaultInjectorOptions): FaultInjector {
    return new FaultInjector(options);
  }

  /** Carries out every fault at its time, and waits until the last has ended. */
  async run(schedule: readonly ScheduledFault[]): Promise<void> {
    const start = performance.now();
    const underWay: Promise<void>[] = [];
    for (const fault of schedule) {
      await wait(Math.max(0, start + fault.atMilliseconds - performance.now()));
      underWay.push(this.#carryOut(fault));
    }
    await Promise.all(underWay);
  }

  async #carryOut(scheduled: ScheduledFault): Promise<void> {
    const { fault, choice, lastsMilliseconds } = scheduled;
    const subject = this.#chooseSubject(fault, choice);
    const key = `${
      fault === Fault.KillEntry || fault === Fault.FreezeEntry ? "entry" : fault
    } ${subject}`;
    if (this.#busy.has(key)) return;
    this.#busy.add(key);
    const { writeLine } = this.#options;
    writeLine(`${scheduled.atMilliseconds} ms: ${fault} ${subject} for ${lastsMilliseconds} ms`);
    await this.#show(fault, subject, choice, lastsMilliseconds).catch((error) => {
      writeLine(`${fault} ${subject}: ${error}`);
    });
    this.#busy.delete(key);
  }

  #chooseSubject(fault: Fault, choice: number): string {
    const { rig, callers } = this.#options;
    if (fault === Fault.ExecutorFault) return pick([...rig.executors.keys()], choice);
    if (fault === Fault.ZoneOut) return pick(rig.options.zones, choice);
    if (fault === Fault.WithdrawKey) return pick([...callers.keys.keys()], choice);
    return pick([...rig.entries.keys()], choice);
  }

  async #show(fault: Fault, subject: string, choice: number, lasts: number): Promise<void> {
    const { rig } = this.#options;
    switch (fault) {
      case Fault.KillEntry:
        await rig.getEntry(subject).daemon.kill();
        await wait(lasts);
        return await rig.startEntry(subject);
      case Fault.FreezeEntry:
        rig.getEntry(subject).daemon.suspend();
        await wait(lasts);
        return rig.getEntry(subject).daemon.resume();
      case Fault.CutPeerLink: {
        const sender = pick([...rig.entries.keys()], Math.floor(choice / 7));
        rig.getEntry(subject).peerLink.cut(sender);
        await wait(lasts);
        return rig.getEntry(subject).peerLink.restore(sender);
      }
      case Fault.CutOffEntry:
        return await this.#cutOff(subject, lasts);
      case Fault.CutPlatformLink:
        rig.getEntry(subject).platformLink.cut("*");
        await wait(lasts);
        return rig.getEntry(subject).platformLink.restore("*");
      case Fault.PlatformDown:
        return await this.#orderPlatform({ isDown: true }, { isDown: false }, lasts);
      case Fault.PlatformSlow:
        return await this.#orderPlatform(
          { delayMilliseconds: 700 },
          { delayMilliseconds: 0 },
          lasts,
        );
      case Fault.LoseAnswers:
        return await rig.setPlatformFaults({ loseAppendAnswers: 1 + choice % 3 });
      case Fault.ExecutorFault:
        await rig.setExecutorFaults(subject, {
          fault: pick(EXECUTOR_FAULTS, Math.floor(choice / 7)),
        });
        await wait(lasts);
        return await rig.setExecutorFaults(subject, { fault: "none" });
      case Fault.WithdrawKey:
        return await this.#withdrawKey(subject, lasts);
      case Fault.ZoneOut:
        return await this.#takeZoneOut(subject, lasts);
    }
  }

  async #cutOff(subject: string, lasts: number): Promise<void> {
    const { rig } = this.#options;
    const others = [...rig.entries.values()].filter((entry) => entry.name !== subject);
    rig.getEntry(subject).platformLink.cut("*");
    rig.getEntry(subject).peerLink.cut("*");
    for (const other of others) other.peerLink.cut(subject);
    await wait(lasts);
    rig.getEntry(subject).platformLink.restore("*");
    rig.getEntry(subject).peerLink.restore("*");
    for (const other of others) other.peerLink.restore(subject);
  }

  async #orderPlatform(fault: object, end: object, lasts: number): Promise<void> {
    await this.#options.rig.setPlatformFaults({ ...fault });
    await wait(lasts);
    await this.#options.rig.setPlatformFaults({ ...end });
  }

  /** Withdraws the team's key, and grants a new one after a time. */
  async #withdrawKey(team: string, lasts: number): Promise<void> {
    const { rig, callers } = this.#options;
    const keyId = callers.keys.get(team)?.split(".")[0];
    const outcome = await rig.publish("key-withdrawn", { keyId });
    if (outcome !== "accepted") return;
    const restriction = { team, from: Date.now(), until: Number.POSITIVE_INFINITY };
    this.restrictions.push(restriction);
    await wait(lasts);
    restriction.until = Date.now();
    callers.keys.set(team, await rig.grantKey(team, `${team}-again-${this.#keys += 1}`));
  }

  /** Takes a zone out, and back after a time. */
  async #takeZoneOut(zone: string, lasts: number): Promise<void> {
    const { rig } = this.#options;
    const outcome = await rig.publish("zone-taken-out", { zone });
    if (outcome !== "accepted") return;
    const executors = rig.getExecutorsOfZone(zone);
    const restriction = { executors, from: Date.now(), until: Number.POSITIVE_INFINITY };
    this.restrictions.push(restriction);
    await wait(lasts);
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
