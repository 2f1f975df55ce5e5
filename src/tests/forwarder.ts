/** A TCP proxy between two processes, which can interrupt their connections. */

import { connect, createServer, type Server, type Socket } from "node:net";
import { PeerFrameDecoder } from "../links/peer_frame.ts";
import { parseSocketAddress } from "../links/socket_address.ts";

/** Gets whether the connections from a sender are cut. */
export type IsCut = (sender: string) => boolean;

/** Options of a `Forwarder`. */
export interface ForwarderOptions {
  /** Whether each connection begins with a `hello` frame that identifies its sender. */
  isPeerLink: boolean;
}

interface ForwardedConnection {
  sender: string;
  sockets: Socket[];
}

/** Forwards connections to one address, unless the sender is cut. */
export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #server: Server;
  readonly #connections = new Set<ForwardedConnection>();
  readonly #cutSenders = new Set<string>();
  #target = "";

  private constructor(options: ForwarderOptions) {
    this.#options = options;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Creates a forwarder, which does not listen yet. */
  static create(options: ForwarderOptions): Forwarder {
    return new Forwarder(options);
  }

  /** Starts to listen on a free port, and gets the address. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => {
        resolve(`127.0.0.1:${(this.#server.address() as { port: number }).port}`);
      });
    });
  }

  /** Sets the address to which connections are forwarded. */
  setTarget(address: string): void {
    this.#target = address;
  }

  /** Closes and rejects the connections of a sender, or of all with `*`; bytes in flight are lost. */
  cut(sender: string): void {
    this.#cutSenders.add(sender);
    for (const connection of this.#connections) {
      if (this.#isCut(connection.sender)) connection.sockets.forEach((socket) => socket.destroy());
    }
  }

  /** Allows connections of a sender again, or of all with `*`. */
  restore(sender: string): void {
    if (sender === "*") this.#cutSenders.clear();
    else this.#cutSenders.delete(sender);
  }

  /** Closes all sockets. */
  close(): void {
    this.#server.close();
    for (const { sockets } of this.#connections) sockets.forEach((socket) => socket.destroy());
  }

  #isCut(sender: string): boolean {
    return this.#cutSenders.has("*") || this.#cutSenders.has(sender);
  }

  #accept(socket: Socket): void {
    socket.on("error", () => socket.destroy());
    if (!this.#options.isPeerLink) return this.#forward(socket, "*", Buffer.alloc(0));
    const reader = PeerFrameDecoder.create({ peer: "rig" });
    const head: Buffer[] = [];
    const readHello = (bytes: Buffer) => {
      head.push(bytes);
      const hello = reader.decode(bytes)[0];
      if (hello?.kind !== "hello") return;
      socket.off("data", readHello);
      this.#forward(socket, getEntryName(hello.memberId), Buffer.concat(head));
    };
    socket.on("data", readHello);
  }

  #forward(socket: Socket, sender: string, head: Buffer): void {
    const target = parseSocketAddress(this.#target);
    if (target === undefined || this.#isCut(sender)) {
      socket.destroy();
      return;
    }
    const outgoing = connect(target);
    const connection = { sender, sockets: [socket, outgoing] };
    this.#connections.add(connection);
    outgoing.write(head);
    socket.pipe(outgoing);
    outgoing.pipe(socket);
    for (const each of connection.sockets) {
      each.on("error", () => each.destroy());
      each.on("close", () => {
        connection.sockets.forEach((other) => other.destroy());
        this.#connections.delete(connection);
      });
    }
  }
}

/** Gets the name of an entry host from the member id of its process. */
export function getEntryName(memberId: string): string {
  return memberId.replace(/-[0-9a-f]{8}$/, "");
}
