/** A stand-in of the adviser on loopback. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { listen } from "../../links/listen.ts";
import { parseJson } from "../store_client.ts";
import { sendJson } from "./store_stand_in.ts";

/** Options of an `AdviserStandIn`. */
export interface AdviserStandInOptions {
  /** Decides which executors may run a step. */
  isGood: (step: string, executorId: string) => boolean;
  /** How long a ticket is valid, in milliseconds. */
  validMilliseconds: number;
}

/** The adviser. */
export class AdviserStandIn {
  /** The status that all questions get in place of advice, if one is set. */
  status: number | undefined;
  readonly #options: AdviserStandInOptions;
  readonly #server: Server;

  private constructor(options: AdviserStandInOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => void this.#handle(request, response));
  }

  /** Creates an adviser; `listen` opens its socket. */
  static create(options: AdviserStandInOptions): AdviserStandIn {
    return new AdviserStandIn(options);
  }

  /** Listens on a free port of loopback, and gets the address. */
  listen(): Promise<string> {
    return listen(this.#server, { host: "127.0.0.1", port: 0 });
  }

  /** Closes the socket. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (this.status !== undefined) return sendJson(response, this.status, {});
    const { step, workers } = parseJson(Buffer.concat(chunks)) as {
      step: string;
      workers: string[];
    };
    const { isGood, validMilliseconds } = this.#options;
    const good = workers.filter((id) => isGood(step, id)).map((id) => [id, `ticket-${step}-${id}`]);
    sendJson(response, 200, { good, validMs: validMilliseconds });
  }
}
