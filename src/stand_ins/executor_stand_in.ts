/** A stand-in of an executor: answers requests, counts their runs and injects faults. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { z } from "zod";
import { getErrorMessage } from "../errors/mod.ts";
import { REQUEST_ID_HEADER } from "../links/http_headers.ts";
import { listen } from "../links/listen.ts";
import type { SocketAddress } from "../links/socket_address.ts";

/** The faults that an executor can inject into the next requests. */
export const ExecutorFault = {
  None: "none",
  /** Closes the connection without running the request. */
  CloseBefore: "close-before",
  /** Runs the request and closes the connection without a response. */
  CloseAfter: "close-after",
  /** Runs the request and resets the connection without a response. */
  Reset: "reset",
  /** Runs the request and closes the connection in the middle of the response. */
  Truncate: "truncate",
  /** Runs the request and sends a response without a length, which ends only with the connection. */
  NoLength: "no-length",
  /** Runs the request and sends its response twice. */
  Duplicate: "duplicate",
  /** Runs the request and omits the request id from the response. */
  NoEcho: "no-echo",
  /** Runs the request and responds with the id of another request. */
  Cross: "cross",
  /** Responds to each request at once with status 500. */
  Fail: "fail",
} as const;

/** One of the faults of an executor. */
export type ExecutorFault = (typeof ExecutorFault)[keyof typeof ExecutorFault];

/** Options of an `ExecutorStandIn`. */
export interface ExecutorStandInOptions {
  name: string;
  /** The address to listen on. */
  address: SocketAddress;
  /** The run time of a request that does not set its own. */
  serviceMilliseconds: number;
  /** Called with the change whenever the number of running requests changes. */
  onRunning?: (change: number) => void;
}

/** One run of a request, with wall times in milliseconds. */
export interface ExecutorRun {
  /** The id that the entry host assigned to the request. */
  requestId: string;
  /** The path and query of the request. */
  path: string;
  /** The start time. */
  startedAt: number;
  /** The end time, if it has ended. */
  endedAt?: number;
}

const faultRequestSchema = z.strictObject({
  fault: z.enum(Object.values(ExecutorFault) as [ExecutorFault, ...ExecutorFault[]]),
  serviceMilliseconds: z.int().min(0).max(600_000),
}).partial();

/** Serves `/faults`, `/ledger` and requests on any other path, whose query `milliseconds` sets the run time. */
export class ExecutorStandIn {
  readonly #options: ExecutorStandInOptions;
  readonly #server: Server;
  readonly #runCounts = new Map<string, number>();
  readonly #ledger: ExecutorRun[] = [];
  #fault: ExecutorFault = ExecutorFault.None;
  #serviceMilliseconds: number;
  #running = 0;
  #maximumRunning = 0;

  private constructor(options: ExecutorStandInOptions) {
    this.#options = options;
    this.#serviceMilliseconds = options.serviceMilliseconds;
    this.#server = createServer((request, response) => void this.#handle(request, response));
  }

  /** Creates the stand-in, which does not listen yet. */
  static create(options: ExecutorStandInOptions): ExecutorStandIn {
    return new ExecutorStandIn(options);
  }

  /** Starts to listen, and gets the address with the assigned port. */
  listen(): Promise<string> {
    return listen(this.#server, this.#options.address);
  }

  /** Gets the number of runs of each request, by request id. */
  getRunCounts(): ReadonlyMap<string, number> {
    return this.#runCounts;
  }

  /** Gets the maximum number of requests that ran at the same time. */
  getMaximumRunning(): number {
    return this.#maximumRunning;
  }

  /** Sets the fault for the requests that follow. */
  setFault(fault: ExecutorFault): void {
    this.#fault = fault;
  }

  /** Closes the socket and all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? "/", "http://executor");
    if (url.pathname === "/faults") return await this.#handleFaultRequest(request, response);
    if (url.pathname === "/ledger") return this.#sendLedger(response);
    await this.#run(request, response, url);
  }

  async #handleFaultRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const faultRequest = faultRequestSchema.parse(
        JSON.parse((await readBody(request)).toString("utf8")),
      );
      this.#fault = faultRequest.fault ?? this.#fault;
      this.#serviceMilliseconds = faultRequest.serviceMilliseconds ?? this.#serviceMilliseconds;
      response.end();
    } catch (error) {
      response.statusCode = 400;
      response.end(getErrorMessage(error));
    }
  }

  #sendLedger(response: ServerResponse): void {
    response.setHeader("content-type", "application/json");
    const runs = Object.fromEntries(this.#runCounts);
    const { name } = this.#options;
    const [running, mostRunning, ledger] = [this.#running, this.#maximumRunning, this.#ledger];
    response.end(JSON.stringify({ name, runs, running, mostRunning, ledger }));
  }

  async #run(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    if (this.#fault === ExecutorFault.CloseBefore) {
      request.socket.destroy();
      return;
    }
    const requestId = String(request.headers[REQUEST_ID_HEADER] ?? "none");
    this.#runCounts.set(requestId, (this.#runCounts.get(requestId) ?? 0) + 1);
    const run: ExecutorRun = { requestId, path: request.url ?? "", startedAt: Date.now() };
    this.#ledger.push(run);
    this.#running += 1;
    this.#options.onRunning?.(1);
    this.#maximumRunning = Math.max(this.#maximumRunning, this.#running);
    const body = await readBody(request).catch(() => Buffer.alloc(0));
    if (this.#fault !== ExecutorFault.Fail) {
      const milliseconds = Number(
        url.searchParams.get("milliseconds") ?? this.#serviceMilliseconds,
      );
      await new Promise((resolve) => setTimeout(resolve, milliseconds));
    }
    this.#running -= 1;
    this.#options.onRunning?.(-1);
    run.endedAt = Date.now();
    this.#answer(request, response, requestId, body);
  }

  #answer(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
    body: Buffer,
  ): void {
    const text = JSON.stringify({
      executor: this.#options.name,
      method: request.method,
      path: request.url,
      body: body.toString("utf8"),
    });
    response.statusCode = this.#fault === ExecutorFault.Fail ? 500 : 200;
    response.setHeader("content-type", "application/json");
    if (this.#fault !== ExecutorFault.NoEcho) {
      const echoed = this.#fault === ExecutorFault.Cross ? "another-request" : requestId;
      response.setHeader(REQUEST_ID_HEADER, echoed);
    }
    if (this.#fault !== ExecutorFault.NoLength) {
      response.setHeader("content-length", Buffer.byteLength(text));
    }
    this.#send(request.socket, response, text);
  }

  #send(socket: Socket, response: ServerResponse, text: string): void {
    switch (this.#fault) {
      case ExecutorFault.CloseAfter:
        socket.destroy();
        return;
      case ExecutorFault.Reset:
        socket.resetAndDestroy();
        return;
      case ExecutorFault.Truncate:
        response.write(text.slice(0, 10), () => socket.destroy());
        return;
      case ExecutorFault.NoLength:
        response.useChunkedEncodingByDefault = false;
        response.end(text);
        return;
      case ExecutorFault.Duplicate:
        response.end(text);
        socket.write(
          `HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`,
        );
        return;
      default:
        response.end(text);
    }
  }
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}
