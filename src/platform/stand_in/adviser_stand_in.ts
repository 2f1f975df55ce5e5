/** A stand-in of the adviser on loopback. */

import type { ServerResponse } from "node:http";
import { parseJson } from "../store_client.ts";
import { sendJson, StandInServer } from "./stand_in_server.ts";

/** Options of an `AdviserStandIn`. */
export interface AdviserStandInOptions {
  /** Decides which executors may run a step. */
  mayRun: (step: string, executorId: string) => boolean;
  /** How long a ticket is valid, in milliseconds. */
  validMilliseconds: number;
}

/** The adviser. */
export class AdviserStandIn {
  /** The status that all questions get in place of advice, if one is set. */
  status: number | undefined;
  readonly #options: AdviserStandInOptions;
  readonly #server: StandInServer;

  private constructor(options: AdviserStandInOptions) {
    this.#options = options;
    this.#server = StandInServer.create((_request, body, response) => this.#handle(body, response));
  }

  /** Creates an adviser; `listen` opens its socket. */
  static create(options: AdviserStandInOptions): AdviserStandIn {
    return new AdviserStandIn(options);
  }

  /** Listens on a free port of loopback, and gets the address. */
  listen(): Promise<string> {
    return this.#server.listen();
  }

  /** Closes the socket. */
  close(): void {
    this.#server.close();
  }

  #handle(body: Buffer, response: ServerResponse): void {
    if (this.status !== undefined) return sendJson(response, this.status, {});
    const { step, workers } = parseJson(body) as {
      step: string;
      workers: string[];
    };
    const { mayRun: isGood, validMilliseconds } = this.#options;
    const good = workers.filter((id) => isGood(step, id)).map((id) => [id, `ticket-${step}-${id}`]);
    sendJson(response, 200, { good, validMs: validMilliseconds });
  }
}
