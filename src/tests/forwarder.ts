/** The rig's own sockets between two processes, where links are cut. */

import { connect, createServer, type Server, type Socket } from "node:net";
import { PeerFrameDecoder } from "../links/peer_frame.ts";
import { parseSocketAddress } from "../links/socket_address.ts";

/** Gets whether the link from a sender is cut. */
export type IsCut = (sender: string) => boolean;

/** Options of a `Forwarder`. */
export interface ForwarderOptions {
  /** Whether each connection begins with a hello that names its sender. */
  isPeerLink: boolean;
}

interface Forwarded {
  sender: string;
  sockets: Socket[];
}

/** Passes bytes on to one address, unless the sender's link is cut. */
export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #server: Server;
  readonly #forwarded = new Set<Forwarded>();
  readonly #cut = new Set<string>();
  #target = "";

  private constructor(options: ForwarderOptions) {
    this.#options = options;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Creates a forwarder; `listen` opens its socket. */
  static create(options: ForwarderOptions): Forwarder {
    return new Forwarder(options);
  }

  /** Listens, and gets the address. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => {
        resolve(`127.0.0.1:${(this.#server.address() as { port: number }).port}`);
      });
    });
  }

  /** Sets the address that bytes are passed on to. */
  setTarget(address: string): void {
    this.#target = address;
  }

  /** Cuts the link from a sender, or from all with `*`: bytes in flight are lost. */
  cut(sender: string): void {
    this.#cut.add(sender);
    for (const forwarded of this.#forwarded) {
      if (this.#isCut(forwarded.sender)) forwarded.sockets.forEach((socket) => socket.destroy());
    }
  }

  /** Mends the link from a sender, or every link. */
  restore(sender: string): void {
    if (sender === "*") this.#cut.clear();
    else this.#cut.delete(sender);
  }

  /** Closes all sockets. */
  close(): void {
    this.#server.close();
    for (const { sockets } of this.#forwarded) sockets.forEach((socket) => socket.destroy());
  }

  #isCut(sender: string): boolean {
    return this.#cut.has("*") || this.#cut.has(sender);
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
    const onward = connect(target);
    const forwarded = { sender, sockets: [socket, onward] };
    this.#forwarded.add(forwarded);
    onward.write(head);
    socket.pipe(onward);
    onward.pipe(socket);
    for (const each of forwarded.sockets) {
      each.on("error", () => each.destroy());
      each.on("close", () => {
        forwarded.sockets.forEach((other) => other.destroy());
        this.#forwarded.delete(forwarded);
      });
    }
  }
}

/** Gets the name of the entry host from the identity of its process. */
export function getEntryName(memberId: string): string {
  return memberId.replace(/-[0-9a-f]{8}$/, "");
}
