/** The links to workers: HTTP with JSON bodies, whose answers are whole or an error. */

import { Agent } from "undici";
import { getErrorMessage } from "../errors/mod.ts";
import type { CallWorker, WorkerCallOptions, WorkerResult } from "../jobs/worker_protocol.ts";
import { workerAnswerSchema } from "./worker_call_schema.ts";

/** The path under which a worker takes calls. */
export const WORKER_CALL_PATH = "/calls";

/** The largest answer of a worker, in bytes. */
const LARGEST_ANSWER_BYTES = 4 * 1024 * 1024;

/** The connections to one worker. */
const CONNECTIONS_PER_WORKER = 2;

/** Owns the connections to all workers. */
export class WorkerClient {
  readonly #agent = new Agent({
    connections: CONNECTIONS_PER_WORKER,
    pipelining: 1,
    maxResponseSize: LARGEST_ANSWER_BYTES,
  });

  private constructor() {}

  /** Creates the links. */
  static create(): WorkerClient {
    return new WorkerClient();
  }

  /** Calls a worker. */
  readonly callWorker: CallWorker = async (options) => {
    try {
      return await this.#call(options);
    } catch (error) {
      return { outcome: "failed", reason: getErrorMessage(error) };
    }
  };

  /** Closes all connections. */
  close(): void {
    void this.#agent.destroy().catch(() => undefined);
  }

  async #call({ address, call, timeoutMilliseconds }: WorkerCallOptions): Promise<WorkerResult> {
    const response = await this.#agent.request({
      origin: `http://${address}`,
      path: WORKER_CALL_PATH,
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(call),
      signal: AbortSignal.timeout(timeoutMilliseconds),
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      return { outcome: "failed", reason: `status ${response.statusCode}` };
    }
    const answer = workerAnswerSchema.parse(await response.body.json());
    return { outcome: "answered", answer };
  }
}
