/** A stream that passes a socket's bytes on in the portions that its owner chooses. */

import type { Socket } from "node:net";
import { Duplex } from "node:stream";

/** Options of a `SocketStream`. */
export interface SocketStreamOptions {
  socket: Socket;
  /** Called when the reader, which had stopped reading, wants bytes again. */
  onWanted: () => void;
}

/** The stream that an HTTP server reads in place of a socket; it writes to the socket directly. */
export class SocketStream extends Duplex {
  readonly #socket: Socket;
  readonly #onWanted: () => void;

  private constructor(options: SocketStreamOptions) {
    super({ decodeStrings: false });
    this.#socket = options.socket;
    this.#onWanted = options.onWanted;
  }

  static create(options: SocketStreamOptions): SocketStream {
    return new SocketStream(options);
  }

  /** The client's address. */
  get remoteAddress(): string | undefined {
    return this.#socket.remoteAddress;
  }

  /** Gets whether bytes that are passed on are read at once. */
  isReading(): boolean {
    return this.readableFlowing === true && this.readableLength === 0 && !this.destroyed;
  }

  /** Closes the stream when the socket was idle for a time; 0 for never. */
  setTimeout(milliseconds: number): this {
    this.#socket.setTimeout(milliseconds);
    return this;
  }

  /** Closes the stream once all that was written to it is sent. */
  destroySoon(): void {
    if (this.writable) this.end();
    if (this.writableFinished) this.destroy();
    else this.once("finish", this.destroy);
  }

  override _read(): void {
    this.#onWanted();
  }

  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this.#socket.write(chunk, encoding, callback);
  }

  override _writev(
    chunks: { chunk: Buffer | string; encoding: BufferEncoding }[],
    callback: (error?: Error | null) => void,
  ): void {
    this.#socket.cork();
    chunks.forEach(({ chunk, encoding }, index) => {
      this.#socket.write(chunk, encoding, index === chunks.length - 1 ? callback : undefined);
    });
    this.#socket.uncork();
  }

  override _final(callback: (error?: Error | null) => void): void {
    this.#socket.end(() => callback());
  }

  override _destroy(_error: Error | null, callback: (error?: Error | null) => void): void {
    this.#socket.destroy();
    // The server would answer an error with 400 to a client that is gone.
    callback();
  }
}
