/** A connection of a caller, which is read in portions as far as its budget allows. */

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallerAccount } from "./caller_account.ts";
import { SocketStream } from "./socket_stream.ts";

/**
 * The bytes that are passed on at a time, so that a portion holds no more than 80 of the smallest
 * requests. The server reads a portion to its end, whatever it holds.
 */
const PORTION_BYTES = 2_048;
/** The maximum number of bytes of a body of known length that are passed on at a time. */
const BODY_PORTION_BYTES = 16_384;

/** The bytes that a paused socket may have received beside those that it has reported. */
const SOCKET_BUFFER_BYTES = 65_536;

/** What a `CallerConnection` reports to its owner. */
export interface CallerConnectionEvents {
  /** The connection has received bytes or its end. */
  onReadable: (connection: CallerConnection) => void;
  /** The reader, which had stopped reading, wants bytes that were received. */
  onWanted: (connection: CallerConnection) => void;
  /** The first bytes were received: an HTTP server is to read the stream from now on. */
  onFirstBytes: (stream: SocketStream, connection: CallerConnection) => void;
  /** The connection is closed. */
  onClosed: (connection: CallerConnection) => void;
}

/** Owns the socket of a caller and the bytes that were received on it and not passed on. */
export class CallerConnection {
  /** What it holds. */
  readonly account: CallerAccount;
  /** The responses to its open requests. */
  readonly responses = new Set<ServerResponse>();
  /** The received bytes that the budget counts. */
  countedBytes = 0;
  /** Whether `onReadable` was called and the connection was not read since. */
  isAnnounced = false;
  /** When it is closed at the latest, on the monotonic clock, in milliseconds; unset if it stays open. */
  closeAt: number | undefined;
  readonly #socket: Socket;
  readonly #events: CallerConnectionEvents;
  #stream: SocketStream | undefined;
  #received: Buffer | undefined;
  #isPaused = false;
  #hasEnded = false;
  #hasPassedOnEnd = false;
  #writtenBytes = 0;
  #writtenAt = 0;
  /** The bytes of the current body that its head declares and that were not passed on. */
  #remainingBodyBytes = 0;

  private constructor(socket: Socket, account: CallerAccount, events: CallerConnectionEvents) {
    this.#socket = socket;
    this.account = account;
    this.#events = events;
    socket.on("data", (bytes) => this.#receive(bytes));
    socket.on("end", () => {
      this.#hasEnded = true;
      if (this.#stream === undefined) socket.destroy();
      else this.#announce();
    });
    socket.on("timeout", () => this.#stream?.emit("timeout"));
    socket.on("error", () => this.close());
    socket.on("close", () => {
      this.#stream?.destroy();
      this.#received = undefined;
      this.#events.onClosed(this);
    });
  }

  /** Creates a connection, whose socket is paused; `start` reads it. */
  static create(
    socket: Socket,
    account: CallerAccount,
    events: CallerConnectionEvents,
  ): CallerConnection {
    return new CallerConnection(socket, account, events);
  }

  /** Receives bytes from now on. */
  start(): void {
    this.#socket.resume();
  }

  /** Gets whether bytes were received and not passed on. */
  hasReceived(): boolean {
    return this.#received !== undefined;
  }

  /** Gets the memory of the bytes that were received and not passed on, in bytes. */
  getReceivedBytes(): number {
    // The parts of a buffer that were passed on are kept with the rest.
    return this.#received === undefined
      ? 0
      : this.#received.buffer.byteLength + SOCKET_BUFFER_BYTES;
  }

  /** Gets whether bytes, or the end of the connection, can be passed on now. */
  isReady(): boolean {
    const hasMore = this.#received !== undefined || (this.#hasEnded && !this.#hasPassedOnEnd);
    return hasMore && this.#stream?.isReading() === true;
  }

  /** Sets how many bytes of a body follow, which may be passed on in larger portions. */
  setRemainingBodyBytes(bytes: number): void {
    this.#remainingBodyBytes = bytes;
  }

  /** Passes on the next portion, and gets the number of its bytes. */
  passOn(): number {
    const received = this.#received;
    const stream = this.#stream;
    if (stream === undefined) return 0;
    if (received === undefined) {
      if (!this.#hasEnded || this.#hasPassedOnEnd) return 0;
      this.#hasPassedOnEnd = true;
      stream.push(null);
      return 0;
    }
    const bodyBytes = Math.min(this.#remainingBodyBytes, BODY_PORTION_BYTES);
    const length = Math.min(received.length, Math.max(PORTION_BYTES, bodyBytes));
    this.#received = length === received.length ? undefined : received.subarray(length);
    this.#remainingBodyBytes = Math.max(0, this.#remainingBodyBytes - length);
    stream.push(received.subarray(0, length));
    if (this.#received === undefined && this.#isPaused) {
      this.#isPaused = false;
      this.#socket.resume();
    }
    return length;
  }

  /** Receives no further bytes, which wait in the kernel, until the received ones are passed on. */
  pauseIfUnread(): void {
    if (this.#received === undefined || this.#isPaused) return;
    this.#isPaused = true;
    this.#socket.pause();
  }

  /** Gets whether an answer waits for its client, which has read nothing for a time. */
  isUnread(now: number, milliseconds: number): boolean {
    const { bytesWritten } = this.#socket;
    const sentBytes = bytesWritten - this.#socket.writableLength;
    if (sentBytes !== this.#writtenBytes || this.#socket.writableLength === 0) {
      this.#writtenBytes = sentBytes;
      this.#writtenAt = now;
    }
    return now - this.#writtenAt > milliseconds;
  }

  /** Closes the connection once its last answer is sent; at once if earlier ones are unread. */
  closeSoon(): void {
    this.#received = undefined;
    if (this.#stream === undefined || this.#socket.writableLength > 0) this.#socket.destroy();
    else this.#stream.destroySoon();
  }

  /** Closes the connection. */
  close(): void {
    this.#received = undefined;
    this.#socket.destroy();
  }

  #receive(bytes: Buffer): void {
    const rest = this.#received;
    this.#received = rest === undefined ? bytes : Buffer.concat([rest, bytes]);
    if (this.#stream === undefined) {
      this.#stream = SocketStream.create({
        socket: this.#socket,
        onWanted: () => {
          if (this.isReady()) this.#events.onWanted(this);
        },
      });
      this.#events.onFirstBytes(this.#stream, this);
    }
    this.#announce();
  }

  #announce(): void {
    if (this.isAnnounced) return;
    this.isAnnounced = true;
    this.#events.onReadable(this);
  }
}
