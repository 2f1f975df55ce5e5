/** Clients that send more than a caller may and read no answer, for tests of a host's limits. */

import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

/** The delay before a client whose connection was closed connects again, in milliseconds. */
const RECONNECTION_DELAY_MILLISECONDS = 250;

/** Which bytes of which client's connection are sent next. */
export interface SentPart {
  /** The number of the client, from 0. */
  sender: number;
  /** The number of its connection, from 0. */
  connection: number;
  /** The number of the part on that connection, from 0. */
  part: number;
}

/** Options of a `ClientCrowd`. */
export interface ClientCrowdOptions {
  /** The URL of the host's jobs API. */
  url: string;
  /** The number of clients that send. */
  senders: number;
  /** The number of clients that connect and send nothing. */
  silent: number;
  /** Creates the next bytes of a sender's connection; undefined once it only stays open. */
  createPart: (part: SentPart) => Buffer | undefined;
  /** The maximum number of bytes that a sender sends, over all of its connections. */
  maximumBytes: number;
  /** How long the clients send, in milliseconds. */
  milliseconds: number;
}

/** Owns the connections of the clients. No client reads an answer. */
export class ClientCrowd {
  readonly #options: ClientCrowdOptions;
  readonly #sockets = new Set<Socket>();
  readonly #until: number;

  private constructor(options: ClientCrowdOptions) {
    this.#options = options;
    this.#until = performance.now() + options.milliseconds;
  }

  /** Creates a crowd that connects when it runs. */
  static create(options: ClientCrowdOptions): ClientCrowd {
    return new ClientCrowd(options);
  }

  /** Lets all clients connect and send, and resolves when their time is over. */
  async run(): Promise<void> {
    const { senders, silent } = this.#options;
    for (let count = 0; count < silent; count += 1) this.#connect();
    await Promise.all(Array.from({ length: senders }, (_, sender) => this.#runSender(sender)));
  }

  /** Closes all connections. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Sends on one connection, and on a next one if it is closed. */
  async #runSender(sender: number): Promise<void> {
    const { createPart, maximumBytes } = this.#options;
    let sentBytes = 0;
    const isOver = () => performance.now() >= this.#until || sentBytes >= maximumBytes;
    for (let connection = 0; !isOver(); connection += 1) {
      const socket = this.#connect();
      for (let part = 0; !socket.destroyed && !isOver(); part += 1) {
        const bytes = createPart({ sender, connection, part });
        if (bytes === undefined) break;
        sentBytes += bytes.length;
        if (!socket.write(bytes)) await this.#waitForDrain(socket);
      }
      await this.#waitForClose(socket);
      await delay(RECONNECTION_DELAY_MILLISECONDS);
    }
    await delay(Math.max(0, this.#until - performance.now()));
  }

  #connect(): Socket {
    const { hostname, port } = new URL(this.#options.url);
    // Without a listener for data, the socket stops reading when its buffers are full.
    const socket = connect({ host: hostname, port: Number(port), allowHalfOpen: true });
    this.#sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.once("close", () => this.#sockets.delete(socket));
    return socket;
  }

  /** Waits until more can be written, the connection is closed, or the time is over. */
  async #waitForDrain(socket: Socket): Promise<void> {
    const ended = this.#createTimeout();
    await Promise.race([
      new Promise((resolve) => {
        socket.once("drain", resolve);
        socket.once("close", resolve);
      }),
      ended.promise,
    ]);
    ended.cancel();
  }

  /** Waits until a connection is closed, or the time is over. */
  async #waitForClose(socket: Socket): Promise<void> {
    if (socket.destroyed) return;
    const ended = this.#createTimeout();
    await Promise.race([
      new Promise((resolve) => socket.once("close", resolve)),
      ended.promise,
    ]);
    ended.cancel();
  }

  #createTimeout(): { promise: Promise<void>; cancel: () => void } {
    const controller = new AbortController();
    const milliseconds = Math.max(0, this.#until - performance.now());
    const promise = delay(milliseconds, undefined, { signal: controller.signal }).catch(() => {});
    return { promise, cancel: () => controller.abort() };
  }
}
