/** A small stand-in of an executor: answers requests, counts what ran, and shows ordered faults. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { z } from "zod";
import { getErrorMessage } from "../errors/mod.ts";
import { REQUEST_ID_HEADER } from "../links/http_headers.ts";
import { listen } from "../links/listen.ts";
import type { SocketAddress } from "../links/socket_address.ts";

/** What an executor can be ordered to do with the next requests. */
export const ExecutorFault = {
  None: "none",
  /** Closes the connection before it runs the request. */
  CloseBefore: "close-before",
  /** Runs the request and closes the connection without an answer. */
  CloseAfter: "close-after",
  /** Runs the request and resets the connection without an answer. */
  Reset: "reset",
  /** Runs the request and closes the connection in the middle of the answer. */
  Truncate: "truncate",
  /** Runs the request and sends an answer whose end only the connection's end would tell. */
  NoLength: "no-length",
  /** Runs the request and sends its answer twice. */
  Duplicate: "duplicate",
  /** Runs the request and does not say in the answer which request it was. */
  NoEcho: "no-echo",
  /** Runs the request and answers with the id of another. */
  Cross: "cross",
  /** Answers each request at once with status 500. */
  Fail: "fail",
} as const;

/** One of the faults of an executor. */
export type ExecutorFault = (typeof ExecutorFault)[keyof typeof ExecutorFault];

/** Options of an `ExecutorStandIn`. */
export interface ExecutorStandInOptions {
  /** The name of the executor. */
  name: string;
  /** The address to listen on. */
  address: SocketAddress;
  /** How long a request runs that names no time. */
  serviceMilliseconds: number;
  /** Takes the change whenever more or fewer requests run. */
  onRunning?: (change: number) => void;
}

/** One run of a request, with wall times in milliseconds. */
export interface ExecutorRun {
  /** The id that the entry host gave the request. */
  requestId: string;
  /** The path and query at the executor. */
  path: string;
  /** When it started. */
  startedAt: number;
  /** When it ended, if it has. */
  endedAt?: number;
}

const orderSchema = z.strictObject({
  fault: z.enum(Object.values(ExecutorFault) as [ExecutorFault, ...ExecutorFault[]]),
  serviceMilliseconds: z.int().min(0).max(600_000),
}).partial();

/** Serves `/work` and `/faults` and `/ledger`; a request's query `milliseconds` sets its run time. */
export class ExecutorStandIn {
  readonly #options: ExecutorStandInOptions;
  readonly #server: Server;
  readonly #runs = new Map<string, number>();
  readonly #ledger: ExecutorRun[] = [];
  #fault: ExecutorFault = ExecutorFault.None;
  #serviceMilliseconds: number;
  #running = 0;
  #mostRunning = 0;

  private constructor(options: ExecutorStandInOptions) {
    this.#options = options;
    this.#serviceMilliseconds = options.serviceMilliseconds;
    this.#server = createServer((request, response) => void this.#handle(request, response));
  }

  /** Creates the stand-in; `listen` opens its socket. */
  static create(options: ExecutorStandInOptions): ExecutorStandIn {
    return new ExecutorStandIn(options);
  }

  /** Listens, and gets the address with the port that was chosen. */
  listen(): Promise<string> {
    return listen(this.#server, this.#options.address);
  }

  /** Gets how often each request ran, by request id. */
  getRunCounts(): ReadonlyMap<string, number> {
    return this.#runs;
  }

  /** Gets the most requests that ran at once. */
  getMaximumRunning(): number {
    return this.#mostRunning;
  }

  /** Orders a fault for the requests that follow. */
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
    if (url.pathname === "/faults") return await this.#order(request, response);
    if (url.pathname === "/ledger") return this.#sendLedger(response);
    await this.#run(request, response, url);
  }

  async #order(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const order = orderSchema.parse(JSON.parse((await readBody(request)).toString("utf8")));
      this.#fault = order.fault ?? this.#fault;
      this.#serviceMilliseconds = order.serviceMilliseconds ?? this.#serviceMilliseconds;
      response.end();
    } catch (error) {
      response.statusCode = 400;
      response.end(getErrorMessage(error));
    }
  }

  #sendLedger(response: ServerResponse): void {
    response.setHeader("content-type", "application/json");
    const runs = Object.fromEntries(this.#runs);
    const { name } = this.#options;
    const [running, mostRunning, ledger] = [this.#running, this.#mostRunning, this.#ledger];
    response.end(JSON.stringify({ name, runs, running, mostRunning, ledger }));
  }

  async #run(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    if (this.#fault === ExecutorFault.CloseBefore) {
      request.socket.destroy();
      return;
    }
    const requestId = String(request.headers[REQUEST_ID_HEADER] ?? "none");
    this.#runs.set(requestId, (this.#runs.get(requestId) ?? 0) + 1);
    const run: ExecutorRun = { requestId, path: request.url ?? "", startedAt: Date.now() };
    this.#ledger.push(run);
    this.#running += 1;
    this.#options.onRunning?.(1);
    this.#mostRunning = Math.max(this.#mostRunning, this.#running);
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
