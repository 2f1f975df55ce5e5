/** HTTP requests to one address, over a connection pool that is replaced after a timeout. */

import type { Dispatcher } from "undici";
// Loading the whole package takes several times as long, which would delay each start of a host.
import Pool from "undici/lib/dispatcher/pool.js";
import { getErrorMessage, StepError } from "../errors/mod.ts";

/** How long an idle connection is kept open, in milliseconds. */
const KEEP_ALIVE_MILLISECONDS = 60_000;
/** How long a replaced pool serves its pending requests, in milliseconds: the longest timeout. */
const REPLACED_POOL_LINGER_MILLISECONDS = 4_000;

/** No response was received: the request may have been executed, or may be executed later. */
export class NoResponseError extends StepError {}

/** An HTTP request. */
export interface LinkRequest {
  /** The name of the operation, for error messages. */
  step: string;
  method: "GET" | "POST";
  /** The path, including the query. */
  path: string;
  headers?: Readonly<Record<string, string>>;
  body?: Uint8Array | string | undefined;
  /** The time limit for the complete response, in milliseconds. */
  timeoutMilliseconds: number;
}

/** An HTTP response. */
export interface LinkResponse {
  /** The HTTP status code. */
  status: number;
  body: Buffer;
}

/** Options of an `HttpLink`. */
export interface HttpLinkOptions {
  /** The address of the server, as IP and port. */
  address: string;
  /** The maximum number of connections. */
  connections: number;
}

/** Collects the chunks of one response, without the overhead of a stream. */
class ResponseCollector implements Dispatcher.DispatchHandler {
  /** Resolves with the complete response, or rejects if there is none. */
  readonly answer: Promise<LinkResponse>;
  /** Whether the request has timed out. */
  isTimedOut = false;
  /** The bytes of the response's body that were received so far. */
  receivedBytes = 0;
  readonly #chunks: Buffer[] = [];
  #status = 0;
  #controller: Dispatcher.DispatchController | undefined;
  #resolve!: (response: LinkResponse) => void;
  #reject!: (error: unknown) => void;

  private constructor() {
    this.answer = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
  }

  static create(): ResponseCollector {
    return new ResponseCollector();
  }

  /** Rejects the response, and aborts the request if it has been sent. */
  timeOut(): void {
    const error = new Error("request timed out");
    this.isTimedOut = true;
    this.#reject(error);
    this.#controller?.abort(error);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // A request that timed out while it waited for a connection must not be sent.
    if (this.isTimedOut) controller.abort(new Error("request timed out before it was sent"));
    this.#controller = controller;
  }

  onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
    this.#status = status;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.receivedBytes += chunk.length;
  }

  onResponseEnd(): void {
    const [first] = this.#chunks;
    const body = this.#chunks.length === 1 ? first! : Buffer.concat(this.#chunks);
    this.#resolve({ status: this.#status, body });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#reject(error);
  }
}

/** A connection pool for one address. */
export class HttpLink {
  /** The address of the server, as IP and port. */
  readonly address: string;
  readonly #maximumConnections: number;
  #pool: Pool;
  #isClosed = false;

  private constructor(options: HttpLinkOptions) {
    this.address = options.address;
    this.#maximumConnections = options.connections;
    this.#pool = this.#createPool();
  }

  /** Creates a link, which connects at its first request. */
  static create(options: HttpLinkOptions): HttpLink {
    return new HttpLink(options);
  }

  /** Sends a request and gets the complete response, or throws a `NoResponseError`. */
  async call(request: LinkRequest): Promise<LinkResponse> {
    const pool = this.#pool;
    const collector = ResponseCollector.create();
    const timer = setTimeout(() => collector.timeOut(), request.timeoutMilliseconds);
    try {
      pool.dispatch({
        method: request.method,
        path: request.path,
        headers: request.headers ?? {},
        body: request.body ?? null,
      }, collector);
      return await collector.answer;
    } catch (error) {
      if (collector.isTimedOut) this.#replacePool(pool);
      throw new NoResponseError({
        message: collector.isTimedOut
          ? `no complete response within ${request.timeoutMilliseconds} ms, ` +
            `${collector.receivedBytes} bytes received`
          : getErrorMessage(error),
        step: request.step,
        peer: this.address,
        cause: error,
      });
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes all connections; pending requests fail. */
  close(): void {
    this.#isClosed = true;
    void this.#pool.destroy();
  }

  #createPool(): Pool {
    return new Pool(`http://${this.address}`, {
      connections: this.#maximumConnections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Replaces the pool: after a timeout, its other connections may be dead too. */
  #replacePool(pool: Pool): void {
    if (this.#isClosed || pool !== this.#pool) return;
    this.#pool = this.#createPool();
    const timer = setTimeout(() => void pool.destroy(), REPLACED_POOL_LINGER_MILLISECONDS);
    timer.unref();
  }
}
