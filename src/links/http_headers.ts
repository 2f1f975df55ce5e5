/** The headers that are passed on between callers and targets, and those of one connection only. */

import type { IncomingHttpHeaders } from "node:http";
import type { Headers } from "../requests/exchange.ts";

/** The header with the request ID, which a target echoes in its response. */
export const REQUEST_ID_HEADER = "tanagerpin-request-id";

/** The header with the time that the client waits for the response. */
export const TIMEOUT_HEADER = "tanagerpin-timeout-milliseconds";

/** The header by which a caller identifies an operation that must run at most once. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

/** Headers that are not passed on: hop-by-hop headers, credentials and this system's own. */
const DROPPED_HEADERS = new Set([
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

/** Gets the headers that are passed on. */
export function getEndToEndHeaders(headers: IncomingHttpHeaders): Headers {
  const passed: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !DROPPED_HEADERS.has(name)) passed[name] = value;
  }
  return passed;
}
