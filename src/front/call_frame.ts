/** The CBOR encoding of the messages between the host that received a call and the owner. */

import { Decoder, Encoder } from "cbor-x";
import { encodeFrame } from "../links/frame.ts";
import { JobState } from "../fleet/job.ts";
import { jobSpecificationSchema } from "../fleet/job_specification_schema.ts";
import type { Candidacy } from "../ownership/hand_over_decision.ts";
import { type Answer, AnswerOutcome, type Call, CallKind } from "./call.ts";

/** An authorized call that the receiving host forwards to the owner. */
export interface ForwardedCall extends Call {
  /** The version of the configuration that it was authorized by. */
  version: number;
  /** The name of the queue in that version. */
  queue: string;
  /** The name of the customer in that version; empty if there is none. */
  customer: string;
}

/**
 * A message to the owner: a call or a ping. The number matches an answer to its call; pings and
 * their answers have the number 0. Pings of earlier versions have no candidacy.
 */
export type OwnerRequest =
  | { number: number; call: ForwardedCall }
  | { number: 0; candidacy?: Candidacy };

/** A message from the owner: an answer, or in response to a ping the owner's `Claim.holder`. */
export type OwnerResponse = { number: number; answer: Answer } | { number: 0; process: string };

/** A decoded response; the answer is undefined if it is incomplete or malformed. */
export type DecodedOwnerResponse =
  | { number: number; answer: Answer | undefined }
  | { number: 0; process: string };

const CALL_KINDS: ReadonlySet<unknown> = new Set(Object.values(CallKind));
const OUTCOMES: ReadonlySet<unknown> = new Set(Object.values(AnswerOutcome));
const JOB_STATES: ReadonlySet<unknown> = new Set(Object.values(JobState));

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a message as a frame. */
export function encodeOwnerMessage(message: OwnerRequest | OwnerResponse): Buffer {
  return encodeFrame(encoder.encode(message));
}

/** Decodes a request; undefined if the body is malformed. */
export function decodeOwnerRequest(body: Buffer): OwnerRequest | undefined {
  const value = decode(body) as OwnerRequest | undefined;
  if (typeof value?.number !== "number") return undefined;
  if (value.number === 0) return decodePing("candidacy" in value ? value.candidacy : undefined);
  return "call" in value && isCall(value.call) ? value : undefined;
}

/** Decodes a response; undefined if the body is malformed. */
export function decodeOwnerResponse(body: Buffer): DecodedOwnerResponse | undefined {
  const value = decode(body) as OwnerResponse | undefined;
  if (typeof value?.number !== "number") return undefined;
  if (value.number === 0) return "process" in value ? value : undefined;
  if (!("answer" in value)) return undefined;
  return { number: value.number, answer: isAnswer(value.answer) ? value.answer : undefined };
}

/** Decodes a ping; the candidacy is unset if it is malformed. */
function decodePing(candidacy: Partial<Candidacy> | null | undefined): OwnerRequest {
  const { holder, shortage, mayOwn } = candidacy ?? {};
  const isValid = typeof holder === "string" && typeof shortage === "number" && shortage >= 0 &&
    shortage <= 1 && typeof mayOwn === "boolean";
  return isValid ? { number: 0, candidacy: { holder, shortage, mayOwn } } : { number: 0 };
}

/** Gets whether a call has all fields that its kind requires, each of a usable value. */
function isCall(call: Partial<ForwardedCall> | undefined): boolean {
  return CALL_KINDS.has(call?.kind) && typeof call?.version === "number" &&
    [call.host, call.path, call.jobId, call.queue, call.customer]
      .every((field) => typeof field === "string") &&
    (call.specification === undefined ||
      jobSpecificationSchema.safeParse(call.specification).success);
}

/** Gets whether an answer has all fields that its outcome requires. */
function isAnswer(answer: Partial<Answer> | undefined): boolean {
  switch (answer?.outcome) {
    case AnswerOutcome.StateReturned:
      return JOB_STATES.has(answer.state);
    case AnswerOutcome.CountReturned:
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
