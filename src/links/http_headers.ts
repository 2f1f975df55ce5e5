/** Which headers pass between callers and targets, and which belong to one connection only. */

import type { IncomingHttpHeaders } from "node:http";
import type { Headers } from "../requests/exchange.ts";

/** The header that carries the id of the request to the target. */
export const REQUEST_ID_HEADER = "tanagerpin-request-id";

/** The header in which a caller says how long it waits. */
export const TIMEOUT_HEADER = "tanagerpin-timeout-milliseconds";

/** The header by which a caller names an operation that must run at most once. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

const CONNECTION_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "host",
  "content-length",
  "expect",
  "authorization",
  REQUEST_ID_HEADER,
  TIMEOUT_HEADER,
]);

/** Gets the headers that pass to the other side. */
export function getEndToEndHeaders(headers: IncomingHttpHeaders): Headers {
  const passed: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !CONNECTION_HEADERS.has(name)) passed[name] = value;
  }
  return passed;
}
