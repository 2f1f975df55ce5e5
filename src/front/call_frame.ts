/** The messages between the host that a caller reached and the owner, in frames of CBOR. */

import { Decoder, Encoder } from "cbor-x";
import { encodeFrame } from "../links/frame.ts";
import type { Answer, Call } from "./call.ts";

/** A call on its way to the owner, as the host judged it that the caller reached. */
export interface ForwardedCall extends Call {
  /** The version of the configuration that allowed it. */
  version: number;
  /** The name of the queue under that version. */
  queue: string;
  /** The name of the customer under that version; empty where there is none. */
  customer: string;
}

/** What goes to the owner: a call, or a question whether it is there. */
export type OwnerRequest = { number: number; call: ForwardedCall } | { number: 0 };

/** What comes back: answers, and which process it is that answers. */
export type OwnerResponse = { number: number; answer: Answer } | { number: 0; process: string };

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Gets the frame of a message. */
export function encodeOwnerMessage(message: OwnerRequest | OwnerResponse): Buffer {
  return encodeFrame(encoder.encode(message));
}

/** Decodes a request, or gets undefined if the body is none. */
export function decodeOwnerRequest(body: Buffer): OwnerRequest | undefined {
  const value = decode(body) as OwnerRequest | undefined;
  if (typeof value?.number !== "number") return undefined;
  if (value.number === 0) return { number: 0 };
  return "call" in value && typeof value.call?.kind === "string" ? value : undefined;
}

/** Decodes a response, or gets undefined if the body is none. */
export function decodeOwnerResponse(body: Buffer): OwnerResponse | undefined {
  const value = decode(body) as OwnerResponse | undefined;
  if (typeof value?.number !== "number") return undefined;
  if (value.number === 0) return "process" in value ? value : undefined;
  return "answer" in value && typeof value.answer?.outcome === "string" ? value : undefined;
}

function decode(body: Buffer): unknown {
  try {
    return decoder.decode(body);
  } catch {
    return undefined;
  }
}
