/** What a request sees of its caller and its target, apart from any encoding. */

import type { Reply } from "../tasks/mod.ts";
import type { Refusal } from "./refusal.ts";

/** The headers of a message, with names in lower case. */
export type Headers = Readonly<Record<string, string | string[]>>;

/** A request as the caller sent it. */
export interface CallerRequest {
  /** The id that this system gave it. */
  requestId: string;
  /** The name of the service. */
  service: string;
  /** The method. */
  method: string;
  /** The path and query at the target. */
  path: string;
  /** The headers for the target. */
  headers: Headers;
  /** The body. */
  body: Uint8Array;
  /** The text of the key, if one came. */
  presentedKey: string | undefined;
  /** How long the caller waits, if it said so. */
  timeoutMilliseconds: number | undefined;
  /** The caller's name for the operation, under which it runs at most once. */
  idempotencyKey: string | undefined;
}

/** A whole answer of a target. */
export interface TargetAnswer {
  /** The status. */
  status: number;
  /** The headers. */
  headers: Headers;
  /** The body. */
  body: Uint8Array;
}

/** The caller of one request: it gets either an answer or a refusal, once. */
export interface Caller {
  /** Gives the caller the target's answer. */
  answer(answer: TargetAnswer): void;
  /** Refuses the request. */
  refuse(refusal: Refusal): void;
  /** Calls the listener once if the caller leaves before it has its answer. */
  onDisconnect(listener: () => void): void;
}

/** What became of a call to a target. */
export type TargetResult =
  /** The answer is whole and belongs to the request. */
  | { outcome: "answered"; answer: TargetAnswer }
  /**
   * There is no answer; `mayHaveLeft` says whether a byte of the request may have left, `isFault`
   * whether the target is to blame.
   */
  | { outcome: "failed"; reason: string; mayHaveLeft: boolean; isFault: boolean }
  /** The time is over or the caller left, and the target may still be at work; an end follows. */
  | { outcome: "abandoned"; reason: string; isFault: boolean }
  /** The work of an abandoned call has ended; its answer is undefined if none came. */
  | { outcome: "work-ended"; answer: TargetAnswer | undefined };

/** A call to a target. */
export interface TargetCall {
  /** The id of the call: unique for each attempt. */
  callId: string;
  /** The IP number and port of the target. */
  address: string;
  /** The request. */
  request: CallerRequest;
  /** How long the caller waits for the answer. */
  timeoutMilliseconds: number;
  /** How long the work may go on at the target, counted from its start. */
  longestRunMilliseconds: number;
  /** Takes what became of the call. */
  report: Reply<TargetResult>;
}

/** The messages that the tasks of targets take. */
export type TargetMessage =
  | { kind: "call"; call: TargetCall }
  | { kind: "cancel"; address: string; callId: string };
