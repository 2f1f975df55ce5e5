/** A listening socket for HTTP, with or without TLS, and its limits: shared by callers and operators. */

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

/** The largest head of a request, in bytes. */
export const MAXIMUM_HEADER_BYTES = 16 * 1024;

/** The most connections at once. */
const MOST_CONNECTIONS = 8_192;

/** The most requests on one connection. */
const MOST_REQUESTS_PER_CONNECTION = 100_000;

/** How often connections are checked against the limits of time. */
const CHECK_MILLISECONDS = 500;

/** How often the keys of session tickets are derived again, so that they follow their period. */
const TICKET_CHECK_MILLISECONDS = 60_000;

/** Handles one request. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** The limits of time of a listener. */
export interface HttpTimeouts {
  /** The longest time from a connection's opening to the end of its request's head. */
  headersTimeoutMilliseconds: number;
  /** The longest time that a connection waits for its next request. */
  keepAliveTimeoutMilliseconds: number;
}

/** The limits of time when none are given. */
export const DEFAULT_HTTP_TIMEOUTS: HttpTimeouts = {
  headersTimeoutMilliseconds: 10_000,
  keepAliveTimeoutMilliseconds: 30_000,
};

/** Options of an `HttpListener`. */
export interface HttpListenerOptions {
  /** The address to listen on. */
  address: SocketAddress;
  /** The limits of time. */
  limits?: HttpTimeouts;
  /** The certificate and its key, if the listener speaks TLS. */
  tls?: TlsIdentity | undefined;
  /** Handles each request. */
  handle: HttpHandler;
  /** Handles a request that asks for leave to send its body; without it leave is given. */
  handleExpectation?: HttpHandler;
}

/** Owns a listening socket and the connections accepted on it. */
export class HttpListener {
  readonly #options: HttpListenerOptions;
  readonly #server: Server | HttpsServer;
  #ticketTimer: NodeJS.Timeout | undefined;

  private constructor(options: HttpListenerOptions) {
    this.#options = options;
    this.#server = createServer(options);
    this.#server.maxConnections = MOST_CONNECTIONS;
    this.#server.maxRequestsPerSocket = MOST_REQUESTS_PER_CONNECTION;
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

  /** Listens, and gets the address with the port that was chosen. */
  listen(): Promise<string> {
    this.#followTicketPeriods();
    return listen(this.#server, this.#options.address);
  }

  /** Accepts no more connections and closes those without a request; running requests go on. */
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

  #followTicketPeriods(): void {
    const key = this.#options.tls?.key;
    if (key === undefined || this.#options.tls?.ticketKeys === undefined) return;
    const server = this.#server as HttpsServer;
    this.#ticketTimer = setInterval(
      () => server.setTicketKeys(deriveTicketKeys({ key, wallTime: Date.now() })),
      TICKET_CHECK_MILLISECONDS,
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
    connectionsCheckingInterval: CHECK_MILLISECONDS,
    noDelay: true,
  };
  if (options.tls === undefined) return createHttpServer(settings, options.handle);
  const { certificate, key, ticketKeys } = options.tls;
  const secure = { ...settings, cert: certificate, key, ticketKeys };
  return createHttpsServer(secure, options.handle);
}

const REASON_BY_ERROR: Readonly<Record<string, RefusalReason>> = {
  HPE_HEADER_OVERFLOW: RefusalReason.HeadTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: RefusalReason.RequestTimeout,
};

/** Refuses what is no request, over the bare socket, and closes it. */
function refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const reason = REASON_BY_ERROR[error.code ?? ""] ?? RefusalReason.BadRequest;
  const refusal = createNotRunRefusal(reason, "the head of the request can't be read");
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
