/** The effects that the owner of a queue requests, and the messages of `JobQueueTask`. */

import type { MemberProgress } from "../contracts/member_messages.ts";
import type { StandingChanged } from "../contracts/standing.ts";
import type { PublicationResult, RecordEvent } from "../records/record_messages.ts";
import type { WorkerCall, WorkerResult } from "./worker_protocol.ts";

/** An effect that publishes a record. */
export interface PublishEffect {
  kind: "publish";
  recordId: string;
  recordKind: string;
  /** The body of the record. */
  body: unknown;
}

/** An effect that calls a worker. */
export interface CallEffect {
  kind: "call";
  /** The name of the worker. */
  worker: string;
  /** The IP address and port of the worker. */
  address: string;
  call: WorkerCall;
}

/** An effect that the owner of a queue requests. */
export type QueueEffect = PublishEffect | CallEffect;

/** The messages that `JobQueueTask` handles. */
export type JobQueueMessage =
  | RecordEvent
  | StandingChanged
  | { kind: "step" }
  | { kind: "progress"; members: MemberProgress[] }
  | { kind: "published"; queue: string; recordId: string; result: PublicationResult }
  | {
    kind: "worker-answered";
    queue: string;
    worker: string;
    call: WorkerCall;
    result: WorkerResult;
  };
