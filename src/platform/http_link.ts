/** HTTP requests to one address, over a connection pool that is replaced after a timeout. */

import type { Dispatcher } from "undici";
// Loading the whole package takes several times as long, which would delay each start of a host.
import Pool from "undici/lib/dispatcher/pool.js";
import { getErrorMessage, StepError, type StepErrorOptions } from "../errors/mod.ts";
import { ElapsedClock } from "../tasks/mod.ts";
import { TransferDeadline } from "./transfer_deadline.ts";

/** The default maximum size of a response, in bytes: many times that of a snapshot's page. */
const DEFAULT_MAXIMUM_RESPONSE_BYTES = 16_000_000;
/** How long an idle connection is kept open, in milliseconds. */
const KEEP_ALIVE_MILLISECONDS = 60_000;

/** No response was received: a request that was sent may have been executed, or may be later. */
export class NoResponseError extends StepError {
  /** Whether the request may have been sent; otherwise it never will be. */
  readonly isSent: boolean;

  constructor(options: StepErrorOptions, isSent: boolean) {
    super(options);
    this.isSent = isSent;
  }
}

/**
 * The identity of one connection, from its opening to its end. All responses over it are those of the
 * process that has accepted it.
 */
export type LinkConnection = symbol;

/** An HTTP request. */
export interface LinkRequest {
  /** The name of the operation, for error messages. */
  step: string;
  method: "GET" | "POST";
  /** The path, including the query. */
  path: string;
  headers?: Readonly<Record<string, string>>;
  body?: Uint8Array | string | undefined;
  /** How long the server may hold the request before it responds, in milliseconds; 0 if unset. */
  waitMilliseconds?: number;
  /** How long nothing may arrive before the exchange times out, in milliseconds. */
  idleTimeoutMilliseconds: number;
  /**
   * How long after the call the request may still be sent, in milliseconds; unlimited if unset. For
   * requests whose effect neither a fence nor a deadline prevents.
   */
  sendLimitMilliseconds?: number;
  /** The only connection over which the request may be sent; any if unset. */
  connection?: LinkConnection | undefined;
}

/** An HTTP response. */
export interface LinkResponse {
  /** The HTTP status code. */
  status: number;
  body: Buffer;
  /** The time until the headers arrived, without the requested wait, in milliseconds. */
  latencyMilliseconds: number;
  /** The connection, if it is known: that of a link with more than one is not. */
  connection: LinkConnection | undefined;
}

/** Options of an `HttpLink`. */
export interface HttpLinkOptions {
  /** The address of the server, as IP and port. */
  address: string;
  /** The maximum number of connections. */
  connections: number;
  /** The maximum size of a response, in bytes; a default if unset. */
  maximumResponseBytes?: number;
}

/** Collects the chunks of one response, without the overhead of a stream. */
class ResponseCollector implements Dispatcher.DispatchHandler {
  /** Resolves with the complete response, or rejects if there is none. */
  readonly answer: Promise<LinkResponse>;
  /** Whether the request has timed out. */
  isTimedOut = false;
  /** Whether the request has been handed to an open connection. */
  isSent = false;
  readonly #request: LinkRequest;
  readonly #maximumResponseBytes: number;
  readonly #getConnection: () => LinkConnection | undefined;
  #connection: LinkConnection | undefined;
  readonly #sentAt = performance.now();
  /** Counts from the call, including the time in which the machine was suspended. */
  readonly #elapsedClock = ElapsedClock.create();
  readonly #deadline: TransferDeadline;
  readonly #chunks: Buffer[] = [];
  #timer: NodeJS.Timeout | undefined;
  #immediate: NodeJS.Immediate | undefined;
  #status = 0;
  #latencyMilliseconds = 0;
  #controller: Dispatcher.DispatchController | undefined;
  #resolve!: (response: LinkResponse) => void;
  #reject!: (error: unknown) => void;

  private constructor(
    request: LinkRequest,
    maximumResponseBytes: number,
    getConnection: () => LinkConnection | undefined,
  ) {
    this.#request = request;
    this.#maximumResponseBytes = maximumResponseBytes;
    this.#getConnection = getConnection;
    this.#deadline = TransferDeadline.create({
      sentAt: this.#sentAt,
      sentBytes: Buffer.byteLength(request.body ?? ""),
      waitMilliseconds: request.waitMilliseconds ?? 0,
      idleTimeoutMilliseconds: request.idleTimeoutMilliseconds,
    });
    this.answer = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
  }

  /**
   * Creates a collector, whose time limit starts to run, with a function that gets the connection over
   * which the request is sent.
   */
  static create(
    request: LinkRequest,
    maximumResponseBytes: number,
    getConnection: () => LinkConnection | undefined,
  ): ResponseCollector {
    const collector = new ResponseCollector(request, maximumResponseBytes, getConnection);
    collector.#checkDeadline();
    return collector;
  }

  /** Stops checking the time limit. */
  close(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#immediate);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    // After a pause of the process, connections open before timers notice that time has passed.
    const { sendLimitMilliseconds = Infinity } = this.#request;
    const isLate = this.#elapsedClock.getElapsed() > sendLimitMilliseconds;
    this.#connection = this.#getConnection();
    const { connection } = this.#request;
    if (connection !== undefined && connection !== this.#connection) {
      throw new Error("the connection was replaced before it was sent");
    }
    if (!isLate && !this.isTimedOut) {
      this.isSent = true;
      return;
    }
    this.isTimedOut = true;
    this.#abort("timed out before it was sent");
  }

  onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
    const now = performance.now();
    const waitMilliseconds = this.#request.waitMilliseconds ?? 0;
    this.#status = status;
    this.#latencyMilliseconds = Math.max(0, now - this.#sentAt - waitMilliseconds);
    this.#deadline.recordReceived(0, now);
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#deadline.recordReceived(chunk.length, performance.now());
    if (this.#deadline.getReceivedBytes() <= this.#maximumResponseBytes) return;
    this.#abort(`the response is larger than ${this.#maximumResponseBytes} bytes`);
  }

  onResponseEnd(): void {
    const [first] = this.#chunks;
    const body = this.#chunks.length === 1 ? first! : Buffer.concat(this.#chunks);
    this.#resolve({
      status: this.#status,
      body,
      latencyMilliseconds: this.#latencyMilliseconds,
      connection: this.#connection,
    });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#reject(error);
  }

  #checkDeadline(): void {
    const remaining = this.#deadline.getTime() - performance.now();
    if (remaining > 0) {
      this.#timer = setTimeout(() => this.#checkDeadline(), Math.ceil(remaining));
    } else {
      // After a pause of the process, timers run before the sockets are read.
      this.#immediate = setImmediate(() => {
        if (this.#deadline.getTime() <= performance.now()) this.#timeOut();
        else this.#checkDeadline();
      });
    }
  }

  #timeOut(): void {
    const milliseconds = Math.round(performance.now() - this.#sentAt);
    this.isTimedOut = true;
    this.#abort(
      `timed out after ${milliseconds} ms, ${this.#deadline.getReceivedBytes()} bytes received`,
    );
  }

  /** Rejects the response, and aborts the request if it has been sent. */
  #abort(reason: string): void {
    const error = new Error(reason);
    this.#reject(error);
    this.#controller?.abort(error);
  }
}

/** A connection pool for one address. */
export class HttpLink {
  /** The address of the server, as IP and port. */
  readonly address: string;
  readonly #maximumConnections: number;
  readonly #maximumResponseBytes: number;
  #pool: Pool;
  /** The open connection of each pool, if the link has one connection at a time. */
  readonly #connections = new WeakMap<Pool, LinkConnection>();
  /** The pools that were replaced and still complete their requests. */
  readonly #replacedPools = new Set<Pool>();
  #isClosed = false;

  private constructor(options: HttpLinkOptions) {
    this.address = options.address;
    this.#maximumConnections = options.connections;
    this.#maximumResponseBytes = options.maximumResponseBytes ?? DEFAULT_MAXIMUM_RESPONSE_BYTES;
    this.#pool = this.#createPool();
  }

  /** Creates a link, which connects at its first request. */
  static create(options: HttpLinkOptions): HttpLink {
    return new HttpLink(options);
  }

  /** Sends a request and gets the complete response, or throws a `NoResponseError`. */
  async call(request: LinkRequest): Promise<LinkResponse> {
    const pool = this.#pool;
    const collector = ResponseCollector.create(
      request,
      this.#maximumResponseBytes,
      () => this.#connections.get(pool),
    );
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
        message: getErrorMessage(error),
        step: request.step,
        peer: this.address,
        cause: error,
      }, collector.isSent);
    } finally {
      collector.close();
    }
  }

  /** Gets the open connection of a link that has one at a time; undefined if none is open. */
  getConnection(): LinkConnection | undefined {
    return this.#connections.get(this.#pool);
  }

  /** Closes all connections; pending requests fail. */
  close(): void {
    this.#isClosed = true;
    for (const pool of [this.#pool, ...this.#replacedPools]) void pool.destroy();
  }

  #createPool(): Pool {
    const pool = new Pool(`http://${this.address}`, {
      connections: this.#maximumConnections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    if (this.#maximumConnections === 1) {
      pool.on("connect", () => this.#connections.set(pool, Symbol("connection")));
      pool.on("disconnect", () => this.#connections.delete(pool));
    }
    return pool;
  }

  /** Replaces the pool: after a timeout, its other connections may be dead too. */
  #replacePool(pool: Pool): void {
    if (this.#isClosed || pool !== this.#pool) return;
    this.#pool = this.#createPool();
    // Pending requests are completed unless they time out themselves.
    this.#replacedPools.add(pool);
    const forget = () => this.#replacedPools.delete(pool);
    void pool.close().then(forget, forget);
  }
}
