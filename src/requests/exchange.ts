/** The interfaces of a request to its caller and its target, independent of the encoding. */

import type { Reply } from "../tasks/mod.ts";
import type { Refusal } from "./refusal.ts";

/** The headers of a request or answer, with names in lower case. */
export type Headers = Readonly<Record<string, string | string[]>>;

/** A request as the caller sent it. */
export interface CallerRequest {
  /** The id that this system assigned. */
  requestId: string;
  /** The name of the service. */
  service: string;
  method: string;
  /** The path and query for the target. */
  path: string;
  /** The headers for the target. */
  headers: Headers;
  body: Uint8Array;
  /** The API key as the caller sent it, if any. */
  presentedKey: string | undefined;
  /** The caller's time-out, if it sent one. */
  timeoutMilliseconds: number | undefined;
  /** The caller's idempotency key, under which the request runs at most once. */
  idempotencyKey: string | undefined;
}

/** A complete answer of a target. */
export interface TargetAnswer {
  status: number;
  headers: Headers;
  body: Uint8Array;
}

/** The caller of a request. It gets exactly one answer or refusal. */
export interface Caller {
  /** Sends the target's answer to the caller. */
  answer(answer: TargetAnswer): void;
  /** Refuses the request. */
  refuse(refusal: Refusal): void;
  /** Calls the listener once if the caller disconnects before it has its answer. */
  onDisconnect(listener: () => void): void;
}

/** The result of a call to a target. */
export type TargetResult =
  /** The answer is complete and belongs to the request. */
  | { outcome: "answered"; answer: TargetAnswer }
  /**
   * There is no answer. `mayHaveLeft` is whether a byte of the request may have been sent, `isFault`
   * whether the target caused the failure.
   */
  | { outcome: "failed"; reason: string; mayHaveLeft: boolean; isFault: boolean }
  /** The call timed out or the caller disconnected, but the target may still be running it; `work-ended` follows. */
  | { outcome: "abandoned"; reason: string; isFault: boolean }
  /** The work of an abandoned call has ended; `answer` is undefined if none arrived. */
  | { outcome: "work-ended"; answer: TargetAnswer | undefined };

/** A call to a target. */
export interface TargetCall {
  /** The id of the call, which is unique per attempt. */
  callId: string;
  /** The IP address and port of the target. */
  address: string;
  request: CallerRequest;
  /** The time until the caller's deadline. */
  timeoutMilliseconds: number;
  /** The maximum run time at the target, counted from the start. */
  longestRunMilliseconds: number;
  /** Called with the results of the call. */
  report: Reply<TargetResult>;
}

/** The messages that the tasks of targets handle. */
export type TargetMessage =
  | { kind: "call"; call: TargetCall }
  | { kind: "cancel"; address: string; callId: string };
