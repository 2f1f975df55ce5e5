/** The messages about retries. */

import type { RecordEvent } from "../../records/record_messages.ts";
import type { Reply } from "../../tasks/mod.ts";

/** Asks whether a request whose attempt failed may be retried. */
export interface RetryRequest {
  /** The name of the service. */
  service: string;
  /** The API key as the caller sent it, if any. */
  presentedKey: string | undefined;
  method: string;
  /** Whether the request has an idempotency key. */
  hasIdempotencyKey: boolean;
  /** Whether a byte of any attempt may have been sent. */
  mayHaveLeft: boolean;
  /** The number of the failed attempt, counted from 1. */
  attempt: number;
  /** The time until the caller's deadline. */
  remainingMilliseconds: number;
}

/** The messages that `RetryTask` handles. */
export type RetryMessage =
  | RecordEvent
  | { kind: "started"; service: string; presentedKey: string | undefined }
  | { kind: "retry-wanted"; request: RetryRequest; reply: Reply<boolean> };
