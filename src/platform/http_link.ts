/** HTTP calls to one address of the platform, over connections that are replaced when they fall silent. */

import type { Dispatcher } from "undici";
// The whole package takes several times as long to load, which each restart of a host pays.
import Pool from "undici/lib/dispatcher/pool.js";
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

/** Collects one answer as its parts come, without a stream for each. */
class AnswerCollector implements Dispatcher.DispatchHandler {
  /** The whole answer. */
  readonly answer: Promise<LinkAnswer>;
  /** Whether it came too late. */
  isGivenUp = false;
  readonly #chunks: Buffer[] = [];
  #status = 0;
  #controller: Dispatcher.DispatchController | undefined;
  #resolve!: (answer: LinkAnswer) => void;
  #reject!: (error: unknown) => void;

  private constructor() {
    this.answer = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
  }

  static create(): AnswerCollector {
    return new AnswerCollector();
  }

  /** Takes no answer any more, and closes the connection that it would come on. */
  giveUp(): void {
    const error = new Error("the answer took too long");
    this.isGivenUp = true;
    this.#reject(error);
    this.#controller?.abort(error);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // A call that was given up while it waited for a connection is not sent.
    if (this.isGivenUp) controller.abort(new Error("the call was given up"));
    this.#controller = controller;
  }

  onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
    this.#status = status;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk);
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
    const collector = AnswerCollector.create();
    const timer = setTimeout(() => collector.giveUp(), call.timeoutMilliseconds);
    try {
      pool.dispatch({
        method: call.method,
        path: call.path,
        headers: call.headers ?? {},
        body: call.body ?? null,
      }, collector);
      return await collector.answer;
    } catch (error) {
      if (collector.isGivenUp) this.#replace(pool);
      throw new NoAnswerError({
        message: collector.isGivenUp
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
