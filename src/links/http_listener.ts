/**
 * An HTTP server with or without TLS, and its limits; used by the listeners for callers and
 * operators.
 */

import {
  createServer as createHttpServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import { createServer as createHttpsServer, type Server as HttpsServer } from "node:https";
import type { Socket } from "node:net";
import { createNotRunRefusal, RefusalReason } from "../requests/refusal.ts";
import { listen } from "./listen.ts";
import { createProblemDocument, OUTCOME_HEADER } from "./problem_document.ts";
import type { SocketAddress } from "./socket_address.ts";
import { deriveTicketKeys, type TlsIdentity } from "./tls_identity.ts";

/** The maximum size of the request line and headers, in bytes. */
export const MAXIMUM_HEADER_BYTES = 16 * 1024;

/** The maximum number of open connections. */
const MAXIMUM_CONNECTIONS = 8_192;

/** The maximum number of requests on one connection. */
const MAXIMUM_REQUESTS_PER_CONNECTION = 100_000;

/** How often connections are checked against the timeouts. */
const TIMEOUT_CHECK_INTERVAL_MILLISECONDS = 500;

/** How often the session ticket keys are derived again, so that they change with their period. */
const TICKET_KEY_INTERVAL_MILLISECONDS = 60_000;

export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** The timeouts of a listener. */
export interface HttpTimeouts {
  /** The maximum time from the opening of a connection to the end of its request's headers. */
  headersTimeoutMilliseconds: number;
  /** The maximum time that a connection is kept open without a request. */
  keepAliveTimeoutMilliseconds: number;
}

/** The default timeouts. */
export const DEFAULT_HTTP_TIMEOUTS: HttpTimeouts = {
  headersTimeoutMilliseconds: 10_000,
  keepAliveTimeoutMilliseconds: 30_000,
};

/** Options of an `HttpListener`. */
export interface HttpListenerOptions {
  /** The address to listen on. */
  address: SocketAddress;
  /** The timeouts of connections. */
  limits?: HttpTimeouts;
  /** The certificate and its key; absent for plain HTTP. */
  tls?: TlsIdentity | undefined;
  handle: HttpHandler;
  /** Handles a request with `expect: 100-continue`; by default the server sends 100 Continue. */
  handleExpectation?: HttpHandler;
}

/** Owns a listening socket and its accepted connections. */
export class HttpListener {
  readonly #options: HttpListenerOptions;
  readonly #server: Server | HttpsServer;
  #ticketTimer: NodeJS.Timeout | undefined;

  private constructor(options: HttpListenerOptions) {
    this.#options = options;
    this.#server = createServer(options);
    this.#server.maxConnections = MAXIMUM_CONNECTIONS;
    this.#server.maxRequestsPerSocket = MAXIMUM_REQUESTS_PER_CONNECTION;
    this.#server.on(
      "clientError",
      (error: NodeJS.ErrnoException, socket: Socket) => refuseMalformed(error, socket),
    );
    if (options.handleExpectation !== undefined) {
      this.#server.on("checkContinue", options.handleExpectation);
    }
  }

  /** Creates the listener; `listen` opens the socket. */
  static create(options: HttpListenerOptions): HttpListener {
    return new HttpListener(options);
  }

  /** Starts listening, and gets the bound address and port. */
  listen(): Promise<string> {
    this.#startTicketKeyRotation();
    return listen(this.#server, this.#options.address);
  }

  /** Stops accepting connections and closes idle ones; open requests continue. */
  stopAccepting(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Closes the socket and every connection. */
  close(): void {
    clearInterval(this.#ticketTimer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #startTicketKeyRotation(): void {
    const key = this.#options.tls?.key;
    if (key === undefined || this.#options.tls?.ticketKeys === undefined) return;
    const server = this.#server as HttpsServer;
    this.#ticketTimer = setInterval(
      () => server.setTicketKeys(deriveTicketKeys({ key, wallTime: Date.now() })),
      TICKET_KEY_INTERVAL_MILLISECONDS,
    );
    this.#ticketTimer.unref();
  }
}

function createServer(options: HttpListenerOptions): Server | HttpsServer {
  const limits = options.limits ?? DEFAULT_HTTP_TIMEOUTS;
  const settings: ServerOptions = {
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
    headersTimeout: limits.headersTimeoutMilliseconds,
    requestTimeout: 0,
    keepAliveTimeout: limits.keepAliveTimeoutMilliseconds,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MILLISECONDS,
    noDelay: true,
  };
  if (options.tls === undefined) return createHttpServer(settings, options.handle);
  const { certificate, key, ticketKeys } = options.tls;
  const tlsSettings = { ...settings, cert: certificate, key, ticketKeys };
  return createHttpsServer(tlsSettings, options.handle);
}

const REASON_BY_ERROR: Readonly<Record<string, RefusalReason>> = {
  HPE_HEADER_OVERFLOW: RefusalReason.HeadTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: RefusalReason.RequestTimeout,
};

/** Refuses a malformed request by a response on the raw socket, and closes it. */
function refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const reason = REASON_BY_ERROR[error.code ?? ""] ?? RefusalReason.BadRequest;
  const refusal = createNotRunRefusal(
    reason,
    "the request line or headers are malformed, too large or incomplete",
  );
  const problem = createProblemDocument(refusal);
  const body = JSON.stringify(problem);
  socket.end([
    `HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status]}`,
    "content-type: application/problem+json",
    `content-length: ${Buffer.byteLength(body)}`,
    `${OUTCOME_HEADER}: ${refusal.outcome}`,
    "connection: close",
    "",
    body,
  ].join("\r\n"));
}
