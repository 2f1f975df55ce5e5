/** The frames between entry hosts: a length of four bytes, most significant first, and a CBOR body. */

import { Decoder, Encoder } from "cbor-x";
import { getErrorMessage } from "../errors/mod.ts";
import { encodeFrame, FrameDecoder, PeerFrameError } from "./frame.ts";
import { decodeHeartbeat, encodeHeartbeat } from "./heartbeat_codec.ts";
import { decodeLoanMessage, encodeLoanMessage } from "./loan_codec.ts";
import { type PeerMessage, peerMessageSchema } from "./peer_message.ts";

export {
  FRAME_HEADER_BYTES,
  MAXIMUM_FRAME_BYTES as MAXIMUM_FRAME_BYTES,
  PeerFrameError,
} from "./frame.ts";

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Gets the frame of a message. */
export function encodePeerFrame(message: PeerMessage): Buffer {
  return encodeFrame(encoder.encode(encodeCompact(message)));
}

/** Options of a `PeerFrameReader`. */
export interface PeerFrameDecoderOptions {
  /** The other side, for errors. */
  peer: string;
}

/** Cuts a stream of bytes into messages, and keeps at most one frame that is not yet whole. */
export class PeerFrameDecoder {
  readonly #peer: string;
  readonly #cutter: FrameDecoder;

  private constructor(options: PeerFrameDecoderOptions) {
    this.#peer = options.peer;
    this.#cutter = FrameDecoder.create(options.peer);
  }

  /** Creates a reader. */
  static create(options: PeerFrameDecoderOptions): PeerFrameDecoder {
    return new PeerFrameDecoder(options);
  }

  /** Adds bytes and gets the messages that are whole now, or throws a `PeerFrameError`. */
  decode(bytes: Buffer): PeerMessage[] {
    return this.#cutter.decode(bytes).map((body) => this.#decode(body));
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
    throw this.#createError(`no message of kind ${kind}: ${issue?.path.join(".")} ${issue?.code}`);
  }

  #createError(message: string): PeerFrameError {
    return new PeerFrameError({ message, step: "decode-frame", peer: this.#peer });
  }
}

/** Gets the arrays of the messages that are sent often, and other messages as they are. */
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
