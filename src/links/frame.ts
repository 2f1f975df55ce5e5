/** Frames on a stream: a length of four bytes, most significant first, and a body. */

import { StepError } from "../errors/mod.ts";

/** The bytes of the length that goes before the body. */
export const FRAME_HEADER_BYTES = 4;

/** The largest body of a frame, in bytes. */
export const MAXIMUM_FRAME_BYTES = 1024 * 1024;

/** A frame is too large or holds no message. */
export class PeerFrameError extends StepError {}

/** Gets the frame of a body. */
export function encodeFrame(body: Uint8Array): Buffer {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.set(body, FRAME_HEADER_BYTES);
  return frame;
}

/** Cuts a stream of bytes into bodies, and keeps at most one frame that is not yet whole. */
export class FrameDecoder {
  readonly #peer: string;
  #chunks: Buffer[] = [];
  #length = 0;

  private constructor(peer: string) {
    this.#peer = peer;
  }

  /** Creates a cutter for the stream of a peer. */
  static create(peer: string): FrameDecoder {
    return new FrameDecoder(peer);
  }

  /** Adds bytes and gets the bodies that are whole now, or throws a `PeerFrameError`. */
  decode(bytes: Buffer): Buffer[] {
    this.#chunks.push(bytes);
    this.#length += bytes.length;
    const bodies: Buffer[] = [];
    for (;;) {
      const body = this.#takeBody();
      if (body === undefined) return bodies;
      bodies.push(body);
    }
  }

  #takeBody(): Buffer | undefined {
    if (this.#length < FRAME_HEADER_BYTES) return undefined;
    const joined = this.#join();
    const bodyLength = joined.readUInt32BE(0);
    if (bodyLength > MAXIMUM_FRAME_BYTES) {
      throw new PeerFrameError({
        message: `frame of ${bodyLength} bytes`,
        step: "decode-frame",
        peer: this.#peer,
      });
    }
    const end = FRAME_HEADER_BYTES + bodyLength;
    if (joined.length < end) return undefined;
    this.#chunks = joined.length === end ? [] : [joined.subarray(end)];
    this.#length = joined.length - end;
    return joined.subarray(FRAME_HEADER_BYTES, end);
  }

  #join(): Buffer {
    if (this.#chunks.length > 1) this.#chunks = [Buffer.concat(this.#chunks)];
    return this.#chunks[0] as Buffer;
  }
}
