/** The listener for peers: each accepted link delivers the messages of one peer. */

import { createServer, type Server, type Socket } from "node:net";
import { getErrorMessage } from "../errors/mod.ts";
import type { EventLog } from "../events/mod.ts";
import { Task } from "../tasks/mod.ts";
import { PeerFrameDecoder } from "./peer_frame.ts";
import type { PeerMessage } from "./peer_message.ts";
import { listen } from "./listen.ts";
import type { SocketAddress } from "./socket_address.ts";

/** The most links that are accepted at once. */
const MOST_LINKS = 1_024;

/** Takes a message from a peer. */
export type DeliverPeerMessage = (from: string, message: PeerMessage) => void;

/** Options of a `PeerListenerTask`. */
export interface PeerListenerTaskOptions {
  /** The identity of this process: links for an earlier one at the same address are closed. */
  memberId: string;
  /** The address to listen on. */
  address: SocketAddress;
  /** Takes each message with the identity of its sender. */
  deliver: DeliverPeerMessage;
  /** The log of events. */
  log: EventLog;
}

/** The messages that a `PeerListenerTask` takes. */
export type PeerListenerMessage =
  | { kind: "accepted"; socket: Socket }
  | { kind: "received"; socket: Socket; bytes: Buffer }
  | { kind: "closed"; socket: Socket };

interface AcceptedLink {
  reader: PeerFrameDecoder;
  memberId: string | undefined;
}

/** Owns the listening socket for peers and the sockets accepted on it. */
export class PeerListenerTask extends Task<PeerListenerMessage> {
  readonly #options: PeerListenerTaskOptions;
  readonly #server: Server;
  readonly #links = new Map<Socket, AcceptedLink>();
  #received = 0;
  #receivedBytes = 0;
  #malformed = 0;

  private constructor(options: PeerListenerTaskOptions) {
    super({ name: "peer-listener" });
    this.#options = options;
    this.#server = createServer({ noDelay: true }, (socket) => this.#accept(socket));
    this.#server.maxConnections = MOST_LINKS;
  }

  /** Creates the task; `listen` opens the socket. */
  static create(options: PeerListenerTaskOptions): PeerListenerTask {
    return new PeerListenerTask(options);
  }

  /** Listens, and gets the address with the port that was chosen. */
  listen(): Promise<string> {
    return listen(this.#server, this.#options.address);
  }

  protected override receive(message: PeerListenerMessage): void {
    switch (message.kind) {
      case "accepted":
        return this.#addLink(message.socket);
      case "received":
        return this.#read(message.socket, message.bytes);
      case "closed":
        this.#links.delete(message.socket);
        return;
    }
  }

  override getState(): unknown {
    return {
      links: [...this.#links.values()].map((link) => link.memberId ?? "unknown"),
      received: this.#received,
      receivedBytes: this.#receivedBytes,
      malformed: this.#malformed,
    };
  }

  override stop(): void {
    super.stop();
    this.#server.close();
    for (const socket of this.#links.keys()) socket.destroy();
    this.#links.clear();
  }

  #accept(socket: Socket): void {
    if (!this.post({ kind: "accepted", socket })) {
      socket.destroy();
      return;
    }
    socket.on("data", (bytes: Buffer) => {
      if (!this.post({ kind: "received", socket, bytes })) socket.destroy();
    });
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.post({ kind: "closed", socket }));
  }

  #addLink(socket: Socket): void {
    const peer = `${socket.remoteAddress}:${socket.remotePort}`;
    this.#links.set(socket, { reader: PeerFrameDecoder.create({ peer }), memberId: undefined });
  }

  #read(socket: Socket, bytes: Buffer): void {
    const link = this.#links.get(socket);
    if (link === undefined) return;
    this.#receivedBytes += bytes.length;
    try {
      for (const message of link.reader.decode(bytes)) this.#deliver(socket, link, message);
    } catch (error) {
      this.#malformed += 1;
      const peer = link.memberId ?? socket.remoteAddress ?? "unknown";
      this.#options.log("peer-link-closed", { peer, reason: getErrorMessage(error) });
      socket.destroy();
    }
  }

  #deliver(socket: Socket, link: AcceptedLink, message: PeerMessage): void {
    this.#received += 1;
    if (message.kind === "hello") {
      if (message.to === this.#options.memberId) link.memberId = message.memberId;
      else socket.destroy();
      return;
    }
    if (link.memberId !== undefined) this.#options.deliver(link.memberId, message);
  }
}
