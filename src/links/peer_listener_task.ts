/** The listener for peers: each accepted connection delivers the messages of one peer. */

import { createServer, type Server, type Socket } from "node:net";
import { getErrorMessage } from "../errors/mod.ts";
import type { EventLog } from "../events/mod.ts";
import { Task } from "../tasks/mod.ts";
import { PeerFrameDecoder } from "./peer_frame.ts";
import type { PeerMessage } from "./peer_message.ts";
import { listen } from "./listen.ts";
import type { SocketAddress } from "./socket_address.ts";

/** The maximum number of accepted connections. */
const MAXIMUM_CONNECTIONS = 1_024;

/** Delivers a message from a peer. */
export type DeliverPeerMessage = (from: string, message: PeerMessage) => void;

/** Options of a `PeerListenerTask`. */
export interface PeerListenerTaskOptions {
  /**
   * The identity of this process; connections opened to its predecessor at the same address are
   * closed.
   */
  memberId: string;
  /** The address to listen on. */
  address: SocketAddress;
  /** Called with each message and the identity of its sender. */
  deliver: DeliverPeerMessage;
  log: EventLog;
}

/** The messages of a `PeerListenerTask`. */
export type PeerListenerMessage =
  | { kind: "accepted"; socket: Socket }
  | { kind: "received"; socket: Socket; bytes: Buffer }
  | { kind: "closed"; socket: Socket };

interface AcceptedConnection {
  decoder: PeerFrameDecoder;
  memberId: string | undefined;
}

/** Owns the listening socket for peers and its accepted sockets. */
export class PeerListenerTask extends Task<PeerListenerMessage> {
  readonly #options: PeerListenerTaskOptions;
  readonly #server: Server;
  readonly #connections = new Map<Socket, AcceptedConnection>();
  #received = 0;
  #receivedBytes = 0;
  #malformed = 0;

  private constructor(options: PeerListenerTaskOptions) {
    super({ name: "peer-listener" });
    this.#options = options;
    this.#server = createServer({ noDelay: true }, (socket) => this.#accept(socket));
    this.#server.maxConnections = MAXIMUM_CONNECTIONS;
  }

  /** Creates the task; `listen` opens the socket. */
  static create(options: PeerListenerTaskOptions): PeerListenerTask {
    return new PeerListenerTask(options);
  }

  /** Starts listening, and gets the bound address and port. */
  listen(): Promise<string> {
    return listen(this.#server, this.#options.address);
  }

  protected override receive(message: PeerListenerMessage): void {
    switch (message.kind) {
      case "accepted":
        return this.#addConnection(message.socket);
      case "received":
        return this.#read(message.socket, message.bytes);
      case "closed":
        this.#connections.delete(message.socket);
        return;
    }
  }

  override getState(): unknown {
    return {
      links: [...this.#connections.values()].map((connection) => connection.memberId ?? "unknown"),
      received: this.#received,
      receivedBytes: this.#receivedBytes,
      malformed: this.#malformed,
    };
  }

  override stop(): void {
    super.stop();
    this.#server.close();
    for (const socket of this.#connections.keys()) socket.destroy();
    this.#connections.clear();
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

  #addConnection(socket: Socket): void {
    const peer = `${socket.remoteAddress}:${socket.remotePort}`;
    this.#connections.set(socket, {
      decoder: PeerFrameDecoder.create({ peer }),
      memberId: undefined,
    });
  }

  #read(socket: Socket, bytes: Buffer): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    this.#receivedBytes += bytes.length;
    try {
      for (const message of connection.decoder.decode(bytes)) {
        this.#deliver(socket, connection, message);
      }
    } catch (error) {
      this.#malformed += 1;
      const peer = connection.memberId ?? socket.remoteAddress ?? "unknown";
      this.#options.log("peer-link-closed", { peer, reason: getErrorMessage(error) });
      socket.destroy();
    }
  }

  #deliver(socket: Socket, connection: AcceptedConnection, message: PeerMessage): void {
    this.#received += 1;
    if (message.kind === "hello") {
      if (message.to === this.#options.memberId) connection.memberId = message.memberId;
      else socket.destroy();
      return;
    }
    if (connection.memberId !== undefined) this.#options.deliver(connection.memberId, message);
  }
}
