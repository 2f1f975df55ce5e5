/** The link from this host to the owner: sends calls and receives their answers. */

import { connect, type Socket } from "node:net";
import { getErrorMessage } from "../errors/mod.ts";
import type { EventLog } from "../events/mod.ts";
import { FrameDecoder } from "../links/frame.ts";
import type { SocketAddress } from "../links/socket_address.ts";
import { formatSocketAddress } from "../links/socket_address.ts";
import type { Candidacy } from "../ownership/hand_over_decision.ts";
import { Task } from "../tasks/mod.ts";
import { type Answer, AnswerOutcome } from "./call.ts";
import { decodeOwnerResponse, encodeOwnerMessage, type ForwardedCall } from "./call_frame.ts";

/** The interval between pings to the owner, in milliseconds. */
const PING_INTERVAL_MILLISECONDS = 400;
/**
 * How long the owner may send nothing before the connection is replaced, in milliseconds: three
 * pings.
 */
const OWNER_TIMEOUT_MILLISECONDS = 1_200;
/**
 * The interval at which the connection is checked, and the delay before a reconnection, in
 * milliseconds.
 */
const TICK_INTERVAL_MILLISECONDS = 100;

/** The messages of an `OwnerLinkTask`. */
export type OwnerLinkMessage =
  | { kind: "call"; number: number; call: ForwardedCall }
  | { kind: "connected"; socket: Socket }
  | { kind: "received"; socket: Socket; bytes: Buffer }
  | { kind: "closed"; socket: Socket; code: string | undefined }
  | { kind: "tick" };

/** Options of an `OwnerLinkTask`. */
export interface OwnerLinkTaskOptions {
  /** The owner's address. */
  address: SocketAddress;
  /** Called with the answer to a call. */
  onAnswer: (number: number, answer: Answer) => void;
  /** Called when a connection is established; calls sent over an earlier one may have been lost. */
  onConnected: () => void;
  /** The maximum number of bytes that may wait to be sent; no limit if unset. */
  maximumBytes?: number | undefined;
  /** The holder identity of the owner's process (see `Claim.holder`). */
  process: string;
  /** Called when the owner's process has ended: its address refuses connections or another answers. */
  onHolderEnded: () => void;
  /** Gets what this host's pings say, for the owner's choice of a successor. */
  getCandidacy: () => Candidacy;
  /** The event log. */
  log: EventLog;
}

/** Owns the connection to the owner, and reconnects when it is lost. */
export class OwnerLinkTask extends Task<OwnerLinkMessage> {
  readonly #options: OwnerLinkTaskOptions;
  readonly #peer: string;
  readonly #timer: NodeJS.Timeout;
  #socket: Socket | undefined;
  #isConnected = false;
  #frameDecoder: FrameDecoder;
  #lastReceivedAt = performance.now();
  #lastPingAt = 0;
  #connectAt = 0;

  private constructor(options: OwnerLinkTaskOptions) {
    super({ name: "owner-link" });
    this.#options = options;
    this.#peer = formatSocketAddress(options.address);
    this.#frameDecoder = FrameDecoder.create(this.#peer);
    this.#timer = setInterval(() => this.post({ kind: "tick" }), TICK_INTERVAL_MILLISECONDS);
  }

  /** Creates the task and connects. */
  static create(options: OwnerLinkTaskOptions): OwnerLinkTask {
    const task = new OwnerLinkTask(options);
    task.#connect();
    return task;
  }

  /** Gets whether the link is connected and takes more bytes, so that calls can be sent. */
  isOpen(): boolean {
    const { maximumBytes = Infinity } = this.#options;
    return this.#isConnected && (this.#socket?.writableLength ?? 0) < maximumBytes;
  }

  protected override receive(message: OwnerLinkMessage): void {
    switch (message.kind) {
      case "call":
        return this.#send(encodeOwnerMessage({ number: message.number, call: message.call }));
      case "connected":
        return this.#handleConnected(message.socket);
      case "received":
        return this.#handleBytes(message.socket, message.bytes);
      case "closed":
        return this.#handleClosed(message.socket, message.code);
      case "tick":
        return this.#tick();
    }
  }

  override getState(): unknown {
    return { peer: this.#peer, isConnected: this.#isConnected };
  }

  override stop(): void {
    super.stop();
    clearInterval(this.#timer);
    this.#socket?.destroy();
  }

  #connect(): void {
    const { host, port } = this.#options.address;
    const socket = connect({ host, port, noDelay: true });
    this.#socket = socket;
    this.#isConnected = false;
    this.#frameDecoder = FrameDecoder.create(this.#peer);
    this.#lastReceivedAt = performance.now();
    let code: string | undefined;
    socket.on("connect", () => this.post({ kind: "connected", socket }));
    socket.on("data", (bytes) => this.post({ kind: "received", socket, bytes }));
    socket.on("error", (error: NodeJS.ErrnoException) => code = error.code);
    socket.on("close", () => this.post({ kind: "closed", socket, code }));
  }

  #handleConnected(socket: Socket): void {
    if (socket !== this.#socket) return;
    this.#isConnected = true;
    this.#lastReceivedAt = performance.now();
    this.#options.log("owner-link-open", { peer: this.#peer });
    this.#ping();
    this.#options.onConnected();
  }

  #handleBytes(socket: Socket, bytes: Buffer): void {
    if (socket !== this.#socket) return;
    this.#lastReceivedAt = performance.now();
    try {
      for (const body of this.#frameDecoder.decode(bytes)) {
        const response = decodeOwnerResponse(body);
        if (response === undefined) {
          this.#options.log("owner-answer-unreadable", { step: "decode", peer: this.#peer });
        } else if ("answer" in response) {
          this.#handleAnswer(response.number, response.answer);
        } else if (response.process !== this.#options.process) {
          this.#options.log("owner-process-ended", { peer: this.#peer, process: response.process });
          this.#options.onHolderEnded();
        }
      }
    } catch (error) {
      const reason = getErrorMessage(error);
      this.#options.log("owner-link-broken", { step: "decode-frame", peer: this.#peer, reason });
      socket.destroy();
    }
  }

  #handleAnswer(number: number, answer: Answer | undefined): void {
    if (answer !== undefined) return this.#options.onAnswer(number, answer);
    this.#options.log("owner-answer-unreadable", { step: "decode", peer: this.#peer, number });
    const reason = "the owner's answer can't be read";
    this.#options.onAnswer(number, { outcome: AnswerOutcome.InDoubt, reason });
  }

  #handleClosed(socket: Socket, code: string | undefined): void {
    if (socket !== this.#socket) return;
    if (this.#isConnected) this.#options.log("owner-link-lost", { peer: this.#peer, reason: code });
    this.#socket = undefined;
    this.#isConnected = false;
    this.#connectAt = performance.now() + TICK_INTERVAL_MILLISECONDS;
    if (code === "ECONNREFUSED") this.#options.onHolderEnded();
  }

  #tick(): void {
    const now = performance.now();
    if (this.#socket === undefined) {
      if (now >= this.#connectAt) this.#connect();
      return;
    }
    if (now - this.#lastReceivedAt > OWNER_TIMEOUT_MILLISECONDS) {
      return void this.#socket.destroy();
    }
    if (!this.#isConnected || now - this.#lastPingAt < PING_INTERVAL_MILLISECONDS) return;
    this.#ping();
  }

  #ping(): void {
    this.#lastPingAt = performance.now();
    this.#send(encodeOwnerMessage({ number: 0, candidacy: this.#options.getCandidacy() }));
  }

  #send(frame: Buffer): void {
    if (this.#isConnected) this.#socket?.write(frame);
  }
}
