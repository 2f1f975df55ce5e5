/** Decodes the HTTP requests of callers into calls, and sends their answers. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { type Answer, AnswerOutcome, type Call, CallKind } from "../front/call.ts";
import { decodeJob } from "./job_decoding.ts";
import { parseJson } from "./store_client.ts";

/** The delay after which a caller should repeat a request to a stopping host, in seconds. */
const STOPPING_RETRY_AFTER_SECONDS = 1;
/** Matches a job id: 16 hexadecimal digits. */
const JOB_ID_PATTERN = /^[0-9a-fA-F]{16}$/;

const STATUS_BY_OUTCOME: Readonly<Record<AnswerOutcome, number>> = {
  [AnswerOutcome.Accepted]: 200,
  [AnswerOutcome.StateReturned]: 200,
  [AnswerOutcome.Cancelled]: 200,
  [AnswerOutcome.CountReturned]: 200,
  [AnswerOutcome.UnknownJob]: 410,
  [AnswerOutcome.UnknownQueue]: 404,
  [AnswerOutcome.InvalidKey]: 401,
  [AnswerOutcome.Malformed]: 400,
  [AnswerOutcome.TooLarge]: 413,
  [AnswerOutcome.Unavailable]: 503,
  [AnswerOutcome.NotOwner]: 503,
  // 504 leaves open whether the call was executed; 503 would state that it was not.
  [AnswerOutcome.InDoubt]: 504,
};

/** Decodes a request, or gets the reason why it is invalid. */
export function decodeCall(request: IncomingMessage, body: Buffer): Call | string {
  const path = (request.url ?? "/").split("?")[0]!;
  const lastSegment = path.slice(path.lastIndexOf("/") + 1);
  const key = request.headers["x-api-key"];
  const call = {
    host: (request.headers.host ?? "").split(":")[0]!,
    path,
    jobId: JOB_ID_PATTERN.test(lastSegment) ? lastSegment : "",
    ...(typeof key === "string" ? { key } : {}),
  };
  switch (request.method) {
    case "POST": {
      const specification = decodeJob(parseJson(body));
      if (typeof specification === "string") return `the job can't be read: ${specification}`;
      if (call.jobId === "") return "the path does not end in a job's id";
      return { ...call, kind: CallKind.Submit, specification };
    }
    case "DELETE":
      return { ...call, kind: CallKind.Cancel };
    case "GET":
      return { ...call, kind: call.jobId === "" ? CallKind.CountQueued : CallKind.State };
    default:
      return `the method ${request.method} is not served`;
  }
}

/** Sends the answer to a call. */
export function sendAnswer(response: ServerResponse, answer: Answer): void {
  const status = STATUS_BY_OUTCOME[answer.outcome];
  if (answer.outcome === AnswerOutcome.StateReturned) {
    return send(response, status, { state: answer.state });
  }
  if (answer.outcome === AnswerOutcome.CountReturned) {
    return send(response, status, { waiting: answer.waiting });
  }
  const body = answer.reason === undefined ? {} : { error: answer.reason };
  send(response, status, body, answer.retryAfterSeconds);
}

/** Answers a request that was not delivered to an owner, since this host is about to exit. */
export function sendStopping(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader("connection", "close");
  send(response, 503, { error: "this host is stopping" }, STOPPING_RETRY_AFTER_SECONDS);
}

/** Sends a response with a JSON body, unless one was sent. */
export function send(
  response: ServerResponse,
  status: number,
  body: unknown,
  retryAfterSeconds?: number,
): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  response.statusCode = status;
  response.setHeader("content-type", "application/json");
  response.setHeader("content-length", Buffer.byteLength(text));
  if (retryAfterSeconds !== undefined) response.setHeader("retry-after", retryAfterSeconds);
  response.end(text);
}
