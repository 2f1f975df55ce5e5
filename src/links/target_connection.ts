/**
 * One connection to a target. It carries one request at a time, and is closed unless the exchange
 * ended with a complete response, so that a late response is never taken for another request's.
 */

import { Client } from "undici";
import type { CallerRequest, TargetAnswer } from "../requests/exchange.ts";
import { ResponseReader } from "./response_reader.ts";
import { REQUEST_ID_HEADER, TIMEOUT_HEADER } from "./http_headers.ts";

/** The timeout of connecting to a target. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** How long an idle connection is kept open. */
const KEEP_ALIVE_MILLISECONDS = 4_000;

/** The maximum size of the headers of a response, in bytes. */
const MAXIMUM_HEADER_BYTES = 16 * 1024;

/** The result of one exchange: a request and its response. */
export type ExchangeResult =
  | { outcome: "answered"; answer: TargetAnswer; hasEchoed: boolean }
  | { outcome: "failed"; reason: string; mayHaveLeft: boolean; isFault: boolean };

/** Options of an exchange. */
export interface ExchangeOptions {
  request: CallerRequest;
  /** The time left until the caller's deadline; passed on to the target in a header. */
  timeoutMilliseconds: number;
  /** Whether a response without the request ID is rejected. */
  requiresEcho: boolean;
  /** Called once, with the result. */
  onResult: (result: ExchangeResult) => void;
}

/** Options of a `TargetConnection`. */
export interface TargetConnectionOptions {
  /** The IP address and port of the target. */
  address: string;
  /** The maximum size of the body of a response, in bytes. */
  maximumResponseBytes: number;
}

/** Owns one connection, which the first request opens. */
export class TargetConnection {
  readonly #client: Client;
  readonly #maximumResponseBytes: number;
  #mayHaveLeft = false;

  private constructor(options: TargetConnectionOptions) {
    this.#maximumResponseBytes = options.maximumResponseBytes;
    this.#client = new Client(`http://${options.address}`, {
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      maxResponseSize: options.maximumResponseBytes,
    });
  }

  static create(options: TargetConnectionOptions): TargetConnection {
    return new TargetConnection(options);
  }

  /** Gets whether a byte of the current request may have been sent. */
  mayHaveLeft(): boolean {
    return this.#mayHaveLeft;
  }

  /** Sends one request. */
  exchange(options: ExchangeOptions): void {
    const { request } = options;
    this.#mayHaveLeft = false;
    const reader = ResponseReader.create({
      requestId: request.requestId,
      method: request.method,
      requiresEcho: options.requiresEcho,
      largestBytes: this.#maximumResponseBytes,
      tryStart: () => this.#tryStart(),
      onResponse: (answer, hasEchoed) =>
        options.onResult({ outcome: "answered", answer, hasEchoed }),
      onFailure: (reason) =>
        options.onResult({
          outcome: "failed",
          reason,
          mayHaveLeft: this.#mayHaveLeft,
          isFault: true,
        }),
    });
    this.#client.dispatch({
      path: request.path,
      method: request.method as "GET",
      headers: {
        ...request.headers,
        [REQUEST_ID_HEADER]: request.requestId,
        [TIMEOUT_HEADER]: String(options.timeoutMilliseconds),
      },
      body: request.body.length === 0 ? null : request.body as Buffer,
    }, reader);
  }

  /** Closes the connection at once. */
  close(): void {
    void this.#client.destroy().catch(() => undefined);
  }

  /**
   * Marks the request as possibly sent, before its first byte is written. Returns false on a second
   * start, so that `undici` never sends a request twice.
   */
  #tryStart(): boolean {
    if (this.#mayHaveLeft) return false;
    this.#mayHaveLeft = true;
    return true;
  }
}
