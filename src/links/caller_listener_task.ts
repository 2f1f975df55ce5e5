/** The listener for callers: HTTP requests to services. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { App } from "@tinyhttp/app";
import type { Caller, CallerRequest } from "../requests/exchange.ts";
import { createNotRunRefusal, type Refusal, RefusalReason } from "../requests/refusal.ts";
import { type Reply, Task } from "../tasks/mod.ts";
import { type BodyLimits, BodyMemoryBudget, type BodyResult, readBody } from "./body_reader.ts";
import { createCaller, parseCallerRequest } from "./caller_request.ts";
import { HttpListener, type HttpTimeouts } from "./http_listener.ts";
import { sendProblem } from "./problem_document.ts";
import type { SocketAddress } from "./socket_address.ts";
import type { TlsIdentity } from "./tls_identity.ts";

/** The maximum size of a request body, in bytes. */
export const MAXIMUM_BODY_BYTES = 1024 * 1024;

/** The default limits of request bodies. */
export const DEFAULT_BODY_LIMITS: BodyLimits = {
  largestBytes: MAXIMUM_BODY_BYTES,
  mostDiscardedBytes: 8 * 1024 * 1024,
  timeoutMilliseconds: 15_000,
};

/** The total memory of the bodies of open requests, in bytes. */
const BODY_MEMORY_BYTES = 64 * 1024 * 1024;

/** The `retry-after` of a response that refuses a request because of overload. */
const OVERLOAD_RETRY_MILLISECONDS = 1_000;

/** Options of a `CallerListenerTask`. */
export interface CallerListenerTaskOptions {
  /** The address to listen on. */
  address: SocketAddress;
  /** The certificate; absent for plain HTTP. */
  tls?: TlsIdentity | undefined;
  /** The timeouts of connections. */
  limits?: HttpTimeouts;
  /** The limits of request bodies. */
  bodyLimits?: BodyLimits;
  /** Starts the processing of a request. */
  startRequest: (request: CallerRequest, caller: Caller) => void;
  /** Adds the routes that are not requests to services. */
  addRoutes: (app: App) => void;
  /** Gets whether the load balancer should send requests to this entry host. */
  isReady: () => boolean;
}

/** The messages of a `CallerListenerTask`. */
export type CallerListenerMessage =
  | { kind: "received"; request: IncomingMessage; response: ServerResponse }
  | { kind: "body-ended"; request: IncomingMessage; response: ServerResponse; result: BodyResult }
  | { kind: "response-closed"; response: ServerResponse }
  /** From now on, each response closes its connection, so that the caller connects elsewhere. */
  | { kind: "drain" }
  /** Stops accepting connections, and replies when no request is open. */
  | { kind: "finish"; reply: Reply<void> };

/** Owns the listening socket for callers. */
export class CallerListenerTask extends Task<CallerListenerMessage> {
  readonly #options: CallerListenerTaskOptions;
  readonly #listener: HttpListener;
  readonly #budget = BodyMemoryBudget.create(BODY_MEMORY_BYTES);
  readonly #open = new Set<ServerResponse>();
  #received = 0;
  #isDraining = false;
  #finishReplies: Reply<void>[] = [];

  private constructor(options: CallerListenerTaskOptions) {
    super({ name: "caller-listener" });
    this.#options = options;
    const app = this.#createApp();
    this.#listener = HttpListener.create({
      ...options,
      handle: (request, response) => void app.handler(request as never, response as never),
      handleExpectation: (request, response) => this.#handleExpectation(request, response),
    });
  }

  /** Creates the task; `listen` opens the socket. */
  static create(options: CallerListenerTaskOptions): CallerListenerTask {
    return new CallerListenerTask(options);
  }

  /** Starts listening, and gets the bound address and port. */
  listen(): Promise<string> {
    return this.#listener.listen();
  }

  protected override receive(message: CallerListenerMessage): void {
    switch (message.kind) {
      case "received":
        return this.#receive(message.request, message.response);
      case "body-ended":
        return this.#handleBody(message.request, message.response, message.result);
      case "response-closed":
        this.#open.delete(message.response);
        return this.#checkFinished();
      case "drain":
        return this.#drain();
      case "finish":
        this.#drain();
        this.#listener.stopAccepting();
        this.#finishReplies.push(message.reply);
        return this.#checkFinished();
    }
  }

  override getState(): unknown {
    return { received: this.#received, open: this.#open.size, isDraining: this.#isDraining };
  }

  override stop(): void {
    super.stop();
    this.#listener.close();
  }

  #createApp(): App {
    const app = new App({ settings: { xPoweredBy: false } });
    app.get("/ready", (_request, response) => {
      const isReady = this.#options.isReady();
      response.status(isReady ? 200 : 503).send(isReady ? "ready" : "not ready");
    });
    this.#options.addRoutes(app);
    app.use((request, response) => {
      const message = { kind: "received", request, response } as unknown as CallerListenerMessage;
      if (this.post(message)) return;
      sendProblem(
        response as unknown as ServerResponse,
        createOverloadRefusal("this entry host is overloaded"),
      );
    });
    return app;
  }

  /**
   * Answers `expect: 100-continue`: a body that is declared too large is refused before it is sent.
   */
  #handleExpectation(request: IncomingMessage, response: ServerResponse): void {
    const declared = Number(request.headers["content-length"] ?? 0);
    if (declared > this.#getBodyLimits().largestBytes) {
      return sendProblem(response, this.#createTooLargeRefusal());
    }
    response.writeContinue();
    this.post({ kind: "received", request, response });
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    this.#received += 1;
    this.#open.add(response);
    if (this.#isDraining) response.setHeader("connection", "close");
    response.once("close", () => this.post({ kind: "response-closed", response }));
    readBody({
      request,
      limits: this.#getBodyLimits(),
      budget: this.#budget,
      onResult: (result) => this.post({ kind: "body-ended", request, response, result }),
    });
  }

  #handleBody(request: IncomingMessage, response: ServerResponse, result: BodyResult): void {
    switch (result.outcome) {
      case "read":
        response.once("close", () => this.#budget.release(result.reservedBytes));
        return this.#start(request, response, result.body);
      case "too-large":
        return closeWithProblem(request, response, this.#createTooLargeRefusal());
      case "too-slow": {
        const detail = "the body did not arrive before the timeout";
        const refusal = createNotRunRefusal(RefusalReason.RequestTimeout, detail);
        return closeWithProblem(request, response, refusal);
      }
      case "no-memory":
        return closeWithProblem(
          request,
          response,
          createOverloadRefusal("too many request bodies are held in memory"),
        );
      case "closed":
        return;
    }
  }

  #start(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const parsed = parseCallerRequest(request, body);
    if ("reason" in parsed) return sendProblem(response, parsed);
    this.#options.startRequest(parsed, createCaller(response));
  }

  #drain(): void {
    this.#isDraining = true;
    for (const response of this.#open) {
      if (!response.headersSent) response.setHeader("connection", "close");
    }
  }

  #checkFinished(): void {
    if (this.#open.size > 0) return;
    for (const reply of this.#finishReplies) reply();
    this.#finishReplies = [];
  }

  #getBodyLimits(): BodyLimits {
    return this.#options.bodyLimits ?? DEFAULT_BODY_LIMITS;
  }

  #createTooLargeRefusal(): Refusal {
    const detail = `the body is larger than ${this.#getBodyLimits().largestBytes} bytes`;
    return createNotRunRefusal(RefusalReason.BodyTooLarge, detail);
  }
}

/** An overload has the reason and the status of a full queue, since callers handle both alike. */
function createOverloadRefusal(detail: string): Refusal {
  return createNotRunRefusal(RefusalReason.QueueFull, detail, OVERLOAD_RETRY_MILLISECONDS);
}

/** Refuses a request; closes its connection if the body was not read to its end. */
function closeWithProblem(
  request: IncomingMessage,
  response: ServerResponse,
  refusal: Refusal,
): void {
  if (!request.complete) response.setHeader("connection", "close");
  sendProblem(response, refusal);
}
