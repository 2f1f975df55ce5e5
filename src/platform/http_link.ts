/** HTTP calls to one address of the platform, over connections that are replaced when they fall silent. */

import { Pool } from "undici";
import { getErrorMessage, StepError } from "../errors/mod.ts";

/** How long a connection without calls is kept, in milliseconds. */
const KEEP_ALIVE_MILLISECONDS = 60_000;
/** How long the calls on replaced connections may go on, in milliseconds: longer than any wait. */
const REPLACED_MILLISECONDS = 4_000;

/** No answer came: the call may have been executed, or may be executed later. */
export class NoAnswerError extends StepError {}

/** One call. */
export interface LinkCall {
  /** The step, for errors. */
  step: string;
  /** The method. */
  method: "GET" | "POST";
  /** The path with its query. */
  path: string;
  /** The headers. */
  headers?: Readonly<Record<string, string>>;
  /** The body. */
  body?: Uint8Array | string | undefined;
  /** How long the answer may take, in milliseconds. */
  timeoutMilliseconds: number;
}

/** The answer to a call. */
export interface LinkAnswer {
  /** The status code. */
  status: number;
  /** The body. */
  body: Buffer;
}

/** Options of an `HttpLink`. */
export interface HttpLinkOptions {
  /** The address, as IP and port. */
  address: string;
  /** The most connections at once. */
  connections: number;
}

/** The connections to one address. */
export class HttpLink {
  /** The address, as IP and port. */
  readonly address: string;
  readonly #connections: number;
  #pool: Pool;
  #isClosed = false;

  private constructor(options: HttpLinkOptions) {
    this.address = options.address;
    this.#connections = options.connections;
    this.#pool = this.#createPool();
  }

  /** Creates a link, which connects at its first call. */
  static create(options: HttpLinkOptions): HttpLink {
    return new HttpLink(options);
  }

  /** Calls and gets the whole answer, or throws a `NoAnswerError`. */
  async call(call: LinkCall): Promise<LinkAnswer> {
    const pool = this.#pool;
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(), call.timeoutMilliseconds);
    try {
      const { statusCode, body } = await pool.request({
        method: call.method,
        path: call.path,
        headers: call.headers ?? {},
        body: call.body ?? null,
        signal: abort.signal,
      });
      return { status: statusCode, body: Buffer.from(await body.arrayBuffer()) };
    } catch (error) {
      if (abort.signal.aborted) this.#replace(pool);
      throw new NoAnswerError({
        message: abort.signal.aborted
          ? `no answer within ${call.timeoutMilliseconds} ms`
          : getErrorMessage(error),
        step: call.step,
        peer: this.address,
        cause: error,
      });
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes all connections; calls in flight fail. */
  close(): void {
    this.#isClosed = true;
    void this.#pool.destroy();
  }

  #createPool(): Pool {
    return new Pool(`http://${this.address}`, {
      connections: this.#connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Sends later calls over new connections: after a time-out, others of the old may be silent too. */
  #replace(pool: Pool): void {
    if (this.#isClosed || pool !== this.#pool) return;
    this.#pool = this.#createPool();
    const timer = setTimeout(() => void pool.destroy(), REPLACED_MILLISECONDS);
    timer.unref();
  }
}
