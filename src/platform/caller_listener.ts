/** The listener for callers: the jobs interface of the platform over HTTP. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { App } from "@tinyhttp/app";
import type { EventLog } from "../events/mod.ts";
import { type Answer, AnswerOutcome, type Call, CallKind } from "../front/call.ts";
import { BodyBudget, readBody } from "../links/body_reader.ts";
import { listen } from "../links/listen.ts";
import type { SocketAddress } from "../links/socket_address.ts";
import { type Reply, Task } from "../tasks/mod.ts";
import { decodeJob } from "./job_decoding.ts";
import { parseJson } from "./store_client.ts";

/** The memory of all bodies that are being read, in bytes. */
const MOST_BODY_BYTES = 32 * 1024 * 1024;
/** The longest time to the last byte of a body, in milliseconds. */
const BODY_TIMEOUT_MILLISECONDS = 3_000;
/** How long a caller waits that does not say, in milliseconds. */
const DEFAULT_DEADLINE_MILLISECONDS = 3_000;
/** How long a connection without calls is kept, in milliseconds. */
const KEEP_ALIVE_MILLISECONDS = 15_000;
/** A job's id: 16 hexadecimal digits. */
const JOB_ID = /^[0-9a-fA-F]{16}$/;

const STATUS_BY_OUTCOME: Readonly<Record<AnswerOutcome, number>> = {
  [AnswerOutcome.Accepted]: 200,
  [AnswerOutcome.Shown]: 200,
  [AnswerOutcome.Cancelled]: 200,
  [AnswerOutcome.Counted]: 200,
  [AnswerOutcome.UnknownJob]: 410,
  [AnswerOutcome.NoQueue]: 404,
  [AnswerOutcome.InvalidKey]: 401,
  [AnswerOutcome.Malformed]: 400,
  [AnswerOutcome.Unavailable]: 503,
  [AnswerOutcome.NotOwner]: 503,
  // A gateway time-out says that nobody knows whether it was done; 503 would say that it was not.
  [AnswerOutcome.Uncertain]: 504,
};

/** Options of a `CallerListener`. */
export interface CallerListenerOptions {
  /** The address to listen on. */
  address: SocketAddress;
  /** The largest body, in bytes. */
  getLargestBodyBytes: () => number;
  /** Has a call answered. */
  handleCall: (call: Call, timeoutMilliseconds: number, reply: Reply<Answer>) => void;
  /** Logs what is refused before it becomes a call. */
  log: EventLog;
}

/** The messages that a `CallerListener` takes. */
export type CallerListenerMessage =
  | { kind: "received"; request: IncomingMessage; response: ServerResponse }
  | { kind: "response-closed"; response: ServerResponse }
  /** From now on each response asks its caller to connect elsewhere. */
  | { kind: "drain" };

/** Owns the sockets of callers. */
export class CallerListener extends Task<CallerListenerMessage> {
  readonly #options: CallerListenerOptions;
  readonly #server: Server;
  readonly #budget = BodyBudget.create(MOST_BODY_BYTES);
  readonly #open = new Set<ServerResponse>();
  #isDraining = false;

  private constructor(options: CallerListenerOptions) {
    super({ name: "caller-listener" });
    this.#options = options;
    const app = new App({ settings: { xPoweredBy: false } });
    app.use((request, response) => {
      const message = { kind: "received", request, response };
      if (!this.post(message as unknown as CallerListenerMessage)) {
        send(response as unknown as ServerResponse, 503, { error: "this host is full" }, 1);
      }
    });
    this.#server = createServer(
      { keepAliveTimeout: KEEP_ALIVE_MILLISECONDS, noDelay: true, requestTimeout: 0 },
      (request, response) => void app.handler(request as never, response as never),
    );
  }

  /** Creates the task; `listen` opens the socket. */
  static create(options: CallerListenerOptions): CallerListener {
    return new CallerListener(options);
  }

  /** Listens, and gets the address with the port that was chosen. */
  listen(): Promise<string> {
    return listen(this.#server, this.#options.address);
  }

  /** Gets the number of calls that are not answered yet. */
  getOpenCount(): number {
    return this.#open.size;
  }

  protected override receive(message: CallerListenerMessage): void {
    switch (message.kind) {
      case "received":
        return this.#receive(message.request, message.response);
      case "response-closed":
        this.#open.delete(message.response);
        return;
      case "drain":
        this.#isDraining = true;
        for (const response of this.#open) {
          if (!response.headersSent) response.setHeader("connection", "close");
        }
        this.#server.closeIdleConnections();
        return;
    }
  }

  override getState(): unknown {
    return { open: this.#open.size, isDraining: this.#isDraining };
  }

  override stop(): void {
    super.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    this.#open.add(response);
    if (this.#isDraining) response.setHeader("connection", "close");
    response.once("close", () => this.post({ kind: "response-closed", response }));
    const largestBytes = this.#options.getLargestBodyBytes();
    readBody({
      request,
      limits: {
        largestBytes,
        mostDiscardedBytes: largestBytes,
        timeoutMilliseconds: BODY_TIMEOUT_MILLISECONDS,
      },
      budget: this.#budget,
      onResult: (result) => {
        if (result.outcome === "read") {
          this.#budget.giveBack(result.body.length);
          return this.#handle(request, response, result.body);
        }
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
    const deadline = Number(request.headers["deadline-ms"]);
    const timeout = deadline > 0 ? deadline : DEFAULT_DEADLINE_MILLISECONDS;
    this.#options.handleCall(call, timeout, (answer) => sendAnswer(response, answer));
  }
}

function decodeCall(request: IncomingMessage, body: Buffer): Call | string {
  const path = (request.url ?? "/").split("?")[0]!;
  const lastPart = path.slice(path.lastIndexOf("/") + 1);
  const key = request.headers["x-api-key"];
  const call = {
    host: (request.headers.host ?? "").split(":")[0]!,
    path,
    jobId: JOB_ID.test(lastPart) ? lastPart : "",
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
      return { ...call, kind: call.jobId === "" ? CallKind.Waiting : CallKind.State };
    default:
      return `the method ${request.method} is not served`;
  }
}

function sendAnswer(response: ServerResponse, answer: Answer): void {
  const status = STATUS_BY_OUTCOME[answer.outcome];
  if (answer.outcome === AnswerOutcome.Shown) {
    return send(response, status, { state: answer.state });
  }
  if (answer.outcome === AnswerOutcome.Counted) {
    return send(response, status, { waiting: answer.waiting });
  }
  const body = answer.reason === undefined ? {} : { error: answer.reason };
  send(response, status, body, answer.retryAfterSeconds);
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
