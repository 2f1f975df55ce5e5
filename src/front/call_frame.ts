/** The messages between the host that a caller reached and the owner, in frames of CBOR. */

import { Decoder, Encoder } from "cbor-x";
import { encodeFrame } from "../links/frame.ts";
import { JobState } from "../fleet/job.ts";
import { type Answer, AnswerOutcome, type Call, CallKind } from "./call.ts";

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

/** A response as it is read; an answer that can't be read as a whole is undefined. */
export type ReadResponse =
  | { number: number; answer: Answer | undefined }
  | { number: 0; process: string };

const KINDS: ReadonlySet<unknown> = new Set(Object.values(CallKind));
const OUTCOMES: ReadonlySet<unknown> = new Set(Object.values(AnswerOutcome));
const STATES: ReadonlySet<unknown> = new Set(Object.values(JobState));

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
  return "call" in value && isCall(value.call) ? value : undefined;
}

/** Decodes a response, or gets undefined if the body is none. */
export function decodeOwnerResponse(body: Buffer): ReadResponse | undefined {
  const value = decode(body) as OwnerResponse | undefined;
  if (typeof value?.number !== "number") return undefined;
  if (value.number === 0) return "process" in value ? value : undefined;
  if (!("answer" in value)) return undefined;
  return { number: value.number, answer: isAnswer(value.answer) ? value.answer : undefined };
}

/** Gets whether a call has all that its judgement needs. */
function isCall(call: Partial<ForwardedCall> | undefined): boolean {
  return KINDS.has(call?.kind) && typeof call?.version === "number" &&
    [call.host, call.path, call.jobId, call.queue, call.customer]
      .every((part) => typeof part === "string");
}

/** Gets whether an answer has all that its caller is told. */
function isAnswer(answer: Partial<Answer> | undefined): boolean {
  switch (answer?.outcome) {
    case AnswerOutcome.Shown:
      return STATES.has(answer.state);
    case AnswerOutcome.Counted:
      return Number.isSafeInteger(answer.waiting) && answer.waiting! >= 0;
    default:
      return OUTCOMES.has(answer?.outcome);
  }
}

function decode(body: Buffer): unknown {
  try {
    return decoder.decode(body);
  } catch {
    return undefined;
  }
}
