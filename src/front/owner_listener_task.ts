/** Accepts links from other entry hosts and delivers their calls to the owner in this process. */

import { createServer, type Server, type Socket } from "node:net";
import { getErrorMessage } from "../errors/mod.ts";
import type { EventLog } from "../events/mod.ts";
import { FrameDecoder } from "../links/frame.ts";
import { listen } from "../links/listen.ts";
import type { SocketAddress } from "../links/socket_address.ts";
import type { Candidacy, Candidate } from "../ownership/hand_over_decision.ts";
import { type Reply, Task } from "../tasks/mod.ts";
import type { Answer } from "./call.ts";
import { decodeOwnerRequest, encodeOwnerMessage, type ForwardedCall } from "./call_frame.ts";

/** How long a link may be silent until it is closed, in milliseconds: 25 pings. */
const LINK_TIMEOUT_MILLISECONDS = 10_000;

/** The messages of an `OwnerListenerTask`. */
export type OwnerListenerMessage =
  | { kind: "opened"; socket: Socket }
  | { kind: "received"; socket: Socket; bytes: Buffer }
  | { kind: "closed"; socket: Socket };

/** Options of an `OwnerListenerTask`. */
export interface OwnerListenerTaskOptions {
  /** The address to listen on. */
  address: SocketAddress;
  /** The holder identity of this process (see `Claim.holder`), which is sent in response to pings. */
  process: string;
  /** Delivers a call to the owner in this process. */
  deliver: (call: ForwardedCall, reply: Reply<Answer>) => void;
  /** Called with each ping that says whether its sender may own the fleet. */
  onCandidate: (candidate: Candidate) => void;
  /** Called when the link of a candidate was closed. */
  onCandidateLost: (holder: string, linkOpenedAt: number) => void;
  /** The maximum number of links; no limit if unset. */
  maximumLinks?: number;
  /** The maximum number of bytes that may wait on a link, which is closed above; no limit if unset. */
  maximumLinkBytes?: number;
  /** Called when a limit closes a link. */
  onLimit?: (limit: string, address: string | undefined) => void;
  /** The event log. */
  log: EventLog;
}

interface Link {
  frameDecoder: FrameDecoder;
  /** When it was opened, on the monotonic clock, in milliseconds. */
  openedAt: number;
  /** The holder identity of the other host's process, if a ping named it. */
  candidate?: string;
}

/** Owns the listening socket and the accepted links. */
export class OwnerListenerTask extends Task<OwnerListenerMessage> {
  readonly #options: OwnerListenerTaskOptions;
  readonly #server: Server;
  readonly #links = new Map<Socket, Link>();

  private constructor(options: OwnerListenerTaskOptions) {
    super({ name: "owner-listener" });
    this.#options = options;
    this.#server = createServer({ noDelay: true }, (socket) => {
      socket.setTimeout(LINK_TIMEOUT_MILLISECONDS, () => {
        options.onLimit?.("link-idle-time", socket.remoteAddress);
        socket.destroy();
      });
      socket.on("data", (bytes) => this.post({ kind: "received", socket, bytes }));
      socket.on("error", (error) => {
        options.log("link-error", {
          step: "read",
          peer: socket.remoteAddress,
          reason: error.message,
        });
      });
      socket.on("close", () => this.post({ kind: "closed", socket }));
      this.post({ kind: "opened", socket });
    });
    if (options.maximumLinks !== undefined) this.#server.maxConnections = options.maximumLinks;
    this.#server.on("drop", (dropped) => options.onLimit?.("links", dropped?.remoteAddress));
  }

  /** Creates the task, which does not listen before `listen` is called. */
  static create(options: OwnerListenerTaskOptions): OwnerListenerTask {
    return new OwnerListenerTask(options);
  }

  /** Starts listening and resolves with the bound address. */
  listen(): Promise<string> {
    return listen(this.#server, this.#options.address);
  }

  /** Gets the number of links. */
  getLinkCount(): number {
    return this.#links.size;
  }

  protected override receive(message: OwnerListenerMessage): void {
    switch (message.kind) {
      case "opened":
        this.#links.set(message.socket, {
          frameDecoder: FrameDecoder.create(String(message.socket.remoteAddress)),
          openedAt: performance.now(),
        });
        return;
      case "received":
        return this.#handleBytes(message.socket, message.bytes);
      case "closed":
        return this.#handleClosed(message.socket);
    }
  }

  override getState(): unknown {
    return { links: this.#links.size };
  }

  override stop(): void {
    super.stop();
    this.#server.close();
    for (const socket of this.#links.keys()) socket.destroy();
  }

  #handleClosed(socket: Socket): void {
    const link = this.#links.get(socket);
    this.#links.delete(socket);
    if (link?.candidate === undefined) return;
    this.#options.onCandidateLost(link.candidate, link.openedAt);
  }

  #handleBytes(socket: Socket, bytes: Buffer): void {
    const link = this.#links.get(socket);
    if (link === undefined) return;
    try {
      for (const body of link.frameDecoder.decode(bytes)) this.#handleBody(socket, link, body);
    } catch (error) {
      const reason = getErrorMessage(error);
      this.#options.log("link-broken", {
        step: "decode-frame",
        peer: socket.remoteAddress,
        reason,
      });
      socket.destroy();
    }
  }

  #handleBody(socket: Socket, link: Link, body: Buffer): void {
    const request = decodeOwnerRequest(body);
    if (request === undefined) {
      this.#options.log("link-broken", { step: "decode", peer: socket.remoteAddress });
      socket.destroy();
      return;
    }
    const { number } = request;
    if (!("call" in request)) {
      this.#send(socket, encodeOwnerMessage({ number: 0, process: this.#options.process }));
      if (request.candidacy !== undefined) this.#handleCandidacy(link, request.candidacy);
      return;
    }
    this.#options.deliver(request.call, (answer) => {
      this.#send(socket, encodeOwnerMessage({ number, answer }));
    });
  }

  #handleCandidacy(link: Link, candidacy: Candidacy): void {
    link.candidate = candidacy.holder;
    const pingedAt = performance.now();
    this.#options.onCandidate({ ...candidacy, linkOpenedAt: link.openedAt, pingedAt });
  }

  /** Sends a message; a link whose host does not read is closed, and its calls end in doubt. */
  #send(socket: Socket, frame: Buffer): void {
    if (!socket.writable) return;
    const { maximumLinkBytes = Infinity, onLimit } = this.#options;
    if (socket.writableLength >= maximumLinkBytes) {
      onLimit?.("link-bytes", socket.remoteAddress);
      return void socket.destroy();
    }
    socket.write(frame);
  }
}
