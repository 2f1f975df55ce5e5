/** One connection to a target: it carries one request at a time, and is closed after any doubt. */

import { Client } from "undici";
import type { CallerRequest, TargetAnswer } from "../requests/exchange.ts";
import { ResponseReader } from "./response_reader.ts";
import { REQUEST_ID_HEADER, TIMEOUT_HEADER } from "./http_headers.ts";

/** The longest time in which a target accepts a connection. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** The longest time that a connection waits for its next request. */
const IDLE_MILLISECONDS = 4_000;

/** The largest head of an answer, in bytes. */
const LARGEST_ANSWER_HEAD_BYTES = 16 * 1024;

/** What became of one exchange on a connection. */
export type ExchangeResult =
  | { outcome: "answered"; answer: TargetAnswer; hasEchoed: boolean }
  | { outcome: "failed"; reason: string; mayHaveLeft: boolean; isFault: boolean };

/** Options of an exchange. */
export interface ExchangeOptions {
  /** The request. */
  request: CallerRequest;
  /** The time left to the caller, which the target is told. */
  timeoutMilliseconds: number;
  /** Whether an answer must echo the id of its request. */
  requiresEcho: boolean;
  /** Called once with the end. */
  onResult: (end: ExchangeResult) => void;
}

/** Options of a `TargetConnection`. */
export interface TargetConnectionOptions {
  /** The IP number and port of the target. */
  address: string;
  /** The largest body of an answer, in bytes. */
  maximumResponseBytes: number;
}

/** Owns one connection; the first request opens it. */
export class TargetConnection {
  readonly #client: Client;
  readonly #largestAnswerBytes: number;
  #mayHaveLeft = false;

  private constructor(options: TargetConnectionOptions) {
    this.#largestAnswerBytes = options.maximumResponseBytes;
    this.#client = new Client(`http://${options.address}`, {
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: IDLE_MILLISECONDS,
      keepAliveMaxTimeout: IDLE_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: LARGEST_ANSWER_HEAD_BYTES,
      maxResponseSize: options.maximumResponseBytes,
    });
  }

  /** Creates the connection. */
  static create(options: TargetConnectionOptions): TargetConnection {
    return new TargetConnection(options);
  }

  /** Gets whether a byte of the current request may have left. */
  mayHaveLeft(): boolean {
    return this.#mayHaveLeft;
  }

  /** Carries one request. */
  exchange(options: ExchangeOptions): void {
    const { request } = options;
    this.#mayHaveLeft = false;
    const reader = ResponseReader.create({
      requestId: request.requestId,
      method: request.method,
      requiresEcho: options.requiresEcho,
      largestBytes: this.#largestAnswerBytes,
      tryStart: () => this.#claimStart(),
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

  /** Called before the first byte goes to the socket; a second start of the same request is refused. */
  #claimStart(): boolean {
    if (this.#mayHaveLeft) return false;
    this.#mayHaveLeft = true;
    return true;
  }
}
