/** The connections to all targets: one task per target, created on its first call. */

import type { TargetMessage } from "../requests/exchange.ts";
import type { Fleet } from "../records/fleet.ts";
import type { RecordEvent } from "../records/record_messages.ts";
import { Task } from "../tasks/mod.ts";
import { TargetTask } from "./target_task.ts";

/** The number of connections to a target that is not a host of the fleet. */
const UNKNOWN_TARGET_CONNECTIONS = 1;

/** The messages of a `TargetsTask`. */
export type TargetsMessage = TargetMessage | RecordEvent;

/**
 * Owns the tasks of the targets, and divides the connections that each target accepts among the
 * members.
 */
export class TargetsTask extends Task<TargetsMessage> {
  readonly #targets = new Map<string, TargetTask>();
  #connectionsByAddress = new Map<string, number>();

  private constructor() {
    super({ name: "targets" });
  }

  static create(): TargetsTask {
    return new TargetsTask();
  }

  protected override receive(message: TargetsMessage): void {
    switch (message.kind) {
      case "fleet-changed":
        return this.#reconcile(message.fleet);
      case "log-read":
        return;
      case "call":
        this.#getTarget(message.call.address).post(message);
        return;
      case "cancel":
        this.#targets.get(message.address)?.post(message);
        return;
    }
  }

  override getState(): unknown {
    return Object.fromEntries(
      [...this.#targets].map(([address, target]) => [address, target.getState()]),
    );
  }

  override stop(): void {
    super.stop();
    for (const target of this.#targets.values()) target.stop();
  }

  #getTarget(address: string): TargetTask {
    const known = this.#targets.get(address);
    if (known !== undefined) return known;
    const connections = this.#connectionsByAddress.get(address) ?? UNKNOWN_TARGET_CONNECTIONS;
    const target = TargetTask.create({ address, connections });
    this.#targets.set(address, target);
    return target;
  }

  #reconcile(fleet: Fleet): void {
    const members = fleet.getMembers().length;
    this.#connectionsByAddress = new Map();
    for (const host of fleet.getHosts()) {
      if (!host.isExecutor()) continue;
      const connections = divideConnections(host.getData().connections, members);
      this.#connectionsByAddress.set(host.getAddress(), connections);
      this.#targets.get(host.getAddress())?.post({ kind: "set-connections", connections });
    }
    for (const [address, target] of this.#targets) {
      if (this.#connectionsByAddress.has(address) || !target.isIdle()) continue;
      target.stop();
      this.#targets.delete(address);
    }
  }
}

/**
 * Gets the maximum connections of one member to a target. One share is left free for a member that
 * joins before the others have reduced theirs.
 */
export function divideConnections(connections: number, members: number): number {
  return Math.max(1, Math.floor(connections / (members + 1)));
}
