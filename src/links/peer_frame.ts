/** Frames between entry hosts: a big-endian length of four bytes, and a CBOR body. */

import { Decoder, Encoder } from "cbor-x";
import { getErrorMessage } from "../errors/mod.ts";
import { encodeFrame, FrameDecoder, PeerFrameError } from "./frame.ts";
import { decodeHeartbeat, encodeHeartbeat } from "./heartbeat_codec.ts";
import { decodeLoanMessage, encodeLoanMessage } from "./loan_codec.ts";
import { type PeerMessage, peerMessageSchema } from "./peer_message.ts";

export { FRAME_HEADER_BYTES, MAXIMUM_FRAME_BYTES, PeerFrameError } from "./frame.ts";

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

export function encodePeerFrame(message: PeerMessage): Buffer {
  return encodeFrame(encoder.encode(encodeCompact(message)));
}

/** Options of a `PeerFrameDecoder`. */
export interface PeerFrameDecoderOptions {
  /** The peer, as named in errors. */
  peer: string;
}

/** Splits a byte stream into messages, and buffers at most one incomplete frame. */
export class PeerFrameDecoder {
  readonly #peer: string;
  readonly #frameDecoder: FrameDecoder;

  private constructor(options: PeerFrameDecoderOptions) {
    this.#peer = options.peer;
    this.#frameDecoder = FrameDecoder.create(options.peer);
  }

  static create(options: PeerFrameDecoderOptions): PeerFrameDecoder {
    return new PeerFrameDecoder(options);
  }

  /**
   * Decodes received bytes: gets the messages that are now complete, or throws a `PeerFrameError`.
   */
  decode(bytes: Buffer): PeerMessage[] {
    return this.#frameDecoder.decode(bytes).map((body) => this.#decode(body));
  }

  #decode(body: Buffer): PeerMessage {
    let value: unknown;
    try {
      value = decoder.decode(body);
    } catch (error) {
      throw this.#createError(getErrorMessage(error));
    }
    const compact = Array.isArray(value) ? decodeCompact(value) : undefined;
    if (compact !== undefined) return compact;
    const parsed = peerMessageSchema.safeParse(value);
    if (parsed.success) return parsed.data;
    const issue = parsed.error.issues[0];
    const kind = String((value as { kind?: unknown } | null)?.kind);
    throw this.#createError(
      `invalid message of kind ${kind}: ${issue?.path.join(".")} ${issue?.code}`,
    );
  }

  #createError(message: string): PeerFrameError {
    return new PeerFrameError({ message, step: "decode-frame", peer: this.#peer });
  }
}

/** Converts frequent messages to arrays; other messages stay objects. */
function encodeCompact(message: PeerMessage): unknown {
  switch (message.kind) {
    case "heartbeat":
      return encodeHeartbeat(message);
    case "loan-statement":
    case "loan-lend":
    case "loan-statement-wanted":
      return encodeLoanMessage(message);
    default:
      return message;
  }
}

function decodeCompact(values: readonly unknown[]): PeerMessage | undefined {
  return typeof values[0] === "string" ? decodeLoanMessage(values) : decodeHeartbeat(values);
}
