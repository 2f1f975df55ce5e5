/** The HTTP listener for callers: the jobs API of the platform. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  CallerBudget,
  type CallerConnection,
  CallerConnections,
  type CallerLimits,
  CallQueue,
  LimitLog,
} from "../callers/mod.ts";
import type { EventLog } from "../events/mod.ts";
import type { Answer, Call } from "../front/call.ts";
import { type BodyResult, readBody } from "../links/body_reader.ts";
import { listen } from "../links/listen.ts";
import type { SocketAddress } from "../links/socket_address.ts";
import { type Reply, Task } from "../tasks/mod.ts";
import { decodeCall, send, sendAnswer, sendStopping } from "./caller_exchange.ts";

/** The interval at which the times of connections are checked, in milliseconds. */
const TICK_INTERVAL_MILLISECONDS = 500;
/** The length of a path in a log line, in characters. */
const LOGGED_PATH_CHARACTERS = 100;
/** The messages in the mailbox beside those of connections and open requests. */
const OTHER_MESSAGES = 1_000;
/** The timeout of a request without a `deadline-ms` header, in milliseconds. */
const DEFAULT_TIMEOUT_MILLISECONDS = 3_000;

/** Options of a `CallerListener`. */
export interface CallerListenerOptions {
  /** The address to listen on. */
  address: SocketAddress;
  /** The limits for callers. */
  limits: CallerLimits;
  /** Gets the maximum size of a request body, in bytes. */
  getMaximumBodyBytes: () => number;
  /** Handles a decoded call and replies with its answer. */
  handleCall: (call: IncomingCall, reply: Reply<Answer>) => void;
  /** Called when a limit refuses, delays or closes something. */
  onLimit: (limit: string, address: string) => void;
  /** Logs requests that are rejected before they are decoded into a call. */
  log: EventLog;
}

/** A decoded call. */
export interface IncomingCall {
  call: Call;
  /** The time that its caller allows for the answer, in milliseconds. */
  timeoutMilliseconds: number;
  /** Gets whether its caller can't be answered any more. */
  isAbandoned: () => boolean;
}

/** The messages that a `CallerListener` accepts. */
export type CallerListenerMessage =
  | { kind: "accepted"; socket: Socket }
  | { kind: "readable"; connection: CallerConnection }
  | { kind: "response-closed"; response: ServerResponse }
  | { kind: "closed"; connection: CallerConnection }
  /** Reads connections on that have more bytes. */
  | { kind: "turn" }
  | { kind: "tick" }
  /** Closes connections as soon as they are idle, so that callers reconnect to another host. */
  | { kind: "drain" }
  /** Refuses the requests that are still being read, and each later one. */
  | { kind: "refuse" };

/** A request whose answer is not sent. */
interface OpenRequest {
  connection: CallerConnection;
  /** The memory of its body that the budget counts, in bytes. */
  heldBytes: number;
  /** Whether its body is being read. */
  isReading: boolean;
  /** Drops its body if that is being read. */
  dropBody: () => void;
}

/** Owns the server socket for callers, their connections and the responses that are not sent yet. */
export class CallerListener extends Task<CallerListenerMessage> {
  readonly #options: CallerListenerOptions;
  readonly #server: Server;
  readonly #budget: CallerBudget;
  readonly #connections: CallerConnections;
  readonly #calls = CallQueue.create();
  readonly #refusalLog: LimitLog;
  readonly #timer: NodeJS.Timeout;
  readonly #open = new Map<ServerResponse, OpenRequest>();
  #isDraining = false;
  #isRefusing = false;

  private constructor(options: CallerListenerOptions) {
    const { limits, log } = options;
    // Each connection has one message of each kind at most, and each request one.
    const mailboxCapacity = 3 * limits.connections + 2 * limits.openRequests + OTHER_MESSAGES;
    super({ name: "caller-listener", mailboxCapacity });
    this.#options = options;
    this.#refusalLog = LimitLog.create({
      event: "call-refused",
      linesPerSecond: limits.refusalLines,
      log,
    });
    this.#budget = CallerBudget.create({
      limits,
      onLimit: (limit, { address }) => options.onLimit(limit, address),
    });
    this.#server = createServer({
      connectionsCheckingInterval: TICK_INTERVAL_MILLISECONDS,
      headersTimeout: limits.headMilliseconds,
      keepAliveTimeout: limits.idleMilliseconds,
      maxHeaderSize: limits.headBytes,
      noDelay: true,
      requestTimeout: 0,
    }, (request, response) => this.#readRequest(request, response));
    // An option of `net.Server` that `http.Server` does not pass on: sockets are read from `start` on.
    Object.assign(this.#server, { pauseOnConnect: true });
    // The server reads streams whose bytes are passed on in portions, in place of the sockets.
    const [serve] = this.#server.listeners("connection");
    this.#server.removeAllListeners("connection");
    this.#server.on("connection", (socket) => {
      if (!this.post({ kind: "accepted", socket })) socket.destroy();
    });
    this.#connections = CallerConnections.create({
      budget: this.#budget,
      limits,
      serve: (stream) => serve!.call(this.#server, stream),
      onReadable: (connection) => void this.post({ kind: "readable", connection }),
      scheduleTurn: () => setImmediate(() => this.post({ kind: "turn" })),
      onClosing: (connection) => this.#refuseReading(connection),
      onClosed: (connection) => void this.post({ kind: "closed", connection }),
    });
    this.#timer = setInterval(() => this.post({ kind: "tick" }), TICK_INTERVAL_MILLISECONDS);
  }

  /** Creates the task; `listen` opens its socket. */
  static create(options: CallerListenerOptions): CallerListener {
    return new CallerListener(options);
  }

  /** Starts to listen, and gets the address with the port in use. */
  listen(): Promise<string> {
    return listen(this.#server, this.#options.address);
  }

  /** Gets the number of requests whose response is not finished, and of those that wait to be read. */
  getPendingCount(): number {
    return this.#open.size + this.#connections.getUnreadCount();
  }

  /** Gets what callers hold. */
  getGauges(): Readonly<Record<string, number>> {
    const { connections, openRequests, heldBytes } = this.#budget.getTotals();
    return {
      callerConnections: connections,
      openRequests,
      callerBytes: heldBytes,
      queuedCalls: this.#calls.getLength(),
    };
  }

  protected override receive(message: CallerListenerMessage): void {
    switch (message.kind) {
      case "accepted":
        return this.#connections.accept(message.socket);
      case "readable":
        return this.#connections.read(message.connection);
      case "response-closed":
        return this.#handleResponseClosed(message.response);
      case "closed":
        this.#calls.drop(message.connection.account);
        for (const response of message.connection.responses) {
          this.#open.get(response)?.dropBody();
          this.#open.delete(response);
        }
        return;
      case "turn":
        return this.#connections.runTurn();
      case "tick":
        this.#refusalLog.flush(performance.now());
        return this.#connections.tick();
      case "drain":
        this.#isDraining = true;
        for (const response of this.#open.keys()) {
          if (!response.headersSent) response.setHeader("connection", "close");
        }
        this.#server.closeIdleConnections();
        return;
      case "refuse":
        this.#isRefusing = true;
        for (const [response, { isReading }] of this.#open) {
          if (isReading) sendStopping(response);
        }
        this.#calls.open();
        return;
    }
  }

  override getState(): unknown {
    return { open: this.#open.size, ...this.getGauges(), isDraining: this.#isDraining };
  }

  override stop(): void {
    super.stop();
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
    this.#connections.close();
  }

  /** Starts to read a request; the server calls this while a portion of its connection is passed on. */
  #readRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.find(request.socket);
    if (connection === undefined) return void request.socket.destroy();
    const open: OpenRequest = {
      connection,
      heldBytes: 0,
      isReading: true,
      dropBody: () => {},
    };
    this.#open.set(response, open);
    connection.responses.add(response);
    this.#budget.startRequest(connection.account);
    if (this.#isDraining) response.setHeader("connection", "close");
    response.once("close", () => this.post({ kind: "response-closed", response }));
    if (this.#isRefusing) {
      request.resume();
      this.#endReading(open);
      return sendStopping(response);
    }
    const largestBytes = this.#options.getMaximumBodyBytes();
    connection.setRemainingBodyBytes(Number(request.headers["content-length"] ?? 0));
    open.dropBody = readBody({
      request,
      limits: {
        largestBytes,
        mostDiscardedBytes: largestBytes,
        timeoutMilliseconds: this.#options.limits.bodyMilliseconds,
      },
      budget: {
        reserve: (bytes) => this.#hold(open, bytes),
        release: (bytes) => this.#release(open, bytes),
      },
      isBehind: () => connection.hasReceived(),
      onResult: (result) => this.#handleBody(request, response, result),
    });
  }

  #handleBody(request: IncomingMessage, response: ServerResponse, result: BodyResult): void {
    const open = this.#open.get(response);
    if (open !== undefined) this.#endReading(open);
    // The request was refused while its body was being read.
    if (response.headersSent || result.outcome === "closed") return;
    if (result.outcome === "read") return this.#handle(request, response, result.body);
    const status = result.outcome === "too-large" ? 413 : result.outcome === "too-slow" ? 408 : 503;
    this.#logRefusal(request, status, result.outcome);
    if (!request.complete) response.setHeader("connection", "close");
    send(response, status, { error: result.outcome }, status === 503 ? 1 : undefined);
  }

  #handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const call = decodeCall(request, body);
    if (typeof call === "string") {
      this.#logRefusal(request, 400, call);
      return send(response, 400, { error: call });
    }
    const deadlineMilliseconds = Number(request.headers["deadline-ms"]);
    const timeoutMilliseconds = deadlineMilliseconds > 0
      ? Math.min(deadlineMilliseconds, this.#options.limits.answerMilliseconds)
      : DEFAULT_TIMEOUT_MILLISECONDS;
    const receivedAt = performance.now();
    const isAbandoned = () => !this.#open.has(response);
    const handle = (onAnswered: () => void) => {
      const remaining = timeoutMilliseconds - (performance.now() - receivedAt);
      if (isAbandoned()) return onAnswered();
      if (remaining <= 0) {
        onAnswered();
        this.#logRefusal(request, 503, "the call was not handled in time");
        return send(response, 503, { error: "this host is overloaded" }, 1);
      }
      this.#options.handleCall(
        { call, timeoutMilliseconds: remaining, isAbandoned },
        (answer) => {
          onAnswered();
          sendAnswer(response, answer);
        },
      );
    };
    const open = this.#open.get(response);
    if (open !== undefined) this.#calls.add(open.connection.account, handle);
  }

  /** Reserves memory for a body; others may lose theirs for it. */
  #hold(open: OpenRequest, bytes: number): boolean {
    const { account } = open.connection;
    const { refusedBy, closing } = this.#budget.hold(account, bytes, performance.now());
    this.#connections.closeAll(closing);
    if (refusedBy !== undefined) return false;
    open.heldBytes += bytes;
    return true;
  }

  #release(open: OpenRequest, bytes: number): void {
    open.heldBytes -= bytes;
    this.#budget.release(open.connection.account, bytes);
  }

  #endReading(open: OpenRequest): void {
    if (!open.isReading) return;
    open.isReading = false;
    open.connection.setRemainingBodyBytes(0);
    this.#budget.endReading(open.connection.account);
  }

  /** Releases what a request holds once its answer is sent; a call keeps the size of its body. */
  #handleResponseClosed(response: ServerResponse): void {
    const open = this.#open.get(response);
    if (open === undefined) return;
    open.dropBody();
    this.#open.delete(response);
    open.connection.responses.delete(response);
    this.#endReading(open);
    this.#release(open, open.heldBytes);
    this.#budget.finishRequest(open.connection.account, performance.now());
    this.#connections.handleAnswered(open.connection);
  }

  /** Refuses the request of a connection whose body is being read: it was not delivered to an owner. */
  #refuseReading(connection: CallerConnection): void {
    for (const response of connection.responses) {
      if (this.#open.get(response)?.isReading !== true || response.headersSent) continue;
      response.setHeader("connection", "close");
      send(response, 503, { error: "no-memory" }, 1);
      this.#open.get(response)?.dropBody();
    }
  }

  #logRefusal(request: IncomingMessage, status: number, reason: string): void {
    const path = request.url?.slice(0, LOGGED_PATH_CHARACTERS);
    this.#refusalLog.add(String(status), performance.now(), { path, status, reason });
  }
}
