/** The links to all targets: one task for each, made when it is first called. */

import type { TargetMessage } from "../requests/exchange.ts";
import type { Fleet } from "../records/fleet.ts";
import type { RecordEvent } from "../records/record_messages.ts";
import { Task } from "../tasks/mod.ts";
import { TargetTask } from "./target_task.ts";

/** The connections to a target that the fleet does not name. */
const CONNECTIONS_OF_UNKNOWN_TARGET = 1;

/** The messages that a `TargetsTask` takes. */
export type TargetsMessage = TargetMessage | RecordEvent;

/** Owns the tasks of the targets and divides each target's connections among the members. */
export class TargetsTask extends Task<TargetsMessage> {
  readonly #targets = new Map<string, TargetTask>();
  #connectionsByAddress = new Map<string, number>();

  private constructor() {
    super({ name: "targets" });
  }

  /** Creates the task. */
  static create(): TargetsTask {
    return new TargetsTask();
  }

  protected override receive(message: TargetsMessage): void {
    switch (message.kind) {
      case "fleet-changed":
        return this.#follow(message.fleet);
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
    const connections = this.#connectionsByAddress.get(address) ?? CONNECTIONS_OF_UNKNOWN_TARGET;
    const target = TargetTask.create({ address, connections });
    this.#targets.set(address, target);
    return target;
  }

  #follow(fleet: Fleet): void {
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

/** Gets the connections of one member: a share is left free for a member that joins meanwhile. */
export function divideConnections(connections: number, members: number): number {
  return Math.max(1, Math.floor(connections / (members + 1)));
}
