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

/** The largest body of a request, in bytes. */
export const MAXIMUM_BODY_BYTES = 1024 * 1024;

/** The bounds of a body when none are given. */
export const DEFAULT_BODY_LIMITS: BodyLimits = {
  largestBytes: MAXIMUM_BODY_BYTES,
  mostDiscardedBytes: 8 * 1024 * 1024,
  timeoutMilliseconds: 15_000,
};

/** The memory of all bodies that callers have sent and whose requests are not settled. */
const MOST_BODY_BYTES = 64 * 1024 * 1024;

/** When a caller who met a full host should try again. */
const FULL_RETRY_MILLISECONDS = 1_000;

/** Options of a `CallerListenerTask`. */
export interface CallerListenerTaskOptions {
  /** The address to listen on. */
  address: SocketAddress;
  /** The certificate, if callers speak TLS. */
  tls?: TlsIdentity | undefined;
  /** The limits of time. */
  limits?: HttpTimeouts;
  /** The bounds of bodies. */
  bodyLimits?: BodyLimits;
  /** Starts the work on a request. */
  startRequest: (request: CallerRequest, caller: Caller) => void;
  /** Adds the routes for callers that are not requests to services. */
  addRoutes: (app: App) => void;
  /** Gets whether the balancer should send callers here. */
  isReady: () => boolean;
}

/** The messages that a `CallerListenerTask` takes. */
export type CallerListenerMessage =
  | { kind: "received"; request: IncomingMessage; response: ServerResponse }
  | { kind: "body-ended"; request: IncomingMessage; response: ServerResponse; result: BodyResult }
  | { kind: "response-closed"; response: ServerResponse }
  /** From now on, each response asks its caller to connect elsewhere. */
  | { kind: "drain" }
  /** Accepts no more connections, and replies when no request is open. */
  | { kind: "finish"; reply: Reply<void> };

/** Owns the listening socket for callers. */
export class CallerListenerTask extends Task<CallerListenerMessage> {
  readonly #options: CallerListenerTaskOptions;
  readonly #listener: HttpListener;
  readonly #budget = BodyMemoryBudget.create(MOST_BODY_BYTES);
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
      handleExpectation: (request, response) => this.#expect(request, response),
    });
  }

  /** Creates the task; `listen` opens the socket. */
  static create(options: CallerListenerTaskOptions): CallerListenerTask {
    return new CallerListenerTask(options);
  }

  /** Listens, and gets the address with the port that was chosen. */
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
      sendProblem(response as unknown as ServerResponse, createFull("this entry host is full"));
    });
    return app;
  }

  /** Refuses a body that is declared too large before it is sent. */
  #expect(request: IncomingMessage, response: ServerResponse): void {
    const declared = Number(request.headers["content-length"] ?? 0);
    if (declared > this.#getBodyLimits().largestBytes) {
      return sendProblem(response, this.#createTooLarge());
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
        response.once("close", () => this.#budget.release(result.body.length));
        return this.#start(request, response, result.body);
      case "too-large":
        return closeWithProblem(request, response, this.#createTooLarge());
      case "too-slow": {
        const detail = "the body did not come in time";
        const refusal = createNotRunRefusal(RefusalReason.RequestTimeout, detail);
        return closeWithProblem(request, response, refusal);
      }
      case "no-memory":
        return closeWithProblem(request, response, createFull("too many bodies wait here"));
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

  #createTooLarge(): Refusal {
    const detail = `the body is larger than ${this.#getBodyLimits().largestBytes} bytes`;
    return createNotRunRefusal(RefusalReason.BodyTooLarge, detail);
  }
}

function createFull(detail: string): Refusal {
  return createNotRunRefusal(RefusalReason.QueueFull, detail, FULL_RETRY_MILLISECONDS);
}

/** Refuses a request whose body is not read to its end, and closes its connection. */
function closeWithProblem(
  request: IncomingMessage,
  response: ServerResponse,
  refusal: Refusal,
): void {
  if (!request.complete) response.setHeader("connection", "close");
  sendProblem(response, refusal);
}
