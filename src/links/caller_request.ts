/** The encoding of callers' requests: from HTTP to what the request tasks take, and back. */

import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Caller, CallerRequest } from "../requests/exchange.ts";
import { createNotRunRefusal, type Refusal, RefusalReason } from "../requests/refusal.ts";
import { getEndToEndHeaders, IDEMPOTENCY_KEY_HEADER, TIMEOUT_HEADER } from "./http_headers.ts";
import { sendProblem } from "./problem_document.ts";

/** The longest time in which a caller takes no byte of its answer. */
const ANSWER_IDLE_MILLISECONDS = 30_000;

/** The longest idempotency key. */
const LONGEST_IDEMPOTENCY_KEY = 255;

/** Gets the request that the caller sent, or why it is none. */
export function parseCallerRequest(
  request: IncomingMessage,
  body: Uint8Array,
): CallerRequest | Refusal {
  const url = (request as { originalUrl?: string }).originalUrl ?? request.url ?? "/";
  const match = /^\/services\/([A-Za-z0-9_-]{1,64})(\/[^\s]*)?$/.exec(url);
  if (match === null) return refuse("the path is not /services/{service}/…");
  const timeout = parseTimeout(request.headers[TIMEOUT_HEADER]);
  if (timeout === null) return refuse(`${TIMEOUT_HEADER} is not a whole number`);
  const idempotencyKey = request.headers[IDEMPOTENCY_KEY_HEADER];
  if (!isIdempotencyKey(idempotencyKey)) {
    return refuse(`${IDEMPOTENCY_KEY_HEADER} is not 1 to ${LONGEST_IDEMPOTENCY_KEY} characters`);
  }
  return {
    requestId: randomUUID(),
    service: match[1] as string,
    method: request.method ?? "GET",
    path: match[2] ?? "/",
    headers: getEndToEndHeaders(request.headers),
    body,
    presentedKey: parseBearer(request.headers.authorization),
    timeoutMilliseconds: timeout,
    idempotencyKey,
  };
}

/** Creates the caller that waits for a response. */
export function createCaller(response: ServerResponse): Caller {
  return {
    answer: (answer) => {
      response.writeHead(answer.status, {
        ...answer.headers,
        "content-length": answer.body.length,
      });
      response.end(answer.body);
      closeWhenIdle(response);
    },
    refuse: (refusal) => sendProblem(response, refusal),
    onDisconnect: (listener) => {
      response.on("close", () => {
        if (!response.writableFinished) listener();
      });
    },
  };
}

/** Closes the connection of a caller that takes nothing of its answer for too long. */
function closeWhenIdle(response: ServerResponse): void {
  const { socket } = response;
  if (socket === null || response.writableFinished || socket.writableLength === 0) return;
  const closeSocket = () => socket.destroy();
  socket.setTimeout(ANSWER_IDLE_MILLISECONDS, closeSocket);
  response.once("finish", () => {
    socket.setTimeout(0);
    socket.off("timeout", closeSocket);
  });
}

function isIdempotencyKey(value: string | string[] | undefined): value is string | undefined {
  if (value === undefined) return true;
  return typeof value === "string" && value.length > 0 && value.length <= LONGEST_IDEMPOTENCY_KEY;
}

function parseTimeout(value: string | string[] | undefined): number | undefined | null {
  if (value === undefined) return undefined;
  if (typeof value !== "string" || !/^[1-9]\d{0,7}$/.test(value)) return null;
  return Number(value);
}

function parseBearer(value: string | undefined): string | undefined {
  return value === undefined ? undefined : value.replace(/^Bearer +/i, "");
}

function refuse(detail: string): Refusal {
  return createNotRunRefusal(RefusalReason.BadRequest, detail);
}
