/** The client of the adviser, which knows the executors that may run a step. */

import { z } from "zod";
import { getErrorMessage } from "../errors/mod.ts";
import type { EventLog } from "../events/mod.ts";
import type { Advice } from "../owner/advice_control.ts";
import { HttpLink } from "./http_link.ts";
import { parseJson } from "./store_client.ts";

/** The adviser answers a host's questions one after the other, so one connection is enough. */
const ADVISER_CONNECTIONS = 2;
/** How long the adviser may take, in milliseconds. */
const ADVISER_TIMEOUT_MILLISECONDS = 4_000;

const adviceSchema = z.object({
  good: z.array(z.tuple([z.string(), z.string()]).rest(z.unknown())),
  validMs: z.number().default(0),
});

/** Asks the adviser. */
export class AdviserClient {
  readonly #link: HttpLink;
  readonly #log: EventLog;

  private constructor(address: string, log: EventLog) {
    this.#link = HttpLink.create({ address, connections: ADVISER_CONNECTIONS });
    this.#log = log;
  }

  /** Creates a client of the adviser at an address. */
  static create(address: string, log: EventLog): AdviserClient {
    return new AdviserClient(address, log);
  }

  /** Asks which executors may run a step, and gets undefined if there is no answer. */
  async ask(step: string, executors: readonly string[]): Promise<Advice | undefined> {
    try {
      const answer = await this.#link.call({
        step: "advise",
        method: "POST",
        path: "/-/advise",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ step, workers: executors }),
        timeoutMilliseconds: ADVISER_TIMEOUT_MILLISECONDS,
      });
      const parsed = adviceSchema.safeParse(parseJson(answer.body));
      if (answer.status === 200 && parsed.success) {
        const good = parsed.data.good.map(([id, ticket]): [string, string] => [id, ticket]);
        return { good, validMilliseconds: parsed.data.validMs };
      }
      this.#log("advice-refused", { step, peer: this.#link.address, status: answer.status });
    } catch (error) {
      const reason = getErrorMessage(error);
      this.#log("adviser-silent", { step, peer: this.#link.address, reason });
    }
    return undefined;
  }

  /** Closes all connections. */
  close(): void {
    this.#link.close();
  }
}
