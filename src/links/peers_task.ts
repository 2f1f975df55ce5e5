/** Keeps one connection open to each other member of the roster. */

import type { EventLog } from "../events/mod.ts";
import type { Fleet } from "../records/fleet.ts";
import { Task } from "../tasks/mod.ts";
import type { PeerMessage } from "./peer_message.ts";
import { PeerTask } from "./peer_task.ts";

/**
 * How long the connection to a departed member stays open, so that it can complete its hand-over.
 */
const DEPARTED_CONNECTION_MILLISECONDS = 5_000;

/** Options of a `PeersTask`. */
export interface PeersTaskOptions {
  memberId: string;
  log: EventLog;
}

/** The messages of a `PeersTask`. */
export type PeersMessage =
  | { kind: "fleet-changed"; fleet: Fleet }
  | { kind: "broadcast"; message: PeerMessage }
  | { kind: "send"; to: string; message: PeerMessage }
  | { kind: "departed"; memberId: string };

/** Owns the connections to the peers. */
export class PeersTask extends Task<PeersMessage> {
  readonly #options: PeersTaskOptions;
  readonly #peers = new Map<string, PeerTask>();
  /** The timers that close the connections to departed members. */
  readonly #departed = new Map<string, NodeJS.Timeout>();

  private constructor(options: PeersTaskOptions) {
    super({ name: "peers" });
    this.#options = options;
  }

  /** Creates the task; connections open as members join the roster. */
  static create(options: PeersTaskOptions): PeersTask {
    return new PeersTask(options);
  }

  protected override receive(message: PeersMessage): void {
    switch (message.kind) {
      case "fleet-changed":
        return this.#reconcile(message.fleet);
      case "broadcast":
        for (const [memberId, peer] of this.#peers) {
          if (!this.#departed.has(memberId)) peer.post({ kind: "send", message: message.message });
        }
        return;
      case "send":
        this.#peers.get(message.to)?.post({ kind: "send", message: message.message });
        return;
      case "departed":
        return this.#removePeer(message.memberId);
    }
  }

  override getState(): unknown {
    return Object.fromEntries([...this.#peers].map(([id, peer]) => [id, peer.getState()]));
  }

  override stop(): void {
    super.stop();
    for (const peer of this.#peers.values()) peer.stop();
    for (const timer of this.#departed.values()) clearTimeout(timer);
  }

  #reconcile(fleet: Fleet): void {
    const { memberId: ownMemberId, log } = this.#options;
    for (const member of fleet.getMembers()) {
      const memberId = member.getId();
      if (memberId === ownMemberId || this.#peers.has(memberId)) continue;
      const address = member.getPeerAddress();
      this.#peers.set(memberId, PeerTask.create({ ownMemberId, memberId, address, log }));
    }
    for (const memberId of this.#peers.keys()) {
      const hasLeft = fleet.getMember(memberId) === undefined;
      if (hasLeft && !this.#departed.has(memberId)) this.#addDeparted(memberId);
    }
  }

  #addDeparted(memberId: string): void {
    const timer = setTimeout(
      () => this.post({ kind: "departed", memberId }),
      DEPARTED_CONNECTION_MILLISECONDS,
    );
    this.#departed.set(memberId, timer);
  }

  #removePeer(memberId: string): void {
    this.#peers.get(memberId)?.stop();
    this.#peers.delete(memberId);
    this.#departed.delete(memberId);
  }
}
