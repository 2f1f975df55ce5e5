/** A stand-in for the adviser that listens on loopback. */

import type { ServerResponse } from "node:http";
import { parseJson } from "../store_client.ts";
import { sendJson, StandInServer } from "./stand_in_server.ts";

/** Options of an `AdviserStandIn`. */
export interface AdviserStandInOptions {
  /** Decides whether an executor may run a step. */
  mayRun: (step: string, executorId: string) => boolean;
  /** How long a ticket is valid, in milliseconds. */
  validMilliseconds: number;
}

/** An adviser that recommends executors by a function of its options. */
export class AdviserStandIn {
  /** The HTTP status that answers every request instead of advice, if it is set. */
  status: number | undefined;
  readonly #options: AdviserStandInOptions;
  readonly #server: StandInServer;

  private constructor(options: AdviserStandInOptions) {
    this.#options = options;
    this.#server = StandInServer.create((_request, body, response) => this.#handle(body, response));
  }

  /** Creates an adviser. It accepts requests once `listen` is called. */
  static create(options: AdviserStandInOptions): AdviserStandIn {
    return new AdviserStandIn(options);
  }

  /** Listens on a free loopback port and returns the address. */
  listen(): Promise<string> {
    return this.#server.listen();
  }

  /** Closes the listening socket and all connections. */
  close(): void {
    this.#server.close();
  }

  #handle(body: Buffer, response: ServerResponse): void {
    if (this.status !== undefined) return sendJson(response, this.status, {});
    const { step, workers } = parseJson(body) as {
      step: string;
      workers: string[];
    };
    const { mayRun, validMilliseconds } = this.#options;
    const good = workers.filter((id) => mayRun(step, id)).map((id) => [id, `ticket-${step}-${id}`]);
    sendJson(response, 200, { good, validMs: validMilliseconds });
  }
}
