/**
 * A small stand-in of a worker. Its protocol is HTTP with JSON bodies:
 *
 * - `POST /calls` takes one call, told apart by `kind`, and answers `{incarnation, reports}`:
 *   - `start` {taskId, attempt, incarnation, leaseMilliseconds, reserved, payload, checkpoint?} runs
 *     an attempt. It is refused if the worker's process is another than `incarnation`, or knows a
 *     newer attempt of the task; asked again for an attempt that it knows, it reports its state.
 *   - `renew` {attempts, leaseMilliseconds} extends leases; an attempt whose lease is not renewed in
 *     time is stopped and stays `lapsed`.
 *   - `status` reports all that runs.
 *   - `checkpoint` {taskId, attempt} saves the state of an attempt.
 *   - `throttle` {taskId, attempt, cores} bounds its cores.
 *   - `fence` {taskId, attempt} refuses an attempt from now on, unless it has started.
 *   - `stop` {taskId, attempt, withCheckpoint} stops an attempt, or refuses it from now on.
 *   Usage in reports lags; `measuredAgoMilliseconds` says by how much.
 * - `POST /faults` {fault} orders a `WorkerFault`.
 * - `GET /ledger` tells how often each attempt was run.
 */

import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { z } from "zod";
import { getErrorMessage } from "../errors/mod.ts";
import { listen } from "../links/listen.ts";
import type { SocketAddress } from "../links/socket_address.ts";
import { workerCallSchema } from "../links/worker_call_schema.ts";
import { WORKER_CALL_PATH } from "../links/worker_client.ts";
import { mayStartNewer, WorkerFault, WorkerModel } from "./worker_model.ts";

/** By how much reports of usage lag. */
const USAGE_LAG_MILLISECONDS = 1_000;

/** How often the state of an attempt is saved by itself. */
const CHECKPOINT_MILLISECONDS = 60_000;

/** Options of a `WorkerStandIn`. */
export interface WorkerStandInOptions {
  /** The name of the worker. */
  name: string;
  /** The address to listen on. */
  address: SocketAddress;
}

const orderSchema = z.strictObject({ fault: z.enum(WorkerFault) });

/** Serves the protocol of a worker from a model of it. */
export class WorkerStandIn {
  readonly #options: WorkerStandInOptions;
  readonly #server: Server;
  readonly #model: WorkerModel;

  private constructor(options: WorkerStandInOptions) {
    this.#options = options;
    this.#model = WorkerModel.create({
      incarnation: `${options.name}-${randomUUID().slice(0, 8)}`,
      usageLagMilliseconds: USAGE_LAG_MILLISECONDS,
      checkpointMilliseconds: CHECKPOINT_MILLISECONDS,
      mayStart: mayStartNewer,
    });
    this.#server = createServer((request, response) => void this.#handle(request, response));
  }

  /** Creates the stand-in; `listen` opens its socket. */
  static create(options: WorkerStandInOptions): WorkerStandIn {
    return new WorkerStandIn(options);
  }

  /** Listens, and gets the address with the port that was chosen. */
  listen(): Promise<string> {
    return listen(this.#server, this.#options.address);
  }

  /** Gets how often each attempt was run, by task id and attempt number. */
  getRunCounts(): ReadonlyMap<string, number> {
    return this.#model.getRunCounts();
  }

  /** Orders a fault for the calls that follow. */
  setFault(fault: WorkerFault): void {
    this.#model.setFault(fault);
  }

  /** Closes the socket and all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      if (request.url === "/ledger") {
        return sendJson(response, Object.fromEntries(this.getRunCounts()));
      }
      const body = await readJson(request);
      if (request.url === "/faults") return this.#order(body, response);
      if (request.url === WORKER_CALL_PATH) return this.#call(body, response);
      response.statusCode = 404;
      response.end();
    } catch (error) {
      response.statusCode = 400;
      response.end(getErrorMessage(error));
    }
  }

  #order(body: unknown, response: ServerResponse): void {
    const { fault } = orderSchema.parse(body);
    this.setFault(fault);
    sendJson(response, { fault });
  }

  #call(body: unknown, response: ServerResponse): void {
    const answer = this.#model.handle(workerCallSchema.parse(body), performance.now());
    if (this.#model.getFault() === WorkerFault.LoseAnswers) response.destroy();
    else sendJson(response, answer);
  }
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk);
  return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

function sendJson(response: ServerResponse, value: unknown): void {
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(value));
}
