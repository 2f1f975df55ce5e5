/** The HTTP listener for callers: the jobs API of the platform. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { App } from "@tinyhttp/app";
import type { EventLog } from "../events/mod.ts";
import { type Answer, AnswerOutcome, type Call, CallKind } from "../front/call.ts";
import { BodyMemoryBudget, readBody } from "../links/body_reader.ts";
import { listen } from "../links/listen.ts";
import type { SocketAddress } from "../links/socket_address.ts";
import { type Reply, Task } from "../tasks/mod.ts";
import { decodeJob } from "./job_decoding.ts";
import { parseJson } from "./store_client.ts";

/** The memory limit for all request bodies that are being read, in bytes. */
const MAXIMUM_BUFFERED_BODY_BYTES = 32 * 1024 * 1024;
/** The time limit for receiving a complete request body, in milliseconds. */
const BODY_TIMEOUT_MILLISECONDS = 3_000;
/** The timeout of a request without a `deadline-ms` header, in milliseconds. */
const DEFAULT_TIMEOUT_MILLISECONDS = 3_000;
/** How long an idle connection is kept open, in milliseconds. */
const KEEP_ALIVE_MILLISECONDS = 15_000;
/** The delay after which a caller should repeat a request to a stopping host, in seconds. */
const STOPPING_RETRY_AFTER_SECONDS = 1;
/** Matches a job id: 16 hexadecimal digits. */
const JOB_ID_PATTERN = /^[0-9a-fA-F]{16}$/;

const STATUS_BY_OUTCOME: Readonly<Record<AnswerOutcome, number>> = {
  [AnswerOutcome.Accepted]: 200,
  [AnswerOutcome.StateReturned]: 200,
  [AnswerOutcome.Cancelled]: 200,
  [AnswerOutcome.CountReturned]: 200,
  [AnswerOutcome.UnknownJob]: 410,
  [AnswerOutcome.UnknownQueue]: 404,
  [AnswerOutcome.InvalidKey]: 401,
  [AnswerOutcome.Malformed]: 400,
  [AnswerOutcome.TooLarge]: 413,
  [AnswerOutcome.Unavailable]: 503,
  [AnswerOutcome.NotOwner]: 503,
  // 504 leaves open whether the call was executed; 503 would state that it was not.
  [AnswerOutcome.InDoubt]: 504,
};

/** Options of a `CallerListener`. */
export interface CallerListenerOptions {
  /** The address to listen on. */
  address: SocketAddress;
  /** Gets the maximum size of a request body, in bytes. */
  getMaximumBodyBytes: () => number;
  /** Handles a decoded call and replies with its answer. */
  handleCall: (call: Call, timeoutMilliseconds: number, reply: Reply<Answer>) => void;
  /** Logs requests that are rejected before they are decoded into a call. */
  log: EventLog;
}

/** The messages that a `CallerListener` accepts. */
export type CallerListenerMessage =
  | { kind: "received"; request: IncomingMessage; response: ServerResponse }
  | { kind: "response-closed"; response: ServerResponse }
  /** Closes connections as soon as they are idle, so that callers reconnect to another host. */
  | { kind: "drain" }
  /** Refuses the requests that are still being read, and each later one. */
  | { kind: "refuse" };

/** Owns the server socket for callers and the responses that are not sent yet. */
export class CallerListener extends Task<CallerListenerMessage> {
  readonly #options: CallerListenerOptions;
  readonly #server: Server;
  readonly #bodyBudget = BodyMemoryBudget.create(MAXIMUM_BUFFERED_BODY_BYTES);
  readonly #pending = new Set<ServerResponse>();
  /** The responses to requests whose bodies are still being read. */
  readonly #reading = new Set<ServerResponse>();
  #isDraining = false;
  #isRefusing = false;

  private constructor(options: CallerListenerOptions) {
    super({ name: "caller-listener" });
    this.#options = options;
    const app = new App({ settings: { xPoweredBy: false } });
    app.use((request, response) => {
      const message = { kind: "received", request, response };
      if (!this.post(message as unknown as CallerListenerMessage)) {
        send(response as unknown as ServerResponse, 503, { error: "this host is overloaded" }, 1);
      }
    });
    this.#server = createServer(
      { keepAliveTimeout: KEEP_ALIVE_MILLISECONDS, noDelay: true, requestTimeout: 0 },
      (request, response) => void app.handler(request as never, response as never),
    );
  }

  /** Creates the task; `listen` opens its socket. */
  static create(options: CallerListenerOptions): CallerListener {
    return new CallerListener(options);
  }

  /** Starts to listen, and gets the address with the port in use. */
  listen(): Promise<string> {
    return listen(this.#server, this.#options.address);
  }

  /** Gets the number of requests whose response is not finished. */
  getPendingCount(): number {
    return this.#pending.size;
  }

  protected override receive(message: CallerListenerMessage): void {
    switch (message.kind) {
      case "received":
        return this.#readRequest(message.request, message.response);
      case "response-closed":
        this.#pending.delete(message.response);
        this.#reading.delete(message.response);
        return;
      case "drain":
        this.#isDraining = true;
        for (const response of this.#pending) {
          if (!response.headersSent) response.setHeader("connection", "close");
        }
        this.#server.closeIdleConnections();
        return;
      case "refuse":
        this.#isRefusing = true;
        for (const response of this.#reading) sendStopping(response);
        return;
    }
  }

  override getState(): unknown {
    return { open: this.#pending.size, isDraining: this.#isDraining };
  }

  override stop(): void {
    super.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #readRequest(request: IncomingMessage, response: ServerResponse): void {
    this.#pending.add(response);
    if (this.#isDraining) response.setHeader("connection", "close");
    response.once("close", () => this.post({ kind: "response-closed", response }));
    if (this.#isRefusing) {
      request.resume();
      return sendStopping(response);
    }
    this.#reading.add(response);
    const largestBytes = this.#options.getMaximumBodyBytes();
    readBody({
      request,
      limits: {
        largestBytes,
        mostDiscardedBytes: largestBytes,
        timeoutMilliseconds: BODY_TIMEOUT_MILLISECONDS,
      },
      budget: this.#bodyBudget,
      onResult: (result) => {
        this.#reading.delete(response);
        if (result.outcome === "read") this.#bodyBudget.release(result.body.length);
        // The request was refused while its body was being read.
        if (response.headersSent) return;
        if (result.outcome === "read") return this.#handle(request, response, result.body);
        if (result.outcome === "closed") return;
        const status = result.outcome === "too-large"
          ? 413
          : result.outcome === "too-slow"
          ? 408
          : 503;
        this.#options.log("call-refused", { path: request.url, status, reason: result.outcome });
        if (!request.complete) response.setHeader("connection", "close");
        send(response, status, { error: result.outcome }, status === 503 ? 1 : undefined);
      },
    });
  }

  #handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const call = decodeCall(request, body);
    if (typeof call === "string") {
      this.#options.log("call-refused", { path: request.url, status: 400, reason: call });
      return send(response, 400, { error: call });
    }
    const deadlineMilliseconds = Number(request.headers["deadline-ms"]);
    const timeoutMilliseconds = deadlineMilliseconds > 0
      ? deadlineMilliseconds
      : DEFAULT_TIMEOUT_MILLISECONDS;
    this.#options.handleCall(call, timeoutMilliseconds, (answer) => sendAnswer(response, answer));
  }
}

/** Decodes a request, or gets the reason why it is invalid. */
function decodeCall(request: IncomingMessage, body: Buffer): Call | string {
  const path = (request.url ?? "/").split("?")[0]!;
  const lastSegment = path.slice(path.lastIndexOf("/") + 1);
  const key = request.headers["x-api-key"];
  const call = {
    host: (request.headers.host ?? "").split(":")[0]!,
    path,
    jobId: JOB_ID_PATTERN.test(lastSegment) ? lastSegment : "",
    ...(typeof key === "string" ? { key } : {}),
  };
  switch (request.method) {
    case "POST": {
      const specification = decodeJob(parseJson(body));
      if (typeof specification === "string") return `the job can't be read: ${specification}`;
      if (call.jobId === "") return "the path does not end in a job's id";
      return { ...call, kind: CallKind.Submit, specification };
    }
    case "DELETE":
      return { ...call, kind: CallKind.Cancel };
    case "GET":
      return { ...call, kind: call.jobId === "" ? CallKind.CountQueued : CallKind.State };
    default:
      return `the method ${request.method} is not served`;
  }
}

function sendAnswer(response: ServerResponse, answer: Answer): void {
  const status = STATUS_BY_OUTCOME[answer.outcome];
  if (answer.outcome === AnswerOutcome.StateReturned) {
    return send(response, status, { state: answer.state });
  }
  if (answer.outcome === AnswerOutcome.CountReturned) {
    return send(response, status, { waiting: answer.waiting });
  }
  const body = answer.reason === undefined ? {} : { error: answer.reason };
  send(response, status, body, answer.retryAfterSeconds);
}

/** Answers a request that was not delivered to an owner, since this host is about to exit. */
function sendStopping(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader("connection", "close");
  send(response, 503, { error: "this host is stopping" }, STOPPING_RETRY_AFTER_SECONDS);
}

function send(
  response: ServerResponse,
  status: number,
  body: unknown,
  retryAfterSeconds?: number,
): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  response.statusCode = status;
  response.setHeader("content-type", "application/json");
  response.setHeader("content-length", Buffer.byteLength(text));
  if (retryAfterSeconds !== undefined) response.setHeader("retry-after", retryAfterSeconds);
  response.end(text);
}
