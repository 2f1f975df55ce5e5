/**
 * The connection to one peer. It is used for sending only; the peer sends its messages on the
 * connection that it opens itself.
 */

import { connect, type Socket } from "node:net";
import type { EventLog } from "../events/mod.ts";
import { Task } from "../tasks/mod.ts";
import { encodePeerFrame } from "./peer_frame.ts";
import type { PeerMessage } from "./peer_message.ts";
import { parseSocketAddress } from "./socket_address.ts";

/** The delay before the first attempt to reconnect; it doubles with each failure. */
const INITIAL_RECONNECT_DELAY_MILLISECONDS = 50;

/** The maximum delay between two attempts to reconnect. */
const MAXIMUM_RECONNECT_DELAY_MILLISECONDS = 1_000;

/** The bytes buffered in the socket above which messages are dropped. */
const MAXIMUM_BACKLOG_BYTES = 4 * 1024 * 1024;

/** Options of a `PeerTask`. */
export interface PeerTaskOptions {
  /** The identity of this process. */
  ownMemberId: string;
  /** The identity of the peer. */
  memberId: string;
  /** The IP address and port of the peer's listener. */
  address: string;
  log: EventLog;
}

/** The messages of a `PeerTask`. */
export type PeerTaskMessage =
  | { kind: "send"; message: PeerMessage }
  | { kind: "connect" }
  | { kind: "connected" }
  | { kind: "closed"; reason: string };

/** Owns the socket to one peer, and reconnects whenever it closes. */
export class PeerTask extends Task<PeerTaskMessage> {
  readonly #options: PeerTaskOptions;
  #socket: Socket | undefined;
  #isConnected = false;
  #reconnectDelayMilliseconds = INITIAL_RECONNECT_DELAY_MILLISECONDS;
  #reconnectTimer: NodeJS.Timeout | undefined;
  #sent = 0;
  #sentBytes = 0;
  #dropped = 0;

  private constructor(options: PeerTaskOptions) {
    super({ name: `peer ${options.memberId}` });
    this.#options = options;
  }

  /** Creates the task and connects to the peer. */
  static create(options: PeerTaskOptions): PeerTask {
    const task = new PeerTask(options);
    task.post({ kind: "connect" });
    return task;
  }

  protected override receive(message: PeerTaskMessage): void {
    switch (message.kind) {
      case "send":
        return this.#send(message.message);
      case "connect":
        return this.#connect();
      case "connected":
        return this.#handleConnected();
      case "closed":
        return this.#handleClosed(message.reason);
    }
  }

  override getState(): unknown {
    return {
      address: this.#options.address,
      isConnected: this.#isConnected,
      sent: this.#sent,
      sentBytes: this.#sentBytes,
      dropped: this.#dropped,
    };
  }

  override stop(): void {
    super.stop();
    clearTimeout(this.#reconnectTimer);
    this.#socket?.destroy();
  }

  #connect(): void {
    const address = parseSocketAddress(this.#options.address);
    if (address === undefined) return;
    const socket = connect({ ...address, noDelay: true });
    let reason = "closed by peer";
    socket.on("connect", () => this.post({ kind: "connected" }));
    socket.on("error", (error) => reason = error.message);
    socket.on("close", () => this.post({ kind: "closed", reason }));
    socket.resume();
    this.#socket = socket;
  }

  #handleConnected(): void {
    this.#isConnected = true;
    this.#reconnectDelayMilliseconds = INITIAL_RECONNECT_DELAY_MILLISECONDS;
    const { ownMemberId: memberId, memberId: to } = this.#options;
    this.#send({ kind: "hello", memberId, to });
    this.#options.log("peer-connected", { peer: this.#options.memberId });
  }

  #handleClosed(reason: string): void {
    if (this.#isConnected) {
      this.#options.log("peer-disconnected", { peer: this.#options.memberId, reason });
    }
    this.#isConnected = false;
    this.#socket = undefined;
    this.#reconnectTimer = setTimeout(
      () => this.post({ kind: "connect" }),
      this.#reconnectDelayMilliseconds,
    );
    this.#reconnectDelayMilliseconds = Math.min(
      this.#reconnectDelayMilliseconds * 2,
      MAXIMUM_RECONNECT_DELAY_MILLISECONDS,
    );
  }

  #send(message: PeerMessage): void {
    const socket = this.#socket;
    if (!this.#isConnected || !socket || socket.writableLength > MAXIMUM_BACKLOG_BYTES) {
      this.#dropped += 1;
      return;
    }
    const frame = encodePeerFrame(message);
    socket.write(frame);
    this.#sent += 1;
    this.#sentBytes += frame.length;
  }
}
